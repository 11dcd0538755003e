"""Review of the starts of earlier owners, whose workers may have crashed unseen."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from mimosapoint.cell.crash_blame import CrashBlame
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import UnitStart, WorkerCrash

if TYPE_CHECKING:
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["review_start"]


def review_start(
    unit: Unit,
    start: UnitStart,
    sessions_by_id: Mapping[str, WorkerSession],
    blame: CrashBlame,
) -> None:
    """Record the crashes under a start of an earlier owner.

    Called once the runs on its workers are known. A run that is on no worker, although its worker
    goes on, never started or has ended in another way. No such crash is conclusive, as this owner
    does not know what else was lost at that time.
    """
    if unit.job.progress.starts.get(unit.id.key) != start:
        return
    if not start.born:
        _review_first_start(unit, start, blame)
        return
    for task, worker, born in zip(unit.tasks, start.workers, start.born, strict=True):
        task_run = unit.task_runs_by_task.get(task)
        if task_run is not None and task_run.run == start.run:
            continue
        session = sessions_by_id.get(worker)
        is_over = session is None or session.is_replaced or _is_other(session.incarnation, born)
        if is_over or not session.synced:
            # Not confirmed: the run may have ended before the worker did.
            crash = WorkerCrash(start.run, worker, is_early=True, is_sole=start.is_sole)
            blame.record(unit, task, crash)


def _review_first_start(unit: Unit, start: UnitStart, blame: CrashBlame) -> None:
    """Record a loss under a start of a unit that was not suspected, if its run is on no worker.

    If the task crashes its workers, this may be the crash that no owner has seen. It is no evidence
    against the task, and counts for the limit of losses only.
    """
    crashes = unit.job.progress.crashes
    for task, worker in zip(unit.tasks, start.workers, strict=True):
        known = crashes.get(task.key, ())
        is_unseen = all(each.is_common and each.run != start.run for each in known)
        if task not in unit.task_runs_by_task and is_unseen:
            blame.record(unit, task, WorkerCrash(start.run, worker, is_explained=True))


def _is_other(incarnation: int, born: int) -> bool:
    """Return whether two incarnations, each of which is 0 if not known, certainly differ."""
    return bool(incarnation and born) and incarnation != born
