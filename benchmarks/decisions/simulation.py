"""Discrete-event simulation of availability zones that applies the decisions of policies."""

import heapq
import random
import time
from collections.abc import Callable
from datetime import datetime, timedelta

import attrs
from mimosapoint.configuration import Configuration, ZoneMode
from mimosapoint.model import (
    Cancelled,
    Failed,
    JobRecord,
    JobRequest,
    JobState,
    NotRun,
    Placement,
    Succeeded,
)
from mimosapoint.scheduling import (
    Assignment,
    Decision,
    Move,
    Preemption,
    ZoneSummary,
    ZoneView,
    make_policy,
    summarize,
)

from benchmarks.decisions.metrics import Metrics, Segment
from benchmarks.decisions.simulated_zone import RunningAttempt, SimulatedZone, Withdrawal
from benchmarks.decisions.workload import START, Arrival

__all__ = ["Simulation"]

DECISION_DELAY = 0.1
"""Seconds between a change and the decision that takes it into account."""

IDLE_DECISION_INTERVAL = 30.0
"""Seconds between decisions while nothing changes."""

START_DELAY = 0.1
"""Seconds from an assignment to the start of the gang."""

CHECKPOINT_INTERVAL = 300.0
"""Seconds between the checkpoints of a running gang."""

SUMMARY_INTERVAL = 5.0
"""Seconds between two updates of the summaries that zones have of each other."""

MAX_ATTEMPT_FAILURES = 5
"""Number of failed attempts after which a job fails."""


class Simulation:
    """Simulation of one workload under one policy.

    :param arrivals: jobs of the workload.
    :param seed: seed of the faults and of the times that stops take.
    :param withdrawal: withdrawal of a zone, or ``None``.
    """

    def __init__(
        self,
        configuration: Configuration,
        policy: str,
        arrivals: list[Arrival],
        seed: int,
        withdrawal: Withdrawal | None = None,
    ):
        self.now = 0.0
        self.configuration = configuration
        self.metrics = Metrics([arrival.request for arrival in arrivals])
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0
        self._arrival_by_key = {a.request.idempotency_key: a for a in arrivals}
        self._attempts: dict[str, RunningAttempt] = {}
        self._summaries: dict[str, ZoneSummary] = {}
        self._summaries_at = 0.0
        self._zones = {
            id: SimulatedZone.make(id, make_policy(policy), zone.capacity)
            for id, zone in configuration.zones_by_id.items()
        }
        for arrival in arrivals:
            self.schedule(arrival.at, self._submit, arrival)
        self._plan_faults(withdrawal)

    def _plan_faults(self, withdrawal: Withdrawal | None) -> None:
        zone = self._rng.choice(sorted(self._zones))
        workers = sorted(self._zones[zone].workers_by_id)
        failing, lost_worker = self._rng.sample(workers, 2)
        self.schedule(self._rng.uniform(1200, 2400), self._begin_failing, zone, failing)
        self.schedule(self._rng.uniform(1200, 3600), self._lose_worker, zone, lost_worker)
        if withdrawal is not None:
            self.schedule(withdrawal.out_at, self._set_mode, withdrawal.zone, ZoneMode.OUT)
            self.schedule(withdrawal.back_at, self._set_mode, withdrawal.zone, ZoneMode.IN_SERVICE)

    def schedule(self, when: float, function: Callable, *args: object) -> None:
        """Schedule a call of a function at a simulated time."""
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, function, args))

    def run(self, until: float) -> Metrics:
        """Run until a simulated time and return the metrics."""
        for zone in self._zones.values():
            self.schedule(IDLE_DECISION_INTERVAL, self._tick, zone)
        self.schedule(SUMMARY_INTERVAL, self._summarize)
        self.schedule(60.0, self._sample)
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self._finish(until)
        return self.metrics

    def _finish(self, until: float) -> None:
        self.now = until
        for record in self.metrics.failed_records:
            self.metrics.unfinished(record, until)
        for zone in self._zones.values():
            for record in list(zone.running_by_id.values()):
                self._close_segment(zone, record, lost=0.0)
            for record in (*zone.waiting_by_id.values(), *zone.running_by_id.values()):
                self.metrics.unfinished(record, until)

    def time(self) -> datetime:
        """Return the simulated time."""
        return START + timedelta(seconds=self.now)

    def _request_decision(self, zone: SimulatedZone) -> None:
        if not zone.decision_due:
            zone.decision_due = True
            self.schedule(self.now + DECISION_DELAY, self._decide, zone)

    def _tick(self, zone: SimulatedZone) -> None:
        self._request_decision(zone)
        self.schedule(self.now + IDLE_DECISION_INTERVAL, self._tick, zone)

    def _summarize(self) -> None:
        self._summaries = {id: summarize(self._view(zone)) for id, zone in self._zones.items()}
        self._summaries_at = self.now
        self.schedule(self.now + SUMMARY_INTERVAL, self._summarize)

    def _sample(self) -> None:
        for zone in self._zones.values():
            if self.configuration.zones_by_id[zone.id].mode is ZoneMode.IN_SERVICE:
                self.metrics.sample(self._view(zone))
        self.schedule(self.now + 60.0, self._sample)

    def _view(self, zone: SimulatedZone) -> ZoneView:
        age = self.now - self._summaries_at
        others = {
            id: attrs.evolve(summary, age=age)
            for id, summary in self._summaries.items()
            if id != zone.id
        }
        return zone.view(self.time(), self.configuration, others)

    def _submit(self, arrival: Arrival) -> None:
        request = arrival.request
        name = f"{arrival.zone}~{request.idempotency_key}"
        record = JobRecord(name, request, JobState.QUEUED, self.time())
        if not _fits_some_rack(request, self.configuration):
            self.metrics.never_fit += 1
            return
        zone = self._zones[arrival.zone]
        zone.waiting_by_id[name] = record
        if arrival.cancel_at is not None:
            self.schedule(max(self.now, arrival.cancel_at), self._cancel, name)
        self._request_decision(zone)

    def _cancel(self, job: str) -> None:
        for zone in self._zones.values():
            if job in zone.waiting_by_id:
                record = zone.waiting_by_id.pop(job)
                self._end(zone, record, Cancelled(record.started_at is not None))
            elif job in zone.running_by_id:
                record = zone.running_by_id[job]
                if record.state is not JobState.STOPPING:
                    self._stop(zone, record, 0.0, "cancel")

    def _decide(self, zone: SimulatedZone) -> None:
        zone.decision_due = False
        view = self._view(zone)
        begin = time.perf_counter()
        decision = zone.policy.decide(view)
        self.metrics.decision_seconds.append(time.perf_counter() - begin)
        self._apply(zone, decision)
        if decision.truncated:
            self._request_decision(zone)

    def _apply(self, zone: SimulatedZone, decision: Decision) -> None:
        if self.configuration.zones_by_id[zone.id].mode is ZoneMode.IN_SERVICE:
            for assignment in decision.assignments:
                self._place(zone, assignment)
        for reclaim in decision.preemptions:
            self._reclaim(zone, reclaim)
        for move in decision.moves:
            self._move(zone, move)
        for refusal in decision.refusals:
            record = zone.waiting_by_id.pop(refusal.job, None)
            if record is not None:
                self._end(zone, record, NotRun(refusal.code))

    def _place(self, zone: SimulatedZone, assignment: Assignment) -> None:
        record = zone.waiting_by_id.get(assignment.job)
        if record is None or len(assignment.workers) != record.request.gang:
            self.metrics.refused_assignments += 1
            return
        attempt = record.placement.attempt + 1 if record.placement else 1
        placement = Placement(attempt, assignment.workers, assignment.guarantee)
        placed = attrs.evolve(record, placement=placement, state=JobState.PLACED)
        zone.occupy(placed)
        if not zone.accepts(placed):
            zone.vacate(placed)
            self.metrics.refused_assignments += 1
            return
        del zone.waiting_by_id[record.id]
        zone.running_by_id[record.id] = placed
        self.schedule(self.now + START_DELAY, self._start, zone, record.id, attempt)

    def _start(self, zone: SimulatedZone, job: str, attempt: int) -> None:
        record = zone.find_running(job, attempt)
        if record is None or record.state is not JobState.PLACED:
            return
        if zone.failing_workers & set(record.placement.workers):
            self.schedule(self.now + 1.0, self._fail_attempt, zone, job, attempt)
            return
        if job not in self.metrics.first_start:
            self.metrics.started(record, self.now)
        seconds = self._arrival_by_key[record.request.idempotency_key].run_seconds
        ends_at = self.now + seconds - record.progress
        zone.running_by_id[job] = attrs.evolve(
            record, state=JobState.RUNNING, started_at=self.time()
        )
        self._attempts[job] = RunningAttempt(self.now, record.progress, 1.0, ends_at)
        self.schedule(ends_at, self._complete, zone, job, attempt)
        self.schedule(self.now + CHECKPOINT_INTERVAL, self._checkpoint, zone, job, attempt)

    def _checkpoint(self, zone: SimulatedZone, job: str, attempt: int) -> None:
        record = zone.find_running(job, attempt)
        if record is None or record.state is not JobState.RUNNING:
            return
        running_attempt = self._attempts[job]
        progress = running_attempt.initial_progress + self.now - running_attempt.start_seconds
        zone.running_by_id[job] = attrs.evolve(record, progress=progress)
        self.schedule(self.now + CHECKPOINT_INTERVAL, self._checkpoint, zone, job, attempt)

    def _complete(self, zone: SimulatedZone, job: str, attempt: int) -> None:
        record = zone.find_running(job, attempt)
        if record is None or job not in self._attempts:
            return
        self._close_segment(zone, record, lost=0.0)
        self._release(zone, record)
        self._end(zone, record, Succeeded(()))

    def _fail_attempt(self, zone: SimulatedZone, job: str, attempt: int) -> None:
        record = zone.find_running(job, attempt)
        if record is None:
            return
        self._release(zone, record)
        failed = attrs.evolve(record, state=JobState.QUEUED, failures=record.failures + 1)
        if failed.failures >= MAX_ATTEMPT_FAILURES:
            self._end(zone, failed, Failed("worker-refused"))
        else:
            zone.waiting_by_id[job] = failed

    def _close_segment(self, zone: SimulatedZone, record: JobRecord, lost: float) -> None:
        running_attempt = self._attempts.pop(record.id, None)
        if running_attempt is None:
            return
        accelerators = record.request.gang * record.request.shape.accelerators
        self.metrics.segments.append(
            Segment(
                zone.id, running_attempt.start_seconds, self.now, accelerators, lost * accelerators
            )
        )

    def _release(self, zone: SimulatedZone, record: JobRecord) -> None:
        zone.vacate(record)
        del zone.running_by_id[record.id]
        self._request_decision(zone)

    def _end(self, zone: SimulatedZone, record: JobRecord, outcome: object) -> None:
        ended = attrs.evolve(record, state=JobState.ENDED, ended_at=self.time(), outcome=outcome)
        zone.policy.job_ended(ended)
        self.metrics.ended(ended, self.now)

    def _reclaim(self, zone: SimulatedZone, reclaim: Preemption) -> None:
        record = zone.running_by_id.get(reclaim.job)
        if record is None or record.state is JobState.STOPPING:
            return
        self.metrics.reclaimed(reclaim, self.now)
        self._stop(zone, record, reclaim.grace, "reclaim")

    def _stop(self, zone: SimulatedZone, record: JobRecord, grace: float, reason: str) -> None:
        stop_seconds = self._rng.uniform(0.2, 2.0)
        zone.running_by_id[record.id] = attrs.evolve(
            record, state=JobState.STOPPING, stop_reason=reason
        )
        saved = stop_seconds <= grace
        wait = min(stop_seconds, grace) + 0.1
        attempt = record.placement.attempt
        self.schedule(self.now + wait, self._stopped, zone, record.id, attempt, saved)

    def _stopped(self, zone: SimulatedZone, job: str, attempt: int, saved: bool) -> None:
        record = zone.find_running(job, attempt)
        if record is None:
            return
        progress = record.progress
        running_attempt = self._attempts.get(job)
        if running_attempt is not None:
            done = running_attempt.initial_progress + self.now - running_attempt.start_seconds
            progress = done if saved else record.progress
            self._close_segment(zone, record, lost=done - progress)
        self._release(zone, record)
        if record.stop_reason == "cancel":
            self._end(zone, record, Cancelled(True))
            return
        zone.waiting_by_id[job] = attrs.evolve(
            record, state=JobState.QUEUED, progress=progress, started_at=None, stop_reason=None
        )

    def _move(self, zone: SimulatedZone, move: Move) -> None:
        record = zone.waiting_by_id.pop(move.job, None)
        if record is not None:
            self.metrics.moves += 1
            moved = attrs.evolve(record, moves=record.moves + 1)
            self.schedule(self.now + 0.2, self._adopt, self._zones[move.zone], moved)

    def _adopt(self, zone: SimulatedZone, record: JobRecord) -> None:
        zone.waiting_by_id[record.id] = record
        self._request_decision(zone)

    def _set_mode(self, zone_id: str, mode: ZoneMode) -> None:
        zones = dict(self.configuration.zones_by_id)
        zones[zone_id] = attrs.evolve(zones[zone_id], mode=mode)
        self.configuration = attrs.evolve(
            self.configuration, version=self.configuration.version + 1, zones_by_id=zones
        )
        for zone in self._zones.values():
            self._request_decision(zone)
        if mode is ZoneMode.OUT:
            self._drain(self._zones[zone_id])

    def _drain(self, zone: SimulatedZone) -> None:
        grace = 5.0
        for position, job in enumerate(zone.policy.drain_order(self._view(zone))):
            record = zone.running_by_id.get(job)
            if record is not None and record.state is not JobState.STOPPING:
                self.schedule(
                    self.now + 0.02 * position, self._stop_for_withdrawal, zone, job, grace
                )

    def _stop_for_withdrawal(self, zone: SimulatedZone, job: str, grace: float) -> None:
        record = zone.running_by_id.get(job)
        if record is not None and record.state is not JobState.STOPPING:
            self._stop(zone, record, grace, "zone-out")

    def _begin_failing(self, zone_id: str, worker: str) -> None:
        zone = self._zones[zone_id]
        zone.failing_workers.add(worker)
        self.schedule(self.now + 1800.0, zone.failing_workers.discard, worker)

    def _lose_worker(self, zone_id: str, name: str) -> None:
        zone = self._zones[zone_id]
        zone.workers_by_id[name].usable = False
        for record in list(zone.running_by_id.values()):
            if name in record.placement.workers and record.state is not JobState.STOPPING:
                self._stop(zone, record, 0.0, "reclaim")
        self.schedule(self.now + 1200.0, self._regain_worker, zone, name)

    def _regain_worker(self, zone: SimulatedZone, name: str) -> None:
        zone.workers_by_id[name].usable = True
        self._request_decision(zone)


def _fits_some_rack(request: JobRequest, configuration: Configuration) -> bool:
    """Return whether a gang fits into a rack of some zone if nothing else runs there."""
    capacities = [zone.capacity for zone in configuration.zones_by_id.values()]
    return any(
        request.shape.fit_count(each.worker) * each.workers_per_rack >= request.gang
        for each in capacities
    )
