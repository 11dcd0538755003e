"""HTTP client of the nodes."""

import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import httpcore
import orjson

from mimosapoint_cli.errors import REPEAT_CODES, Refused, Unreachable, UsageError

__all__ = ["Answer", "Client", "parse_servers"]

ROUNDS = 3
"""How often every server is tried."""

PAUSE_SECONDS = 0.2
"""Pause between two rounds, in seconds."""

CONNECT_SECONDS = 2.0
"""Longest time for a connection, in seconds."""

REPLY_SECONDS = 10.0
"""Longest time for a reply, in seconds, besides the wait that was asked for."""

TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.frozen
class Answer:
    """Reply to a request that was not refused.

    :param status: HTTP status.
    :param value: JSON value of the body.
    """

    status: int
    value: Any


class Client:
    """Asks the first server that answers.

    Every request may be repeated: jobs carry an idempotency key and patches an id.

    :param servers: ``IP:port`` of each server.
    :param headers: headers of every request.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        servers: tuple[str, ...],
        headers: Mapping[str, str] | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._servers = servers
        self._headers = dict(headers or {})
        self.sleep = sleep

    def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        wait: float = 0.0,
    ) -> Answer:
        """Send a request and return the answer.

        :param path: path whose variable parts went through :func:`segment`.
        :param body: JSON value.
        :param wait: seconds that the server may hold the request.
        :raises Refused: the system refused the request.
        :raises Unreachable: no server answered.
        """
        target = path + ("?" + urlencode(query) if query else "")
        content = None if body is None else to_json(body)
        names = {**self._headers, **(headers or {})}
        with httpcore.ConnectionPool() as pool:
            return self._first_answer(pool, method, target, content, names, wait)

    def _first_answer(
        self,
        pool: httpcore.ConnectionPool,
        method: str,
        target: str,
        content: bytes | None,
        headers: dict[str, str],
        wait: float,
    ) -> Answer:
        last: Exception | None = None
        for round_number in range(ROUNDS):
            if round_number:
                self.sleep(PAUSE_SECONDS)
            for server in self._servers:
                try:
                    url = f"http://{server}{target}"
                    return _send(pool, method, url, content, headers, wait)
                except TRANSPORT_ERRORS as error:
                    last = Unreachable(f"{server}: {error or type(error).__name__}")
                except Refused as refusal:
                    if refusal.problem_code not in REPEAT_CODES:
                        raise
                    last = refusal
        raise last or UsageError("name at least one server")


def segment(text: str) -> str:
    """Return a variable part of a path in percent-encoding."""
    return quote(text, safe="~-")


def parse_servers(text: str) -> tuple[str, ...]:
    """Return the servers of a comma-separated list.

    :raises UsageError: an item is not ``host:port``.
    """
    servers = tuple(item.strip() for item in text.split(","))
    for server in servers:
        host, _, port = server.rpartition(":")
        if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
            raise UsageError(f"--server: {server!r} is not IP:port")
    return servers


def to_json(value: Any) -> bytes:
    """Encode a body.

    :raises UsageError: it has no JSON form.
    """
    try:
        return orjson.dumps(value)
    except TypeError as error:
        raise UsageError(f"not a JSON value: {error}") from error


def _send(
    pool: httpcore.ConnectionPool,
    method: str,
    url: str,
    content: bytes | None,
    headers: dict[str, str],
    wait: float,
) -> Answer:
    timeout = {
        "connect": CONNECT_SECONDS,
        "pool": CONNECT_SECONDS,
        "write": REPLY_SECONDS,
        "read": REPLY_SECONDS + wait,
    }
    reply = pool.request(
        method, url, headers=headers, content=content, extensions={"timeout": timeout}
    )
    value = _read(reply)
    if reply.status >= 400:
        raise Refused(reply.status, value if isinstance(value, dict) else {})
    return Answer(reply.status, value)


def _read(reply: httpcore.Response) -> Any:
    try:
        return orjson.loads(reply.content)
    except orjson.JSONDecodeError as error:
        detail = "the server's reply is not JSON; is it a node of mimosapoint?"
        raise Refused(reply.status, {"code": "not-json", "detail": detail}) from error
