"""Connections of callers to the nodes, which stay open until a node closes them."""

from __future__ import annotations

from collections import defaultdict

import attrs
import httpcore
import orjson
import trio
from mimosapoint_node.http import FORWARDED_HEADER

from tools.soak.configurations import HOST

__all__ = ["CALL_SECONDS", "Connections", "Reply", "Request"]

CALL_SECONDS = 3.0
"""Time for which callers wait for a reply."""

BODY_SENT = "http11.send_request_body.complete"
"""Event of the HTTP client once it has sent a whole request."""


@attrs.frozen
class Reply:
    """Reply to a request.

    :param status: HTTP status; 0 without a reply.
    :param body: body of the reply.
    """

    status: int
    body: bytes = b""

    @property
    def state(self) -> str:
        """State of a job in the reply; ``status-`` and the HTTP status on an error."""
        return (
            orjson.loads(self.body).get("state", "")
            if self.status == 200
            else f"status-{self.status}"
        )


@attrs.frozen
class Request:
    """Record of a request.

    :param node: number of the node.
    :param method: HTTP method.
    :param queue: name of the queue in the path.
    :param job: id of the job.
    :param key: API key.
    :param sent_at: time at which it was sent, on the trio clock.
    :param replied_at: time of the reply, or at which the caller stopped waiting.
    :param status: HTTP status; 0 without a reply.
    :param state: state of the job that a reply to a read tells; empty for other replies.
    :param body_sent_at: time at which the whole request had been sent; ``None`` if it was not.
    :param was_cut: whether the connection ended after that and before a complete reply.
    """

    node: int
    method: str
    queue: str
    job: str
    key: str
    sent_at: float
    replied_at: float
    status: int
    state: str = ""
    body_sent_at: float | None = None
    was_cut: bool = False


def _open_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool of one node; its time for a request grows with its connections."""
    return httpcore.AsyncConnectionPool(max_connections=None)


@attrs.define
class Connections:
    """Sends requests to the nodes and records them.

    :param addresses: ``IP:port`` of each node.
    :param requests: the requests, in the order of their replies.
    """

    addresses: list[str]
    requests: list[Request] = attrs.field(factory=list)
    _pool_by_node: dict[int, httpcore.AsyncConnectionPool] = attrs.field(
        factory=lambda: defaultdict(_open_pool)
    )

    async def call(
        self,
        node: int,
        method: str,
        queue: str,
        job: str,
        key: str,
        body: bytes = b"",
        forwardable: bool = True,
    ) -> Reply:
        """Send a request over an idle connection, or a new one if there is none.

        :param node: number of the node.
        :param forwardable: whether the node may let another node reply.
        """
        headers = {"Host": HOST, "Authorization": f"Bearer {key}"}
        if not forwardable:
            headers[FORWARDED_HEADER] = "soak"
        url = f"http://{self.addresses[node]}/{queue}/{job}"
        sent_at = trio.current_time()
        body_sent_at: float | None = None
        has_ended = False

        async def trace(event: str, info: dict[str, object]) -> None:
            nonlocal body_sent_at
            if event == BODY_SENT:
                body_sent_at = trio.current_time()

        reply = Reply(0)
        with trio.move_on_after(CALL_SECONDS):
            try:
                pool = self._pool_by_node[node]
                response = await pool.request(
                    method, url, headers=headers, content=body, extensions={"trace": trace}
                )
                reply = Reply(response.status, response.content)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                # No reply: status 0.
                has_ended = True
        replied_at = trio.current_time()
        state = reply.state if method == "GET" and reply.status == 200 else ""
        was_cut = has_ended and body_sent_at is not None
        self.requests.append(
            Request(
                node,
                method,
                queue,
                job,
                key,
                sent_at,
                replied_at,
                reply.status,
                state,
                body_sent_at,
                was_cut,
            )
        )
        return reply
