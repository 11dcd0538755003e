"""Judges what workers saw of a cell."""

from collections.abc import Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.workload import RunEnd, TaskId

__all__ = ["run_violations"]


def run_violations(history: Iterable[RunRecord], overfull: Iterable[str]) -> list[str]:
    """Return what must never happen and did.

    :param history: every run that a worker took, in the order of their beginnings.
    :param overfull: ids of workers that had more to run than fits.
    """
    found = [f"{worker} is over its capacity" for worker in overfull]
    records_by_task: dict[TaskId, list[RunRecord]] = {}
    for record in history:
        records_by_task.setdefault(record.task, []).append(record)
    for task, records in records_by_task.items():
        for earlier, later in zip(records, records[1:]):
            if earlier.ended is None or earlier.ended > later.began:
                found.append(f"{task} runs twice at once")
            if earlier.end is RunEnd.DONE and not earlier.end_unreported:
                found.append(f"{task} starts again after it was done")
            if later.run <= earlier.run:
                found.append(f"{task} has run {later.run} after {earlier.run}")
    return found
