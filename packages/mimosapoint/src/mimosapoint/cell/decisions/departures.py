"""Choice of the units to move away from workers that are about to leave."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import attrs

from mimosapoint.cell.decisions.units import TaskRun, Unit, UnitState
from mimosapoint.cell.settings import CellSettings

__all__ = ["Departures", "LeavingWorker", "find_departures"]


@attrs.frozen
class LeavingWorker:
    """A draining worker that has announced when it leaves.

    :param left: time until it may leave.
    :param remaining_by_run: time that each of its runs is expected to need still.
    """

    left: timedelta
    remaining_by_run: dict[TaskRun, timedelta]


@attrs.define
class Departures:
    """Units to move, and the time until another one is due.

    :param units: units whose runs are to be stopped now.
    :param next_after: time until the next unit is to be stopped; ``None`` if there is none.
    """

    units: list[Unit] = attrs.field(factory=list)
    next_after: timedelta | None = None

    def add(self, unit: Unit, delay: timedelta) -> None:
        """Add a unit that is to be stopped after a delay."""
        if delay > timedelta(0):
            self.next_after = delay if self.next_after is None else min(self.next_after, delay)
        elif unit not in self.units:
            self.units.append(unit)


def find_departures(leaving: Iterable[LeavingWorker], settings: CellSettings) -> Departures:
    """Return the units that will not end before a worker of theirs leaves.

    What runs on a worker that leaves is lost. A unit with checkpoints works on until there is just
    time for a stop, which saves its progress. Any other unit would lose its progress by the stop,
    so it is left to end: workers often leave later than announced.

    :param leaving: the workers that have announced when they leave.
    :param settings: time that a stop takes.
    """
    departures = Departures()
    for worker in leaving:
        if worker.left <= timedelta(0):
            continue
        for task_run, remaining in worker.remaining_by_run.items():
            unit = task_run.unit
            if unit is not None and _is_movable(unit) and remaining > worker.left:
                departures.add(unit, worker.left - settings.run_stop_time - settings.order_timeout)
    return departures


def _is_movable(unit: Unit) -> bool:
    is_running = unit.state is UnitState.ACTIVE and not unit.stop_reason and unit.end is None
    return is_running and unit.step.checkpoints
