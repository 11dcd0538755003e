"""Forwarding of requests that this node cannot serve at the moment."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import trio
from mimosapoint.errors import MimosapointError, PeerRefused, PeerUnreachable
from mimosapoint.ports import Telemetry

from mimosapoint_node.http.message import Reply
from mimosapoint_node.platform import HttpClient

__all__ = ["FORWARDED_HEADER", "Forwarder"]

FORWARDED_HEADER = "mimosapoint-forwarded"
"""Marks forwarded requests, which are not forwarded again."""

FORWARD_TIMEOUT = timedelta(milliseconds=1200)
"""Timeout of a forwarded call; with the time spent here it stays below the 3 s that callers
wait."""

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout for a connection; the latency between nodes is a few ms."""

MAX_ATTEMPTS = 2
"""Maximum number of nodes that are tried while none has received the request."""

BACKOFF_SECONDS = 0.5
"""Time without forwarding, in seconds, after another node could not serve a request either, as
the store is then likely unavailable to all nodes."""

NO_EFFECT_CODES = frozenset({"overloaded", "store-unavailable"})
"""Codes of errors after which the request had no effect on this node."""

UNKNOWN_OUTCOME_CODES = frozenset({"outcome-unknown", "store-timeout"})
"""Codes of errors after which the request may have had its effect on this node; it is safe to
repeat, as the caller chose the id of the job."""

REFUSAL_STATUSES = (429, 503)
"""Statuses by which the other node refuses a request without effect."""

FIRST_NON_SUCCESS = 300
"""Lowest status of a reply that is not a success."""

FIRST_SERVER_ERROR = 500
"""Lowest status of a server error, which leaves the outcome on the other node unknown unless it is
in :data:`REFUSAL_STATUSES`."""

COPIED_HEADERS = ("host", "authorization", "content-type", "deadline-ms", "traceparent")
"""Headers of the request that are forwarded."""


class Forwarder:
    """Forwards requests to other nodes.

    :param nodes: returns the addresses of other nodes by id.
    :param telemetry: receives an event and a count for every attempt.
    :param random: source of the order in which nodes are tried.
    """

    def __init__(
        self, nodes: Callable[[], Mapping[str, str]], telemetry: Telemetry, random: Random
    ):
        self._nodes = nodes
        self._telemetry = telemetry
        self._random = random
        self._backoff_until = 0.0
        self._client = HttpClient(
            PeerRefused, PeerUnreachable, timeout=FORWARD_TIMEOUT, connect_timeout=CONNECT_TIMEOUT
        )

    def can_forward(self) -> bool:
        """Return whether another node may serve what this node cannot."""
        return bool(self._nodes()) and trio.current_time() >= self._backoff_until

    async def forward(
        self,
        error: MimosapointError,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Reply | None:
        """Return the reply of another node, or ``None`` when the error stands.

        :param error: why this node cannot serve the request.
        :param target: percent-encoded path.
        :param headers: headers of the request by lower-case name.
        :raises PeerUnreachable: the request may have had its effect on the other node.
        """
        outcome_unknown = error.code in UNKNOWN_OUTCOME_CODES
        if FORWARDED_HEADER in headers or not (outcome_unknown or error.code in NO_EFFECT_CODES):
            return None
        if not self.can_forward():
            return None
        sent_headers = {name: headers[name] for name in COPIED_HEADERS if name in headers}
        sent_headers[FORWARDED_HEADER] = error.code
        nodes = list(self._nodes().items())
        self._random.shuffle(nodes)
        for node, address in nodes[:MAX_ATTEMPTS]:
            try:
                reply = await self._client.call(
                    method, address, target, body, tuple(range(200, 600)), headers=sent_headers
                )
            except PeerRefused as refusal:
                self._record_attempt(target, method, node, error, refusal.code)
                continue
            except PeerUnreachable as unknown:
                self._record_attempt(target, method, node, error, unknown.code)
                if method == "POST":
                    raise
                return None
            self._record_attempt(target, method, node, error, reply.status)
            if reply.status >= FIRST_SERVER_ERROR or reply.status in REFUSAL_STATUSES:
                self._backoff_until = trio.current_time() + BACKOFF_SECONDS
                if reply.status in REFUSAL_STATUSES or method != "POST":
                    return None
                raise PeerUnreachable(f"{node} answered {reply.status}")
            if outcome_unknown and method != "GET" and reply.status >= FIRST_NON_SUCCESS:
                # The write of this node may be stored, whatever the reply of the other node.
                return None
            return _reply(reply)
        return None

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()

    def _record_attempt(
        self, target: str, method: str, node: str, error: MimosapointError, outcome: object
    ) -> None:
        self._telemetry.count("requests_forwarded", outcome=str(outcome))
        self._telemetry.event(
            "request-forwarded",
            job=target.rpartition("/")[2],
            method=method,
            to=node,
            error=error.code,
            outcome=outcome,
        )


def _reply(reply: object) -> Reply:
    content_type = reply.headers.get(b"content-type", b"application/json").decode("latin-1")
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in reply.headers.items()
        if name in (b"allow", b"retry-after")
    )
    return Reply(reply.status, reply.body, content_type, headers)
