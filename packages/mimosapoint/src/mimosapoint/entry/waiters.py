"""Callers of this node that wait for jobs to end."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from mimosapoint.jobs import Accepted, JobsEnded
from mimosapoint.model import JobView
from mimosapoint.peers import Dispatcher

__all__ = ["Waiter", "Waiters"]


@attrs.define
class Waiter:
    """Callers that wait for one job.

    :param callers: number of callers.
    :param ended: set when the job has ended.
    :param view: the ended job.
    """

    callers: int = 0
    ended: trio.Event = attrs.field(factory=trio.Event)
    view: JobView | None = None


class Waiters:
    """Wakes callers when an owner tells that their job has ended."""

    def __init__(self, dispatcher: Dispatcher):
        self._waiters_by_job: dict[str, Waiter] = {}
        dispatcher.handle(JobsEnded, self._jobs_ended)

    @contextmanager
    def waiting(self, job_id: str) -> Iterator[Waiter]:
        """Wait for a job within the context."""
        waiter = self._waiters_by_job.setdefault(job_id, Waiter())
        waiter.callers += 1
        try:
            yield waiter
        finally:
            waiter.callers -= 1
            if waiter.callers == 0:
                self._waiters_by_job.pop(job_id, None)

    async def _jobs_ended(self, message: JobsEnded) -> Accepted:
        for view in message.views:
            waiter = self._waiters_by_job.get(view.id)
            if waiter is not None:
                waiter.view = view
                waiter.ended.set()
        return Accepted()
