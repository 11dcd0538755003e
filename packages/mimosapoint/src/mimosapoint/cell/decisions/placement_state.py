"""Free capacity of the workers during one decision."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from mimosapoint.cell.decisions.demand_mix import DemandMix
from mimosapoint.cell.decisions.durations import DeclaredDurations, Durations
from mimosapoint.cell.decisions.units import TaskRun, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import ResourceAmounts, UnitId

__all__ = ["PlacementState", "CandidateWorker"]

FAILED_WORKER_AVOIDANCE = timedelta(seconds=2)
"""Time for which a failed unit waits for workers without failures; about the run time of an urgent
job."""


class CandidateWorker:
    """A worker and its free capacity in one decision.

    :param worker: the worker.
    :param now: time of the decision.
    """

    def __init__(self, worker: Worker, now: datetime):
        self.worker = worker
        self.now = now
        self.free = worker.free
        self.rack = worker.registration.rack
        self.labels = worker.registration.labels
        self.pool = worker.registration.pool
        self.instability = worker.stability.instability(now)
        self.is_isolated = bool(worker.suspect_runs)
        self.started_units: list[Unit] = []
        self._is_over_capacity = worker.is_over_capacity
        self._deducted_by_step: dict[tuple[str, int, int], int] = {}

    def accepts(self, unit: Unit, pool: str) -> bool:
        """Return whether tasks of the unit may run here, regardless of free capacity.

        A failed unit avoids the workers on which it failed and those with a recent failure until
        it has waited for :data:`FAILED_WORKER_AVOIDANCE`. No unit joins one that is suspected of
        crashing its workers.
        """
        if self.is_isolated or not self.matches(unit, pool):
            return False
        if unit.failed_on and self.now - unit.since < FAILED_WORKER_AVOIDANCE:
            return (
                self.worker.id not in unit.failed_on and not self.worker.health.has_recent_failure
            )
        return True

    def matches(self, unit: Unit, pool: str) -> bool:
        """Return whether the worker belongs to the service and has the label of the step."""
        label = unit.step.label
        return self.pool == pool and (not label or label in self.labels)

    def count_step_tasks(self, unit: Unit) -> int:
        """Return how many tasks of the unit's step are on the worker or deducted from it."""
        return self._deducted_by_step.get(_step_of(unit), 0) + sum(
            1
            for task_run in self.worker.task_runs_by_key.values()
            if _step_of(task_run) == _step_of(unit)
        )

    def deduct(self, unit: Unit) -> None:
        """Deduct the demand of one task of the unit from the free capacity."""
        self.free -= unit.step.amounts
        key = _step_of(unit)
        self._deducted_by_step[key] = self._deducted_by_step.get(key, 0) + 1

    def fit_count(self, unit: Unit, free: ResourceAmounts | None = None) -> int:
        """Return how many tasks of the unit fit.

        :param unit: the unit.
        :param free: capacity to fit them into; by default the free capacity of the worker.
        """
        if free is None and self._is_over_capacity:
            return 0
        step = unit.step
        fit_count = step.amounts.fit_count(self.free if free is None else free)
        if step.spread_limit and fit_count:
            fit_count = min(fit_count, max(0, step.spread_limit - self.count_step_tasks(unit)))
        return fit_count


class PlacementState:
    """Free capacity of the usable workers; placements, reservations and holds reduce it.

    ``spanning_ids`` are the gangs that may span racks although one rack would be better.

    :param workers: the usable workers.
    :param now: time of the decision.
    :param demand_mix: shapes in demand.
    :param durations: expected run times.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        now: datetime,
        demand_mix: DemandMix | None = None,
        durations: Durations | None = None,
    ):
        self.now = now
        self.durations = durations or DeclaredDurations()
        self.demand_mix = demand_mix or DemandMix()
        self.spanning_ids: set[UnitId] = set()
        self.candidates = [CandidateWorker(worker, now) for worker in workers]
        self.candidates_by_rack: dict[str, list[CandidateWorker]] = {}
        for candidate in self.candidates:
            self.candidates_by_rack.setdefault(candidate.rack, []).append(candidate)

    def deduct(self, candidates: Iterable[CandidateWorker], unit: Unit) -> None:
        """Deduct the demand of one task of the unit for each item of ``candidates``."""
        for candidate in candidates:
            candidate.deduct(unit)


def _step_of(unit_or_run: Unit | TaskRun) -> tuple[str, int, int]:
    task = unit_or_run.id if isinstance(unit_or_run, Unit) else unit_or_run.task
    return (task.job, task.occurrence, task.step)
