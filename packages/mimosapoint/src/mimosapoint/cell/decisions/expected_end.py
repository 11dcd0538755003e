"""Expected ends of runs."""

from __future__ import annotations

from datetime import datetime, timedelta

from mimosapoint.cell.decisions.durations import Durations
from mimosapoint.cell.decisions.units import TaskRun, Unit

__all__ = ["expected_remaining", "unit_remaining"]


def expected_remaining(task_run: TaskRun, now: datetime, durations: Durations) -> timedelta:
    """Return the time that a run is expected to need still.

    A run that has exceeded its expected time is expected to need as long again as it has exceeded
    it.

    :param task_run: a run whose unit is known.
    :param now: present time.
    :param durations: expected run times.
    """
    remaining = durations.remaining(task_run, now)
    if task_run.progress_rate.has_rate or task_run.percent:
        return remaining
    elapsed = now - task_run.unit.since
    return abs(durations.expected(task_run.unit) - elapsed)


def unit_remaining(unit: Unit, now: datetime, durations: Durations) -> timedelta:
    """Return the time until all present runs of a unit are expected to have ended."""
    remaining = [
        expected_remaining(task_run, now, durations) for task_run in unit.task_runs_by_task.values()
    ]
    return max(remaining, default=timedelta(0))
