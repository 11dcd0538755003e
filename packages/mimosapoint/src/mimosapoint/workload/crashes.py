"""Crashes of workers, as the stored progress of a job attributes them to its tasks."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime

import attrs

__all__ = ["WorkerCrash", "has_evidence", "is_suspect"]

CONCLUSIVE_WEIGHT = 2
"""Weight of a crash that only the task explains; each other one has a weight of 1."""

COMMON_CAUSES_TRUSTED = 1
"""Crashes with a common cause under one task, each within seconds of its start, that make it no
suspect. After a loss of power the next start lives; a task that crashes its workers, together with
others that do, is there at the next common loss again."""


@attrs.frozen
class WorkerCrash:
    """Crash, or so far only the silence, of a worker under a run that may have caused it.

    :param run: number of the run.
    :param worker: id of the worker.
    :param is_early: whether no report proves that the run had worked for a while.
    :param is_sole: whether no run of another unit can have caused it.
    :param is_conclusive: whether, besides, nothing speaks for another cause.
    :param found_at: time at which the owner found the worker to be silent, which is the same for
        all tasks that may have caused the crash; ``None`` if it was found by a later owner.
    :param is_explained: whether it counts for the limit of losses only: another task, which was
        given up, has caused it, a later owner found the worker of a first start to be lost, or many
        workers crashed at the same moment.
    :param is_confirmed: whether the incarnation of the worker that had the run has certainly ended;
        otherwise the worker may merely not be reachable, or may never have had the run, or not any
        more. Earlier versions did not record this.
    :param is_common: whether many workers crashed at the same moment, so that it is explained.
        Earlier versions do not record such a crash.
    """

    run: int
    worker: str
    is_early: bool = False
    is_sole: bool = False
    is_conclusive: bool = False
    found_at: datetime | None = None
    is_explained: bool = False
    is_confirmed: bool = False
    is_common: bool = False

    @property
    def is_certain(self) -> bool:
        """Whether the worker has crashed."""
        return self.is_confirmed or self.is_conclusive

    @property
    def weight(self) -> int:
        """Weight of the crash as evidence against the task."""
        if self.is_explained:
            return 0
        return CONCLUSIVE_WEIGHT if self.is_conclusive else 1

    def is_same_crash(self, other: WorkerCrash) -> bool:
        """Return whether both records are of one crash, under different tasks."""
        return (
            self.found_at is not None
            and self.worker == other.worker
            and self.found_at == other.found_at
        )


def is_suspect(crashes: Sequence[WorkerCrash]) -> bool:
    """Return whether a task is suspected of crashing its workers."""
    common = sum(crash.is_common for crash in crashes)
    return common > COMMON_CAUSES_TRUSTED or has_evidence(crashes)


def has_evidence(crashes: Sequence[WorkerCrash]) -> bool:
    """Return whether crashes without another cause speak against a task.

    One early crash does, as a task that crashes its workers crashes the one that starts it. Of a
    run that had worked for a while one crash says little.
    """
    unexplained = [crash for crash in crashes if not crash.is_explained]
    return len(unexplained) > 1 or any(crash.is_early for crash in unexplained)
