"""Measurement of the load of each queue, right after a decision of the planner."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

import attrs

from mimosapoint.cell.decisions.admission import BlockedShape, QueueLoad
from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.order import find_start_order
from mimosapoint.cell.decisions.placement_state import PlacementState
from mimosapoint.cell.decisions.placing import place
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import JobProgress, UnitId

__all__ = ["LoadMeter", "make_probe"]

MEASURED_TIME = timedelta(seconds=20)
"""Time over which starts are counted; about three run times of the measured deployments."""

MIN_MEASURED_TIME = timedelta(seconds=2)
"""Least time for which a queue must have been held up; twice the longest time between decisions."""

MAX_GAP = timedelta(seconds=2)
"""Longest time between two measurements; after a longer one all queues are measured anew, as
nothing could start meanwhile for other reasons than load."""


@attrs.define
class _HeldUpQueue:
    """A queue whose newest unit has not fitted since a time.

    :param since: that time.
    :param jobs_by_id: jobs that had not started at the last measurement.
    :param starts: times at which jobs had left the queue, and their number.
    """

    since: datetime
    jobs_by_id: dict[str, Job] = attrs.field(factory=dict)
    starts: deque[tuple[datetime, int]] = attrs.field(factory=deque)

    def count_starts(self, jobs_by_id: dict[str, Job], now: datetime) -> int:
        """Record which jobs have left; return the number that left in the measured time."""
        left = len(self.jobs_by_id.keys() - jobs_by_id.keys())
        self.jobs_by_id = jobs_by_id
        self.starts.append((now, left))
        while self.starts[0][0] < now - MEASURED_TIME:
            self.starts.popleft()
        return sum(count for _, count in self.starts)


class LoadMeter:
    """Measures which queues are held up, what waits in them and how fast they drain.

    A queue is held up while a unit like its newest one does not fit into the capacity that is free
    after a decision. The drain rate is counted only during such times: at other times it is the
    rate of arrivals, and the queue could drain faster.

    :param start_order: name of the order in which waiting units of one priority start.
    """

    def __init__(self, start_order: str) -> None:
        self._order = find_start_order(start_order)
        self._held_up_by_name: dict[str, _HeldUpQueue] = {}
        self._measured_at: datetime | None = None

    def measure(
        self,
        jobs: Iterable[Job],
        active: Iterable[Unit],
        workers: Sequence[Worker],
        context: DecisionContext,
    ) -> dict[str, QueueLoad]:
        """Return the loads of the queues that are held up, by name.

        :param jobs: jobs that have not ended.
        :param active: units that have runs.
        :param workers: the usable workers.
        :param context: circumstances of the decision that was just made.
        """
        now = context.now
        if self._measured_at is None or now - self._measured_at > MAX_GAP:
            self._held_up_by_name.clear()
        self._measured_at = now
        queued_by_name: dict[str, dict[str, Job]] = {}
        for job in jobs:
            if job.is_waiting and job.units_by_id:
                queued_by_name.setdefault(job.record.queue, {})[job.record.id] = job
        placement_state = PlacementState(workers, now)
        pools = {worker.registration.pool for worker in workers}
        turnover = min(MEASURED_TIME, _longest_estimate(active))
        loads_by_name = {}
        for name in self._held_up_by_name.keys() - queued_by_name.keys():
            del self._held_up_by_name[name]
        probes_by_name = {
            name: make_probe(max(jobs_by_id.values(), key=lambda job: job.accepted_rev), now)
            for name, jobs_by_id in queued_by_name.items()
        }
        blocked_by_pool: dict[str, list[BlockedShape]] = {}
        # Small units come first, since what is larger than a unit that does not fit need not be
        # tried: with 3,500 workers one attempt takes two milliseconds.
        for name, probe in sorted(probes_by_name.items(), key=lambda item: _demand(item[1])):
            jobs_by_id = queued_by_name[name]
            pool = context.configuration.pool_of(probe.job.record)
            if pool not in pools:
                # Nothing is known about the drain rate once the workers are back.
                self._held_up_by_name.pop(name, None)
                continue
            blocked = blocked_by_pool.setdefault(pool, [])
            if not any(shape.covers(probe.step) for shape in blocked):
                if place(placement_state, probe, pool) is not None:
                    self._held_up_by_name.pop(name, None)
                    continue
                blocked.append(_shape_of(probe))
            queue = self._held_up_by_name.setdefault(name, _HeldUpQueue(now))
            starts = queue.count_starts(jobs_by_id, now)
            # What runs now may end all at once, so that starts are counted over a whole run.
            if now - queue.since < max(MIN_MEASURED_TIME, turnover):
                continue
            loads_by_name[name] = self._load(probe, jobs_by_id, starts, queue.since, context)
        return loads_by_name

    def _load(
        self,
        probe: Unit,
        jobs_by_id: dict[str, Job],
        starts: int,
        since: datetime,
        context: DecisionContext,
    ) -> QueueLoad:
        now = context.now
        key = self._order(probe, context)
        waiting = sum(
            self._order(next(iter(job.units_by_id.values())), context) < key
            for job in jobs_by_id.values()
        )
        oldest = now - min(job.waiting_since for job in jobs_by_id.values())
        return QueueLoad(
            waiting,
            starts,
            round(min(now - since, MEASURED_TIME).total_seconds(), 1),
            round(oldest.total_seconds(), 1),
            _shape_of(probe),
        )


def make_probe(like: Job, now: datetime) -> Unit:
    """Return the first unit of a job like another one that would be accepted now.

    Limits on tasks on one worker are left out: they depend on the other tasks of the job.
    """
    steps = tuple(attrs.evolve(step, spread_limit=0) for step in like.record.steps)
    record = attrs.evolve(like.record, steps=steps, accepted_at=now, schedule=None)
    job = Job(record, like.accepted_rev + 1, JobProgress(), 0, now)
    step = next(number for number, step in enumerate(steps) if not step.after)
    return Unit(UnitId(record.id, 0, step, 0), job, UnitState.WAITING, now)


def _shape_of(unit: Unit) -> BlockedShape:
    step = unit.step
    return BlockedShape(unit.size, step.amounts, step.label, step.gang and step.rack_local)


def _demand(unit: Unit) -> tuple[int, int, int]:
    amounts = unit.step.amounts
    return (unit.size, amounts.accelerators, amounts.cpu_millis)


def _longest_estimate(active: Iterable[Unit]) -> timedelta:
    return max((unit.step.estimate for unit in active), default=timedelta())
