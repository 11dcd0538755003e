"""Forwarding of requests that this node cannot serve at the moment."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import attrs
import trio
from mimosapoint.errors import MimosapointError, PeerRefused, PeerUnreachable
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._node_outcomes import NodeOutcomes
from mimosapoint_node.http.message import Reply
from mimosapoint_node.platform import HttpClient
from mimosapoint_node.platform import Reply as ClientReply

__all__ = ["FORWARDED_HEADER", "Forwarder"]

FORWARDED_HEADER = "mimosapoint-forwarded"
"""Marks forwarded requests, which are not forwarded again."""

FORWARD_TIMEOUT = timedelta(milliseconds=1200)
"""Timeout of a forwarded call; with the time spent here it stays below the 3 s that callers
wait."""

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout for a connection; the latency between nodes is a few ms."""

FORWARD_LIMIT = CONNECT_TIMEOUT + FORWARD_TIMEOUT
"""Limit of all attempts of one request: a failed connection and a call. A write of unknown outcome
thus keeps time to be settled here before the caller leaves."""

MIN_ATTEMPT_TIME = timedelta(milliseconds=500)
"""Remaining time below which no node is tried: a connection and a reply that is not delayed. A
shorter attempt would rather turn a refusal into an unknown outcome."""

MAX_ATTEMPTS = 3
"""Maximum number of nodes that are tried while none has served the request; it bounds the load
that a request adds to the others while the store is unavailable to all."""

BACKOFF_SECONDS = 0.5
"""Time without forwarding, in seconds, after an attempt failed and each other node has recently
failed, as the store is then likely unavailable to all nodes."""

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

ANY_STATUS = tuple(range(200, 600))
"""Statuses of replies that are returned rather than raised as errors."""

COPIED_HEADERS = ("host", "authorization", "content-type", "deadline-ms", "traceparent")
"""Headers of the request that are forwarded."""


@attrs.frozen
class _Request:
    """Request to be forwarded.

    :param error: why this node cannot serve the request.
    :param target: percent-encoded path.
    """

    error: MimosapointError
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Forwarder:
    """Forwards requests to other nodes, preferably to those that served recently.

    :param nodes: returns the addresses of other nodes by id.
    :param telemetry: receives an event and a count for every attempt.
    :param random: source of the order in which equal nodes are tried.
    :param owner: returns the id of the cell's owner, which may answer reads without the store;
        empty if it is not known.
    """

    def __init__(
        self,
        nodes: Callable[[], Mapping[str, str]],
        telemetry: Telemetry,
        random: Random,
        owner: Callable[[], str] = lambda: "",
    ):
        self._nodes = nodes
        self._owner = owner
        self._telemetry = telemetry
        self._outcomes = NodeOutcomes(random)
        self._backoff_until = 0.0
        self._client = HttpClient(
            PeerRefused, PeerUnreachable, timeout=FORWARD_TIMEOUT, connect_timeout=CONNECT_TIMEOUT
        )

    def can_forward(self) -> bool:
        """Return whether another node may serve what this node cannot."""
        nodes = self._nodes()
        if not nodes:
            return False
        return trio.current_time() >= self._backoff_until or not self._outcomes.all_failed(nodes)

    async def forward(
        self,
        error: MimosapointError,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        reply_by: float = math.inf,
    ) -> Reply | None:
        """Return the reply of another node, or ``None`` when the error stands.

        :param error: why this node cannot serve the request.
        :param target: percent-encoded path.
        :param headers: headers of the request by lower-case name.
        :param reply_by: time on trio's clock at which the caller must have a reply, in seconds.
        :raises PeerUnreachable: the request may have had its effect on the other node.
        """
        outcome_unknown = error.code in UNKNOWN_OUTCOME_CODES
        if FORWARDED_HEADER in headers or not (outcome_unknown or error.code in NO_EFFECT_CODES):
            return None
        if not self.can_forward() and not self._may_ask_owner(method):
            return None
        sent_headers = {name: headers[name] for name in COPIED_HEADERS if name in headers}
        sent_headers[FORWARDED_HEADER] = error.code
        request = _Request(error, method, target, sent_headers, body)
        try:
            reply = await self._try_nodes(request, reply_by)
        except PeerUnreachable:
            if method == "GET":
                return None
            raise
        if reply is None:
            return None
        if outcome_unknown and method != "GET" and reply.status >= FIRST_NON_SUCCESS:
            # The write of this node may be stored, whatever the reply of the other node.
            return None
        return _reply(reply)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()

    async def _try_nodes(self, request: _Request, reply_by: float) -> ClientReply | None:
        """Try nodes until one serves the request; return ``None`` if none did.

        :raises PeerUnreachable: the request may have had its effect on a node.
        """
        give_up_at = min(reply_by, trio.current_time() + FORWARD_LIMIT.total_seconds())
        address_by_node = dict(self._nodes())
        for node in self._choose_nodes(request.method, address_by_node):
            if give_up_at - trio.current_time() < MIN_ATTEMPT_TIME.total_seconds():
                return None
            reply = await self._try_node(request, node, address_by_node[node], give_up_at)
            if reply is not None:
                return reply
        return None

    def _may_ask_owner(self, method: str) -> bool:
        return method == "GET" and self._owner() in self._nodes()

    def _choose_nodes(self, method: str, address_by_node: Mapping[str, str]) -> list[str]:
        """Return the nodes to try, in this order; for a read, the owner comes first."""
        nodes = self._outcomes.order(address_by_node.keys()) if self.can_forward() else []
        if self._may_ask_owner(method):
            owner = self._owner()
            nodes = [owner, *(node for node in nodes if node != owner)]
        return nodes[:MAX_ATTEMPTS]

    async def _try_node(
        self, request: _Request, node: str, address: str, give_up_at: float
    ) -> ClientReply | None:
        """Return the reply of a node, or ``None`` if it refused the request without effect.

        :raises PeerUnreachable: the request may have had its effect on the node.
        """
        try:
            reply = await self._call(request, address, give_up_at)
        except (PeerRefused, PeerUnreachable) as error:
            self._record(request, node, error.code, served=False)
            if isinstance(error, PeerRefused):
                return None
            raise
        is_refusal = reply.status in REFUSAL_STATUSES
        served = not is_refusal and reply.status < FIRST_SERVER_ERROR
        self._record(request, node, reply.status, served)
        if served:
            return reply
        if is_refusal:
            return None
        raise PeerUnreachable(f"{node} answered {reply.status}")

    async def _call(self, request: _Request, address: str, give_up_at: float) -> ClientReply:
        """Send a request to a node.

        :raises PeerRefused: the request had no effect.
        :raises PeerUnreachable: the request may have had its effect.
        """
        with trio.CancelScope(deadline=give_up_at):
            return await self._client.call(
                request.method,
                address,
                request.target,
                request.body,
                ANY_STATUS,
                headers=request.headers,
            )
        raise PeerUnreachable(f"{address}: no complete reply in the time left for forwarding")

    def _record(self, request: _Request, node: str, outcome: object, served: bool) -> None:
        self._outcomes.record(node, served)
        if not served:
            self._backoff_until = trio.current_time() + BACKOFF_SECONDS
        self._telemetry.count("requests_forwarded", outcome=str(outcome))
        self._telemetry.event(
            "request-forwarded",
            job=request.target.rpartition("/")[2],
            method=request.method,
            to=node,
            error=request.error.code,
            outcome=outcome,
        )


def _reply(reply: ClientReply) -> Reply:
    content_type = reply.headers.get(b"content-type", b"application/json").decode("latin-1")
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in reply.headers.items()
        if name in (b"allow", b"retry-after")
    )
    return Reply(reply.status, reply.body, content_type, headers)
