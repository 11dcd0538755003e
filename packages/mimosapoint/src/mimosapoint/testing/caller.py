"""Simulated callers that retry at the next node until they have a final outcome."""

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
"""Longest time to wait for one reply."""
RETRY_INTERVAL_SECONDS = 0.3


class _Disconnected(Exception):
    """No node runs, or the node ended or did not reply in time."""


def outcome_kind(view: JobView) -> str | None:
    """Return the kind of a job's outcome, or ``None`` while it has none."""
    return OUTCOME_KINDS_BY_CLASS[type(view.outcome).__name__] if view.outcome else None


class Caller:
    """Client that submits jobs to a site and records its calls in the site's history.

    :param site: the site.
    :param first: index of the first node to call, among the running nodes by id.
    """

    def __init__(self, site: MemorySite, first: int = 0):
        self._site = site
        self._next_node = first

    def request(self, key: str, seconds: float = 1.0, **fields: Any) -> JobRequest:
        """Return a request for an echo job, whose tasks return the key.

        :param seconds: run time of each task, in seconds.
        :param fields: other fields of the request; ``payload`` is merged into that of the echo.
        """
        payload = {"kind": "echo", "value": key, "seconds": seconds}
        payload.update(fields.pop("payload", {}))
        fields.setdefault("shape", TASK_SHAPE)
        return JobRequest("w", "s", key, payload=payload, **fields)

    async def submit_and_wait(
        self, key: str, seconds: float = 1.0, timeout_seconds: float = 240.0, **fields: Any
    ) -> CallObservation:
        """Submit a job, wait for its outcome and record the call.

        :param seconds: run time of each task, in seconds.
        :param timeout_seconds: time after which the call stays recorded without an outcome.
        """
        request = self.request(key, seconds, **fields)
        job = make_job_id("w", key, self._site.configuration.zones_by_id)
        observation = CallObservation(
            key, job, request.gang, request.repeatable, self._site.clock.now(),
            expected=(key,) * request.gang,
        )  # fmt: skip
        index = len(self._site.history.calls)
        self._site.history.calls.append(observation)
        with trio.move_on_after(timeout_seconds):
            observation = await self._wait_for_outcome(request, observation)
        self._site.history.calls[index] = observation
        return observation

    async def _wait_for_outcome(
        self, request: JobRequest, observation: CallObservation
    ) -> CallObservation:
        """Submit and wait, repeating both, and return the completed observation."""
        view = None
        while view is None or view.outcome is None:
            try:
                view = await self.submit(request)
                if view.outcome is None:
                    view = await self.call_next_node(
                        lambda api: api.wait_for_outcome("w", observation.job, timedelta(seconds=8))
                    )
            except (_Disconnected, *RETRYABLE_ERRORS):
                await trio.sleep(RETRY_INTERVAL_SECONDS)
            except MimosapointError as error:
                # A job that is not yet durable may be lost with its owner; submit it again.
                if isinstance(error, JobNotFound) and view is not None and not view.durable:
                    await trio.sleep(RETRY_INTERVAL_SECONDS)
                    continue
                return attrs.evolve(observation, ended_at=self._site.clock.now(), code=error.code)
        parts = getattr(view.outcome, "parts", None)
        return attrs.evolve(
            observation,
            ended_at=self._site.clock.now(),
            outcome=outcome_kind(view),
            parts=tuple(parts) if parts is not None else None,
            code=getattr(view.outcome, "code", None),
        )

    async def submit(self, request: JobRequest) -> JobView:
        """Submit a job once, to the next node."""
        return await self.call_next_node(lambda api: api.submit(request))

    async def cancel(self, key: str) -> JobView | None:
        """Cancel a job, retrying at the next node until one confirms.

        A job that is not found is retried too, as its submission may be in progress.
        """
        job = make_job_id("w", key, self._site.configuration.zones_by_id)
        while True:
            try:
                return await self.call_next_node(lambda api: api.cancel("w", job))
            except (_Disconnected, JobNotFound, *RETRYABLE_ERRORS):
                await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def call_next_node(self, request: Callable[[Any], Awaitable[JobView]]) -> JobView:
        """Send one request to the next node.

        :raises _Disconnected: no node runs, or the node ends or does not reply in time.
        """
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
