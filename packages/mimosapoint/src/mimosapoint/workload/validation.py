"""Checks of stored jobs, which another program or version may have written."""

from datetime import datetime, timedelta

from mimosapoint.codec import encode
from mimosapoint.errors import CodecError
from mimosapoint.workload.core import AcceptedJob, Step
from mimosapoint.workload.progress import JobProgress

__all__ = ["MAX_JOB_TASKS", "check_job", "check_progress", "task_total"]

MAX_JOB_TASKS = 100_000
"""Most tasks of a job in all its occurrences, as all may be due at once; several times the 13,000
tasks that a whole fleet runs at once. An owner keeps each of them in memory."""

MAX_NUMBER = 2**40
"""Bound of amounts and other numbers, above all that a worker can have."""


def task_total(steps: tuple[Step, ...], occurrences: int) -> int:
    """Return the number of tasks of a job in all its occurrences."""
    return occurrences * sum(step.count for step in steps)


def check_job(job: AcceptedJob) -> None:
    """Check that an owner can handle a job.

    :raises CodecError: it cannot: its steps have no order, it has too many tasks, or its times
        cannot be computed with.
    """
    if not job.steps:
        raise CodecError("steps: empty")
    for number, step in enumerate(job.steps):
        if step.count < 1 or not all(0 <= each < number for each in step.after):
            raise CodecError(f"steps: {number} has no tasks, or follows no earlier step")
        amounts = step.amounts
        numbers = (amounts.cpu_millis, amounts.memory_mb, amounts.accelerators, step.spread_limit)
        if not all(0 <= each <= MAX_NUMBER for each in numbers):
            raise CodecError(f"steps: {number} has a negative or too large number")
    if job.occurrences < 1 or task_total(job.steps, job.occurrences) > MAX_JOB_TASKS:
        raise CodecError(f"not within 1 to {MAX_JOB_TASKS} tasks")
    first, last = job.accepted_at, job.accepted_at
    if job.schedule is not None:
        if job.schedule.interval < timedelta(0):
            raise CodecError("schedule: negative interval")
        first = job.schedule.first
    try:
        last = job.schedule.due(job.occurrences - 1) if job.schedule else last
        deadline = job.slack_factor * job.critical_path() + job.target
        for time in (first, last, job.accepted_at):
            _check_time(time)
            _check_time(time + deadline)
    except (OverflowError, ValueError) as error:
        raise CodecError(f"times: {error}") from error


def check_progress(job: AcceptedJob, progress: JobProgress) -> None:
    """Check that an owner can go on from the progress of a job, and store it again.

    :raises CodecError: it cannot: a recorded start is not one of a unit of the job, so that nothing
        says which runs the job may have, or a number is too large to be stored.
    """
    for key, start in progress.starts.items():
        unit = job.find_unit(key)
        if unit is None or len(start.workers) != len(job.tasks_of(unit)):
            raise CodecError(f"starts: {key} names no unit, or not a worker for each of its tasks")
        if start.born and len(start.born) != len(start.workers):
            raise CodecError(f"starts: {key} names not an incarnation for each worker")
    try:
        encode(progress)
    except (TypeError, ValueError) as error:
        raise CodecError(f"progress: {error}") from error


def _check_time(time: datetime) -> None:
    if time.tzinfo is None:
        raise CodecError("times: without time zone")
