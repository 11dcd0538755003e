"""Callers of this node that wait for jobs to end."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from mimosapoint.jobs import Accepted, JobsChanged
from mimosapoint.model import JobView
from mimosapoint.peers import Dispatcher

__all__ = ["Waiter", "JobWaiters"]


@attrs.define
class Waiter:
    """The callers that wait for one job.

    :param callers: number of callers.
    :param changed: set when the job has ended or moved, and replaced by a new event after a move.
    :param view: the ended job; ``None`` until a notification of its end.
    """

    callers: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)
    view: JobView | None = None


class JobWaiters:
    """Wakes callers when a zone owner notifies this node that their job has ended or moved."""

    def __init__(self, dispatcher: Dispatcher):
        self._waiters_by_job: dict[str, Waiter] = {}
        dispatcher.handle(JobsChanged, self._handle_jobs_changed)

    @contextmanager
    def waiting(self, job_id: str) -> Iterator[Waiter]:
        """Register a caller for notifications about a job within the context."""
        waiter = self._waiters_by_job.setdefault(job_id, Waiter())
        waiter.callers += 1
        try:
            yield waiter
        finally:
            waiter.callers -= 1
            if waiter.callers == 0:
                self._waiters_by_job.pop(job_id, None)

    async def _handle_jobs_changed(self, message: JobsChanged) -> Accepted:
        for view in message.views:
            waiter = self._waiters_by_job.get(view.id)
            if waiter is not None:
                _notify(waiter, view)
        return Accepted()


def _notify(waiter: Waiter, view: JobView) -> None:
    """Wake the callers of a job; after a move they watch it in its new zone and wait again."""
    waiter.changed.set()
    if view.outcome is not None:
        waiter.view = view
    else:
        waiter.changed = trio.Event()
