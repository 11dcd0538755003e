"""Checks of the runs that the simulated workers of a cell recorded."""

from collections.abc import Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.workload import RunEnd, TaskId

__all__ = ["run_violations"]


def run_violations(history: Iterable[RunRecord], over_capacity_workers: Iterable[str]) -> list[str]:
    """Return violations: workers over capacity, and wrong sequences of runs of a task.

    A task has one run at a time, and its run numbers increase. It does not start again after it
    was done, unless its worker lost the end before that was acknowledged.

    :param history: every run that a worker accepted, ordered by start.
    :param over_capacity_workers: ids of workers that had runs beyond their capacity.
    """
    violations = [f"{worker} is over its capacity" for worker in over_capacity_workers]
    records_by_task: dict[TaskId, list[RunRecord]] = {}
    for record in history:
        records_by_task.setdefault(record.task, []).append(record)
    for task, records in records_by_task.items():
        for earlier, later in zip(records, records[1:]):
            if earlier.ended_at is None or earlier.ended_at > later.started_at:
                violations.append(f"{task} runs twice at once")
            if earlier.end is RunEnd.DONE and not earlier.end_unreported:
                violations.append(f"{task} starts again after it was done")
            if later.run <= earlier.run:
                violations.append(f"{task} has run {later.run} after {earlier.run}")
    return violations
