"""Crashes of workers, as the stored progress of a job attributes them to its tasks."""

from collections.abc import Sequence

import attrs

__all__ = ["SuspectStart", "WorkerCrash", "is_suspect"]

CONCLUSIVE_WEIGHT = 2
"""Weight of a crash that only the task explains; each other one has a weight of 1."""


@attrs.frozen
class WorkerCrash:
    """Crash of a worker under a run that may have caused it.

    :param run: number of the run.
    :param worker: id of the worker.
    :param is_early: whether no report proves that the run had worked for a while.
    :param is_sole: whether no run of another unit can have caused it.
    :param is_conclusive: whether, besides, nothing speaks for another cause.
    """

    run: int
    worker: str
    is_early: bool = False
    is_sole: bool = False
    is_conclusive: bool = False

    @property
    def weight(self) -> int:
        """Weight of the crash as evidence against the task."""
        return CONCLUSIVE_WEIGHT if self.is_conclusive else 1


@attrs.frozen
class SuspectStart:
    """Start of a unit with a suspect task, which is stored before it is ordered.

    :param run: number of the run.
    :param workers: id of the worker of each task.
    :param born: start of the incarnation of each of these workers, in milliseconds of its clock.
    :param is_sole: whether no run of another unit that might crash a worker was on them.
    """

    run: int
    workers: tuple[str, ...]
    born: tuple[int, ...]
    is_sole: bool = False


def is_suspect(crashes: Sequence[WorkerCrash]) -> bool:
    """Return whether a task is suspected of crashing its workers.

    One early crash makes it a suspect, as such a task crashes the worker that starts it. Of a run
    that had worked for a while one crash says little.
    """
    return len(crashes) > 1 or any(crash.is_early for crash in crashes)
