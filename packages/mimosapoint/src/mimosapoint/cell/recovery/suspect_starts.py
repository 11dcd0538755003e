"""Review of the suspect starts of earlier owners, whose workers may have crashed unseen."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from mimosapoint.cell.crash_blame import CrashBlame
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.workload import SuspectStart, WorkerCrash

if TYPE_CHECKING:
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["make_suspect_start", "review_suspect_starts"]


def make_suspect_start(
    unit: Unit, run: int, sessions: tuple[WorkerSession, ...], is_sole: bool
) -> SuspectStart:
    """Return the record of a start that is about to be ordered.

    :param unit: unit with a suspect task.
    :param run: number of the run.
    :param sessions: session of the worker of each task.
    :param is_sole: whether no run of another unit that might crash a worker is on them.
    """
    return SuspectStart(
        run,
        tuple(session.id for session in sessions),
        tuple(session.incarnation for session in sessions),
        is_sole,
    )


def review_suspect_starts(
    job_table: CellJobTable, sessions_by_id: Mapping[str, WorkerSession], blame: CrashBlame
) -> None:
    """Record the crashes under suspect starts of earlier owners.

    Called once the runs on all workers are known. A run that is on no worker, although its worker
    goes on, never started or has ended in another way. No such crash is conclusive, as this owner
    does not know what else was lost at that time.
    """
    for job in list(job_table.open_jobs()):
        for key, start in list(job.progress.suspect_starts.items()):
            unit = next((each for each in job.units_by_id.values() if each.id.key == key), None)
            if unit is not None:
                _review_start(unit, start, sessions_by_id, blame)


def _review_start(
    unit: Unit,
    start: SuspectStart,
    sessions_by_id: Mapping[str, WorkerSession],
    blame: CrashBlame,
) -> None:
    for task, worker, born in zip(unit.tasks, start.workers, start.born, strict=True):
        task_run = unit.task_runs_by_task.get(task)
        if task_run is not None and task_run.run == start.run:
            continue
        session = sessions_by_id.get(worker)
        is_over = session is None or session.is_replaced or _is_other(session.incarnation, born)
        if is_over or not session.synced:
            crash = WorkerCrash(
                start.run,
                worker,
                is_early=True,
                is_sole=start.is_sole,
            )
            blame.record(unit, task, crash)


def _is_other(incarnation: int, born: int) -> bool:
    """Return whether two incarnations, each of which is 0 if not known, certainly differ."""
    return bool(incarnation and born) and incarnation != born
