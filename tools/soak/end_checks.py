"""Checks that jobs are shown as failed or cancelled only for a cause."""

from __future__ import annotations

from collections.abc import Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.workload import RunEnd

from tools.soak.configurations import MAX_ATTEMPTS
from tools.soak.connections import Request

__all__ = [
    "ENDS",
    "ends_without_cause",
    "failed_attempts",
    "removable_at_by_job",
    "workers_crashed_under_one_task",
]

ENDS = ("complete", "failed", "cancelled")

RETENTION_SECONDS = 120.0
"""Time for which nodes must know a job that has ended, as in the default settings."""

CRASHES_TO_GIVE_UP = 2
"""Different workers that must have crashed under one task before its job may be given up."""


def ends_without_cause(history: Iterable[RunRecord], requests: Iterable[Request]) -> list[str]:
    """Return jobs that were shown as failed or cancelled without a cause by then.

    A job fails if a unit has failed ``MAX_ATTEMPTS`` times, or if two different workers have
    crashed under one of its tasks. It is cancelled if a caller has sent a cancellation.

    :param history: the runs.
    :param requests: the requests of all callers.
    """
    requests = list(requests)
    cancelled_at_by_job: dict[str, float] = {}
    for request in requests:
        if request.method == "DELETE":
            at = cancelled_at_by_job.get(request.job, request.sent_at)
            cancelled_at_by_job[request.job] = min(at, request.sent_at)
    runs_by_job: dict[str, list[RunRecord]] = {}
    for record in history:
        runs_by_job.setdefault(record.task.job, []).append(record)
    violations: dict[tuple[str, str], str] = {}
    for request in requests:
        line = None
        if request.state == "cancelled":
            if cancelled_at_by_job.get(request.job, float("inf")) > request.replied_at:
                line = "which no caller had cancelled"
        elif request.state == "failed":
            runs = [
                each
                for each in runs_by_job.get(request.job, ())
                if each.ended_at is not None and each.ended_at <= request.replied_at
            ]
            attempts, crashed = failed_attempts(runs), workers_crashed_under_one_task(runs)
            if attempts < MAX_ATTEMPTS and crashed < CRASHES_TO_GIVE_UP:
                line = (
                    f"after at most {attempts} failed runs of a unit of {MAX_ATTEMPTS},"
                    f" and {crashed} workers crashed under one task"
                )
        if line is not None:
            violations.setdefault(
                (request.job, request.state),
                f"node {request.node} told {request.state} of {request.job} at"
                f" {request.replied_at:.3f}, {line}",
            )
    return list(violations.values())


def failed_attempts(runs: Iterable[RunRecord]) -> int:
    """Return the most failed runs of a unit; the tasks of a gang fail together, as one.

    :param runs: runs of one job.
    """
    runs_by_unit: dict[tuple[int, ...], set[int]] = {}
    for record in runs:
        if record.end is RunEnd.FAILED:
            task = record.task
            index = 0 if record.step.gang else task.index
            runs_by_unit.setdefault((task.occurrence, task.step, index), set()).add(record.run)
    return max((len(numbers) for numbers in runs_by_unit.values()), default=0)


def workers_crashed_under_one_task(runs: Iterable[RunRecord]) -> int:
    """Return the most different workers that crashed, for any cause, while they ran one task.

    :param runs: runs of one job.
    """
    workers_by_task: dict[str, set[str]] = {}
    for record in runs:
        # Only the crash or restart of a worker loses a run; a silent worker's run lapses.
        if record.end is RunEnd.LOST:
            workers_by_task.setdefault(record.task.key, set()).add(record.worker)
    return max((len(workers) for workers in workers_by_task.values()), default=0)


def removable_at_by_job(requests: Iterable[Request]) -> dict[str, float]:
    """Return from when on jobs may be unknown, counted from the first reply that told their end."""
    removable: dict[str, float] = {}
    for request in requests:
        if request.state in ENDS:
            at = request.replied_at + RETENTION_SECONDS
            removable[request.job] = min(at, removable.get(request.job, at))
    return removable
