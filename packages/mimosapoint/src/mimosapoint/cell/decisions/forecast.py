"""Forecast of the start of a waiting unit, from the estimated ends of the runs before it."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta
from itertools import count

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.placing import place
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import ResourceAmounts

__all__ = ["Forecast", "forecast_start"]

MAX_CHECKS = 50_000
"""Most checks of a unit on a worker in one forecast. They take about 50 ms, a third of the margin
that an owner keeps before the end of its lease."""

MIN_REMAINING_SHARE = 0.1
"""Least remaining time of a run, as a share of its estimate; estimates are often too short."""

MIN_RUN_TIME = timedelta(milliseconds=100)
"""Least run time of a unit without an estimate."""


@attrs.frozen
class Forecast:
    """Expected start of a unit.

    :param at: time of the start.
    :param workers: ids of the workers, one for each task.
    """

    at: datetime
    workers: tuple[str, ...]


def forecast_start(
    probe: Unit,
    ordered: Sequence[Unit],
    active: Iterable[Unit],
    workers: Iterable[Worker],
    context: DecisionContext,
) -> Forecast | None:
    """Return when a unit is expected to start, or ``None`` if that takes too long to find.

    Reservations, preemptions and later arrivals are not considered.

    :param probe: the unit.
    :param ordered: the waiting units in their order, with the probe.
    :param active: units that have runs.
    :param workers: the usable workers.
    :param context: circumstances of the decision.
    """
    placement_state = PlacementState(workers, context.now)
    ends = _Ends(active, placement_state, context.now)
    now, pending, checks = context.now, list(ordered), 0
    while True:
        blocked, still_pending = set(), []
        for unit in pending:
            key = (unit.job.record.queue, unit.size, unit.step.amounts, unit.step.label)
            checks += 1
            if key not in blocked:
                checks += len(placement_state.candidates)
                pool = context.configuration.pool_of(unit.job.record)
                candidates = place(placement_state, unit, pool)
                if candidates is not None:
                    if unit is probe:
                        return Forecast(now, tuple(each.worker.id for each in candidates))
                    placement_state.deduct(candidates, unit)
                    ends.add(now + max(unit.step.estimate, MIN_RUN_TIME), candidates, unit)
                    continue
                blocked.add(key)
            still_pending.append(unit)
            if checks > MAX_CHECKS:
                return None
        pending = still_pending
        ended_at = ends.apply_next()
        if ended_at is None:
            return None
        now = ended_at


class _Ends:
    """Expected ends of runs, earliest first, and the capacity that each frees."""

    def __init__(self, active: Iterable[Unit], placement_state: PlacementState, now: datetime):
        self._heap: list[tuple[datetime, int, list[tuple[CandidateWorker, ResourceAmounts]]]] = []
        self._numbers = count()
        candidates_by_worker = {each.worker.id: each for each in placement_state.candidates}
        for unit in active:
            estimate = unit.step.estimate
            at = max(unit.since + estimate, now + MIN_REMAINING_SHARE * estimate)
            freed = [
                (candidates_by_worker[run.worker.id], run.amounts)
                for run in unit.task_runs_by_task.values()
                if run.worker.id in candidates_by_worker
            ]
            heapq.heappush(self._heap, (at, next(self._numbers), freed))

    def add(self, at: datetime, candidates: list[CandidateWorker], unit: Unit) -> None:
        """Add the end of a unit that starts on the candidates."""
        freed = [(candidate, unit.step.amounts) for candidate in candidates]
        heapq.heappush(self._heap, (at, next(self._numbers), freed))

    def apply_next(self) -> datetime | None:
        """Free the capacity of the next end and return its time; ``None`` if there is none."""
        if not self._heap:
            return None
        at, _, freed = heapq.heappop(self._heap)
        for candidate, amounts in freed:
            candidate.free += amounts
        return at
