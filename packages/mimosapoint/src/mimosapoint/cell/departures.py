"""Choice of the units to move away from workers that are about to leave."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import attrs

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.units import TaskRun, Unit, UnitState
from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["Departures", "find_departures"]

LATE_END_FACTOR = 1.5
"""Factor by which the time that a run needs must exceed the time that is left before it is given
up. Workers often leave later than announced, and the needed time is an estimate."""


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


def find_departures(sessions: Iterable[WorkerSession], settings: CellSettings) -> Departures:
    """Return the units that will not end before a worker of theirs leaves.

    What runs on a worker that leaves is lost, and is noticed only when its lease has expired. A
    unit with checkpoints works on until there is just time for a stop, which saves its progress.
    Any other unit loses its progress in both cases, so it is stopped at once, to start again early.

    :param sessions: sessions of all workers.
    :param settings: time that a stop takes.
    """
    departures = Departures()
    for session in sessions:
        left = session.time_to_departure()
        if left is None or left <= timedelta(0):
            continue
        for task_run in session.task_runs_by_key.values():
            unit = task_run.unit
            if unit is not None and _is_movable(unit) and not _ends_in_time(task_run, left):
                is_saved = unit.step.checkpoints
                stop_time = settings.run_stop_time + settings.order_timeout
                departures.add(unit, left - stop_time if is_saved else timedelta(0))
    return departures


def _is_movable(unit: Unit) -> bool:
    return unit.state is UnitState.ACTIVE and not unit.stop_reason and unit.end is None


def _ends_in_time(task_run: TaskRun, left: timedelta) -> bool:
    needed = task_run.session.remaining_run_time(task_run)
    return needed <= left * (1 if task_run.unit.step.checkpoints else LATE_END_FACTOR)
