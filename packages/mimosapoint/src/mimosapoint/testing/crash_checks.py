"""Checks of tasks that crash their workers."""

from collections.abc import Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.workload import TaskId

__all__ = ["WORKERS_TO_GIVE_UP", "crash_violations", "crashing_tasks", "may_be_given_up"]

CRASHES_OBSERVED = 3
"""Crashes under one task after which the users count its further starts."""

STARTS_ALLOWED = 2
"""Further starts that the users allow."""

WORKERS_TO_GIVE_UP = 2
"""Different workers that have crashed under one task from which the users allow its job to be shown
as failed."""


def crashing_tasks(history: Iterable[RunRecord]) -> dict[TaskId, list[RunRecord]]:
    """Return the runs that crashed their workers, by task.

    :param history: runs, ordered by start.
    """
    crashes_by_task: dict[TaskId, list[RunRecord]] = {}
    for record in history:
        if record.crashed_worker:
            crashes_by_task.setdefault(record.task, []).append(record)
    return crashes_by_task


def crash_violations(history: Iterable[RunRecord]) -> list[str]:
    """Return tasks that were started again and again although they crash their workers.

    :param history: every run that a worker accepted, ordered by start.
    """
    history = list(history)
    violations = []
    for task, crashes in crashing_tasks(history).items():
        if len(crashes) < CRASHES_OBSERVED:
            continue
        third_at = crashes[CRASHES_OBSERVED - 1].started_at
        later = [each for each in history if each.task == task and each.started_at > third_at]
        if len(later) > STARTS_ALLOWED:
            violations.append(f"{task} started {len(later)} times after its third crash")
    return violations


def may_be_given_up(history: Iterable[RunRecord]) -> bool:
    """Return whether a job may be shown as failed for the crashes of a task.

    :param history: runs of the job.
    """
    crashes_by_task = crashing_tasks(history)
    return any(
        len({crash.worker for crash in crashes}) >= WORKERS_TO_GIVE_UP
        for crashes in crashes_by_task.values()
    )
