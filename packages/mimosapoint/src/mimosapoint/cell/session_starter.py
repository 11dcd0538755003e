"""Start of worker sessions at a rate that leaves the owner time for its other tasks."""

import math

import trio

from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["SessionStarter"]


class SessionStarter:
    """Starts sessions one after the other, each after all other tasks have had a turn.

    The first renewals of thousands of workers at once would keep the process from renewing its
    ownership, and the next owner would do the same.
    """

    def __init__(self) -> None:
        self._sender, self._receiver = trio.open_memory_channel[WorkerSession](math.inf)

    def add(self, session: WorkerSession) -> None:
        """Add a session to be started."""
        self._sender.send_nowait(session)

    async def run(self, fleet: Fleet) -> None:
        """Start the sessions of a fleet until cancelled."""
        async with trio.open_nursery() as nursery:
            async for session in self._receiver:
                nursery.start_soon(fleet.run_session, session)
