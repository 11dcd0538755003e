"""Requests that this node cannot serve now, handed over to another one."""

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
"""Marks requests that were handed over; they are not handed over again."""

TIMEOUT = timedelta(milliseconds=1200)
"""Time that the other node has; with the time spent here it stays below callers' patience, 3 s."""

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Time that a connection may take; nodes are some ms apart."""

ATTEMPTS = 2
"""Nodes that are tried until one takes the request."""

REST_SECONDS = 0.5
"""Time for which nothing is handed over after another node could not serve either: the store is
then likely away for all."""

NO_EFFECT = frozenset({"overloaded", "store-unavailable"})
"""Errors after which the request has had no effect here."""

DOUBTFUL = frozenset({"outcome-unknown", "store-timeout"})
"""Errors after which it may have had one; repeats are harmless, as the caller chose the id."""

REFUSALS = (429, 503)
FIRST_FAILURE = 300
"""Least status of answers that are no success."""

UNSERVED = 500
"""Least status of answers that settle nothing."""

KEPT_HEADERS = ("host", "authorization", "content-type", "deadline-ms", "traceparent")
"""Headers that go along."""


class Forwarder:
    """Hands requests over to other nodes.

    :param nodes: returns the addresses of other nodes by id.
    :param telemetry: told of every request that is handed over.
    :param random: source of the choice among nodes.
    """

    def __init__(
        self, nodes: Callable[[], Mapping[str, str]], telemetry: Telemetry, random: Random
    ):
        self._nodes = nodes
        self._telemetry = telemetry
        self._random = random
        self._rest_until = 0.0
        self._client = HttpClient(
            PeerRefused, PeerUnreachable, timeout=TIMEOUT, connect_timeout=CONNECT_TIMEOUT
        )

    def may_help(self) -> bool:
        """Tell whether another node may serve what this one cannot."""
        return bool(self._nodes()) and trio.current_time() >= self._rest_until

    async def forward(
        self,
        error: MimosapointError,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Reply | None:
        """Return another node's reply, or ``None`` when the caller gets the error.

        :param error: why this node cannot serve the request.
        :param target: path in its percent-encoded form.
        :param headers: the request's headers by lower-case name.
        :raises PeerUnreachable: the request may have had its effect there.
        """
        doubtful = error.code in DOUBTFUL
        if FORWARDED_HEADER in headers or not (doubtful or error.code in NO_EFFECT):
            return None
        if not self.may_help():
            return None
        sent = {name: headers[name] for name in KEPT_HEADERS if name in headers}
        sent[FORWARDED_HEADER] = error.code
        nodes = list(self._nodes().items())
        self._random.shuffle(nodes)
        for node, address in nodes[:ATTEMPTS]:
            try:
                answer = await self._client.call(
                    method, address, target, body, tuple(range(200, 600)), headers=sent
                )
            except PeerRefused as refusal:
                self._note(target, method, node, error, refusal.code)
                continue
            except PeerUnreachable as unknown:
                self._note(target, method, node, error, unknown.code)
                if method == "POST":
                    raise
                return None
            self._note(target, method, node, error, answer.status)
            if answer.status >= UNSERVED or answer.status in REFUSALS:
                self._rest_until = trio.current_time() + REST_SECONDS
                if answer.status in REFUSALS or method != "POST":
                    return None
                raise PeerUnreachable(f"{node} answered {answer.status}")
            if doubtful and method != "GET" and answer.status >= FIRST_FAILURE:
                # What this node wrote may be stored, whatever the other one says of the request.
                return None
            return _reply(answer)
        return None

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    def _note(
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


def _reply(answer: object) -> Reply:
    kind = answer.headers.get(b"content-type", b"application/json").decode("latin-1")
    kept = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in answer.headers.items()
        if name in (b"allow", b"retry-after")
    )
    return Reply(answer.status, answer.body, kind, kept)
