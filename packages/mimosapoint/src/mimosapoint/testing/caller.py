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
from mimosapoint.jobs import make_job_id
from mimosapoint.model import JobRequest, JobView
from mimosapoint.testing.history import CallObservation
from mimosapoint.testing.site import TASK_SHAPE, MemorySite

__all__ = ["Caller", "outcome_kind"]

RETRYABLE_ERRORS = (Overloaded, NotOwner, OutcomeUnknown, PeerUnreachable, CircuitOpen)
NO_EFFECT_ERRORS = (Overloaded, NotOwner, CircuitOpen)
OUTCOME_KINDS_BY_CLASS = {
    "Succeeded": "succeeded",
    "Failed": "failed",
    "Cancelled": "cancelled",
    "NotRun": "not-run",
    "MayHaveRun": "may-have-run",
}
REPLY_TIMEOUT_SECONDS = 16.0
"""Time for which a caller waits for one reply."""
RETRY_INTERVAL_SECONDS = 0.3


class _Disconnected(Exception):
    """The node ended or did not answer."""


def outcome_kind(view: JobView) -> str | None:
    """Return the kind of a job's outcome."""
    return OUTCOME_KINDS_BY_CLASS[type(view.outcome).__name__] if view.outcome else None


class Caller:
    """Submits jobs to a site and records what comes of them.

    :param site: the site.
    :param first: number of the node that a caller connects to first.
    """

    def __init__(self, site: MemorySite, first: int = 0):
        self._site = site
        self._next_node = first

    def request(self, key: str, seconds: float = 1.0, **fields: Any) -> JobRequest:
        """Return a request whose answer names its key."""
        payload = {"kind": "echo", "value": key, "seconds": seconds}
        payload.update(fields.pop("payload", {}))
        fields.setdefault("shape", TASK_SHAPE)
        return JobRequest("w", "s", key, payload=payload, **fields)

    async def submit_and_wait(
        self, key: str, seconds: float = 1.0, timeout_seconds: float = 240.0, **fields: Any
    ) -> CallObservation:
        """Submit a job, wait for its end and record the call."""
        request = self.request(key, seconds, **fields)
        job = make_job_id("w", key, self._site.configuration.zones_by_id)
        seen = CallObservation(
            key, job, request.gang, request.repeatable, self._site.clock.now(),
            expected=(key,) * request.gang,
        )  # fmt: skip
        index = len(self._site.history.calls)
        self._site.history.calls.append(seen)
        with trio.move_on_after(timeout_seconds):
            seen = await self._wait_for_outcome(request, seen)
        self._site.history.calls[index] = seen
        return seen

    async def _wait_for_outcome(
        self, request: JobRequest, seen: CallObservation
    ) -> CallObservation:
        """Return the call with its final answer."""
        view = None
        while view is None or view.outcome is None:
            try:
                view = await self.submit(request)
                if view.outcome is None:
                    view = await self.call_next_node(
                        lambda api: api.answer("w", seen.job, timedelta(seconds=8))
                    )
            except (_Disconnected, *RETRYABLE_ERRORS):
                await trio.sleep(RETRY_INTERVAL_SECONDS)
            except MimosapointError as error:
                if isinstance(error, JobNotFound) and view is not None and not view.durable:
                    await trio.sleep(RETRY_INTERVAL_SECONDS)
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
        return await self.call_next_node(lambda api: api.submit(request))

    async def cancel(self, key: str) -> JobView | None:
        """Cancel a job that is being submitted, at the next nodes until one confirms."""
        job = make_job_id("w", key, self._site.configuration.zones_by_id)
        while True:
            try:
                return await self.call_next_node(lambda api: api.cancel("w", job))
            except (_Disconnected, JobNotFound, *RETRYABLE_ERRORS):
                await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def call_next_node(self, request: Callable[[Any], Awaitable[JobView]]) -> JobView:
        """Send one request to the next node, which may end meanwhile."""
        nodes = sorted(self._site.nodes_by_id)
        if not nodes:
            raise _Disconnected
        node = self._site.nodes_by_id[nodes[self._next_node % len(nodes)]]
        self._next_node += 1
        with trio.move_on_after(REPLY_TIMEOUT_SECONDS) as scope:
            node.call_scopes.add(scope)
            try:
                await node.freeze_control.wait()
                reply = await request(node.core.gateway)
                await node.freeze_control.wait()
                return reply
            finally:
                node.call_scopes.discard(scope)
        raise _Disconnected
