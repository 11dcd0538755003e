"""Processor time of single decisions with a long queue."""

import random
import time
from datetime import timedelta

import attrs
from mimosapoint.model import Adjacency, JobRecord, JobState, Placement, Resources
from mimosapoint.scheduling import WorkerView, ZoneView, make_policy

from benchmarks.decisions.sites import large_zone
from benchmarks.decisions.workload import START, agency_workload, arrivals

__all__ = ["measure_decision_time"]

RUNNING = 800
"""Number of running jobs."""

WAITING = 2000
"""Number of waiting jobs."""

DECISIONS = 200
"""Number of timed decisions; before each one, a job ends and another one arrives."""


def _records(configuration, seed: int) -> list[JobRecord]:
    found: list[JobRecord] = []
    while len(found) < RUNNING + WAITING + DECISIONS:
        seed += 1
        for arrival in arrivals(agency_workload(), configuration, 10800, seed):
            if arrival.request.gang <= 16:
                name = f"large~{len(found):05}"
                at = START + timedelta(seconds=len(found) * 0.1)
                found.append(JobRecord(name, arrival.request, JobState.QUEUED, at))
    return found


def _place_task(workers: dict[str, WorkerView], record: JobRecord, rng) -> JobRecord | None:
    """Place the record as a running job of one task on a random worker with free capacity.

    Return ``None`` if none of the sampled workers has enough.
    """
    shape = Resources(1, 2, 2, 0)
    request = attrs.evolve(
        record.request, gang=1, shape=shape, adjacency=Adjacency.AVAILABILITY_ZONE
    )
    for name in rng.sample(sorted(workers), min(24, len(workers))):
        if shape.fits_in(workers[name].free):
            workers[name].free -= shape
            placement = Placement(1, (name,))
            return attrs.evolve(
                record,
                request=request,
                state=JobState.RUNNING,
                placement=placement,
                started_at=record.submitted_at,
            )
    return None


def measure_decision_time(
    policy_name: str, racks: int, workers_per_rack: int, seed: int = 7
) -> dict:
    """Return the first, the mean and the longest processor time of a decision, in milliseconds."""
    rng = random.Random(seed)
    configuration = large_zone(racks, workers_per_rack)
    capacity = Resources(64, 128, 256, 8)
    workers = {}
    for rack in range(racks):
        for slot in range(workers_per_rack):
            name = f"r{rack:02}-w{slot:02}"
            workers[name] = WorkerView(name, f"r{rack:02}", capacity, capacity)
    records = _records(configuration, seed)
    running = {}
    while len(running) < RUNNING:
        running_record = _place_task(workers, records.pop(), rng)
        if running_record is not None:
            running[running_record.id] = running_record
    view = ZoneView(
        "large", START + timedelta(hours=1), configuration, workers, running, records[:WAITING]
    )
    return _time_decisions(make_policy(policy_name), view, records[WAITING:])


def _time_decisions(policy, view: ZoneView, arriving: list[JobRecord]) -> dict:
    begin = time.process_time()
    _apply(view, policy.decide(view))
    first = 1000 * (time.process_time() - begin)
    times = []
    for record in arriving[:DECISIONS]:
        _end_first_running(view)
        view.waiting.append(record)
        view.now += timedelta(seconds=0.2)
        begin = time.process_time()
        decision = policy.decide(view)
        times.append(1000 * (time.process_time() - begin))
        _apply(view, decision)
    return {"first ms": first, "mean ms": sum(times) / len(times), "max ms": max(times)}


def _end_first_running(view: ZoneView) -> None:
    record = view.running_by_id.pop(next(iter(view.running_by_id)))
    for name in record.placement.workers:
        view.workers_by_id[name].free += record.request.shape


def _apply(view: ZoneView, decision) -> None:
    by_id = {record.id: record for record in view.waiting}
    for assignment in decision.assignments:
        record = by_id.pop(assignment.job)
        placement = Placement(1, assignment.workers, assignment.guarantee)
        view.running_by_id[record.id] = attrs.evolve(
            record, state=JobState.RUNNING, placement=placement, started_at=view.now
        )
        for name in assignment.workers:
            view.workers_by_id[name].free -= record.request.shape
    view.waiting = list(by_id.values())
