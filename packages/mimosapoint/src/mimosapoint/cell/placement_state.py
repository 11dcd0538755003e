"""Room on workers while one decision is made."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from mimosapoint.cell.units import TaskRun, Unit
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.workload import ResourceAmounts

__all__ = ["PlacementState", "CandidateWorker"]

FAILED_WORKER_AVOIDANCE = timedelta(seconds=2)
"""Time for which a unit that failed waits for other workers; about the work of an urgent job."""


class CandidateWorker:
    """A worker and the room that is left on it.

    :param link: the worker.
    :param now: time of the decision.
    """

    def __init__(self, link: WorkerSession, now: datetime):
        self.session = link
        self.now = now
        self.free = link.free
        self.rack = link.registration.rack
        self.labels = link.registration.labels
        self.pool = link.registration.pool
        self._taken: dict[tuple[str, int, int], int] = {}

    def accepts(self, unit: Unit, pool: str) -> bool:
        """Tell whether tasks of the unit may run here, room aside.

        A unit that has failed goes neither to the same workers again nor to suspect ones, unless
        it would wait too long for others.
        """
        if not self.matches(unit, pool):
            return False
        if unit.failed_on and self.now - unit.since < FAILED_WORKER_AVOIDANCE:
            return (
                self.session.id not in unit.failed_on and not self.session.health.has_recent_failure
            )
        return True

    def matches(self, unit: Unit, pool: str) -> bool:
        """Tell whether the worker is one of the service's and has the label that is needed."""
        label = unit.step.label
        return self.pool == pool and (not label or label in self.labels)

    def count_step_tasks(self, unit: Unit) -> int:
        """Return how many tasks of the unit's step the worker has, or is about to get."""
        return self._taken.get(_step_of(unit), 0) + sum(
            1
            for assignment in self.session.task_runs_by_key.values()
            if _step_of(assignment) == _step_of(unit)
        )

    def reserve(self, unit: Unit) -> None:
        """Take the room of one task of the unit."""
        self.free -= unit.step.amounts
        key = _step_of(unit)
        self._taken[key] = self._taken.get(key, 0) + 1

    def fit_count(self, unit: Unit, free: ResourceAmounts | None = None) -> int:
        """Return how many tasks of the unit fit."""
        step = unit.step
        times = step.amounts.fit_count(self.free if free is None else free)
        if step.spread_limit and times:
            times = min(times, max(0, step.spread_limit - self.count_step_tasks(unit)))
        return times


class PlacementState:
    """The usable workers with their room, which placements and reservations take away.

    :param links: usable workers.
    :param now: time of the decision.
    """

    def __init__(self, links: Iterable[WorkerSession], now: datetime):
        self.candidates = [CandidateWorker(link, now) for link in links]
        self.candidates_by_rack: dict[str, list[CandidateWorker]] = {}
        for spot in self.candidates:
            self.candidates_by_rack.setdefault(spot.rack, []).append(spot)

    def reserve(self, spots: Iterable[CandidateWorker], unit: Unit) -> None:
        """Take the room of one task of the unit on each spot."""
        for spot in spots:
            spot.reserve(unit)


def _step_of(part: Unit | TaskRun) -> tuple[str, int, int]:
    task = part.id if isinstance(part, Unit) else part.task
    return (task.job, task.occurrence, task.step)
