"""Callers that go from node to node until they have a final answer."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import attrs
import trio

from mimosapoint.errors import (
    CircuitOpen,
    JobNotFound,
    MimosapointError,
    NotOwner,
    OutcomeUnknown,
    Overloaded,
    PeerUnreachable,
)
from mimosapoint.jobs import job_id_of
from mimosapoint.model import JobRequest, JobView
from mimosapoint.testing.history import CallSeen
from mimosapoint.testing.site import TASK, MemorySite

__all__ = ["Caller", "outcome_kind"]

PASSING = (Overloaded, NotOwner, OutcomeUnknown, PeerUnreachable, CircuitOpen)
NO_EFFECT = (Overloaded, NotOwner, CircuitOpen)
KINDS_BY_NAME = {
    "Succeeded": "succeeded",
    "Failed": "failed",
    "Cancelled": "cancelled",
    "NotRun": "not-run",
    "MayHaveRun": "may-have-run",
}
PATIENCE_SECONDS = 16.0
"""Time for which a caller waits for one reply."""
PAUSE_SECONDS = 0.3


class _Disconnected(Exception):
    """The node ended or did not answer."""


def outcome_kind(view: JobView) -> str | None:
    """Return the kind of a job's outcome."""
    return KINDS_BY_NAME[type(view.outcome).__name__] if view.outcome else None


class Caller:
    """Submits jobs to a site and records what comes of them.

    :param site: the site.
    :param first: number of the node that a caller connects to first.
    """

    def __init__(self, site: MemorySite, first: int = 0):
        self._site = site
        self._turn = first

    def request(self, key: str, seconds: float = 1.0, **fields: Any) -> JobRequest:
        """Return a request whose answer names its key."""
        payload = {"kind": "echo", "value": key, "seconds": seconds}
        payload.update(fields.pop("payload", {}))
        fields.setdefault("shape", TASK)
        return JobRequest("w", "s", key, payload=payload, **fields)

    async def call(
        self, key: str, seconds: float = 1.0, give_up: float = 240.0, **fields: Any
    ) -> CallSeen:
        """Submit a job, wait for its end and record the call."""
        request = self.request(key, seconds, **fields)
        job = job_id_of("w", key, self._site.configuration.zones_by_id)
        seen = CallSeen(
            key, job, request.gang, request.repeatable, self._site.clock.now(),
            expected=(key,) * request.gang,
        )  # fmt: skip
        index = len(self._site.history.calls)
        self._site.history.calls.append(seen)
        with trio.move_on_after(give_up):
            seen = await self._follow(request, seen)
        self._site.history.calls[index] = seen
        return seen

    async def _follow(self, request: JobRequest, seen: CallSeen) -> CallSeen:
        """Return the call with its final answer."""
        view = None
        while view is None or view.outcome is None:
            try:
                view = await self.submit(request)
                if view.outcome is None:
                    view = await self.ask(
                        lambda api: api.answer("w", seen.job, timedelta(seconds=8))
                    )
            except (_Disconnected, *PASSING):
                await trio.sleep(PAUSE_SECONDS)
            except MimosapointError as error:
                if isinstance(error, JobNotFound) and view is not None and not view.durable:
                    await trio.sleep(PAUSE_SECONDS)
                    continue
                return attrs.evolve(seen, ended_at=self._site.clock.now(), code=error.code)
        parts = getattr(view.outcome, "parts", None)
        return attrs.evolve(
            seen,
            ended_at=self._site.clock.now(),
            outcome=outcome_kind(view),
            parts=tuple(parts) if parts is not None else None,
            code=getattr(view.outcome, "code", None),
        )

    async def submit(self, request: JobRequest) -> JobView:
        """Submit once, to the next node."""
        return await self.ask(lambda api: api.submit(request))

    async def cancel(self, key: str) -> JobView | None:
        """Cancel a job that is being submitted, at the next nodes until one confirms."""
        job = job_id_of("w", key, self._site.configuration.zones_by_id)
        while True:
            try:
                return await self.ask(lambda api: api.cancel("w", job))
            except (_Disconnected, JobNotFound, *PASSING):
                await trio.sleep(PAUSE_SECONDS)

    async def ask(self, request: Callable[[Any], Awaitable[JobView]]) -> JobView:
        """Send one request to the next node, which may end meanwhile."""
        nodes = sorted(self._site.nodes_by_id)
        if not nodes:
            raise _Disconnected
        node = self._site.nodes_by_id[nodes[self._turn % len(nodes)]]
        self._turn += 1
        with trio.move_on_after(PATIENCE_SECONDS) as scope:
            node.calls.add(scope)
            try:
                await node.pause.wait()
                reply = await request(node.core.jobs)
                await node.pause.wait()
                return reply
            finally:
                node.calls.discard(scope)
        raise _Disconnected
