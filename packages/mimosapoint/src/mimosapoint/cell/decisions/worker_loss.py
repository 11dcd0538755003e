"""Silence or loss of a worker, as decisions see it."""

from __future__ import annotations

from datetime import datetime

import attrs

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker

__all__ = ["WorkerLoss"]


@attrs.define(eq=False)
class WorkerLoss:
    """A silence of a worker that may turn out to be the end of its incarnation.

    :param worker: the worker.
    :param at: when it was found to have stopped replying.
    :param heard_at: when this owner heard from it last; ``None`` if never.
    :param suspects: runs that may have crashed it.
    :param is_planned: whether the worker had announced that it leaves.
    :param has_known_suspect: whether it ran a unit that was suspected of earlier crashes.
    :param is_over: whether its incarnation has certainly ended.
    :param incarnation: start of that incarnation, as its replies show; 0 if not known.
    """

    worker: Worker
    at: datetime
    heard_at: datetime | None
    suspects: tuple[TaskRun, ...]
    is_planned: bool
    has_known_suspect: bool = False
    is_over: bool = False
    incarnation: int = 0

    def may_be_simultaneous(self, other: WorkerLoss) -> bool:
        """Return whether both workers may have been lost at the same moment.

        Each was lost between its last reply and the moment at which that was found. A worker that
        this owner has never heard may have been lost long ago.
        """
        if self.heard_at is None or other.heard_at is None:
            return False
        return max(self.heard_at, other.heard_at) <= min(self.at, other.at)
