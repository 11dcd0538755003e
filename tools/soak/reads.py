"""Callers that ask for the state of accepted jobs throughout the faults."""

from __future__ import annotations

from random import Random

import attrs
import trio

from tools.soak.callers import Callers
from tools.soak.end_checks import ENDS

__all__ = ["StateReads"]

READS_PER_SECOND = 30.0
"""Reads at all nodes together."""

UNENDED_SHARE = 0.7
RECENT_JOBS = 30


@attrs.define
class StateReads:
    """Reads the states of accepted jobs at every node and logs the ends that nodes tell.

    A read does not wait for earlier ones, and uses an open connection to its node if one is idle.

    :param callers: callers whose jobs are read.
    :param random: source of the random choices.
    """

    callers: Callers
    random: Random
    _ends_by_job: dict[str, str] = attrs.field(factory=dict)

    async def read_until(self, finished: trio.Event) -> None:
        """Read states until an event."""
        nodes = len(self.callers.connections.addresses)
        async with trio.open_nursery() as nursery:
            while not finished.is_set():
                await trio.sleep(self.random.expovariate(READS_PER_SECOND))
                if job := self._choose_job():
                    nursery.start_soon(self._read, self.random.randrange(nodes), job)

    def _choose_job(self) -> str | None:
        """Return a job, more often one of the newest of which no end has been told."""
        accepted = list(self.callers.accepted_at_by_job)
        unended = [job for job in accepted if job not in self._ends_by_job][-RECENT_JOBS:]
        if unended and self.random.random() < UNENDED_SHARE:
            return self.random.choice(unended)
        return self.random.choice(accepted) if accepted else None

    async def _read(self, node: int, job: str) -> None:
        reply = await self.callers.read(node, job)
        if reply.state in ENDS and job not in self._ends_by_job:
            self._ends_by_job[job] = reply.state
            self.callers.site.log.write("end-told", job=job, state=reply.state, node=node)
