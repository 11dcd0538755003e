"""HTTP client of the nodes."""

import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import httpcore
import orjson

from mimosapoint_cli.errors import RETRY_CODES, Refused, Unreachable, UsageError

__all__ = ["Client", "Reply", "parse_servers"]

MAX_ROUNDS = 3
"""Maximum number of times that every server is tried."""

RETRY_DELAY_SECONDS = 0.2
"""Delay between two rounds, in seconds."""

CONNECT_TIMEOUT_SECONDS = 2.0
"""Timeout for a connection, in seconds."""

REPLY_TIMEOUT_SECONDS = 10.0
"""Timeout for a reply, in seconds, in addition to the requested wait."""

TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.frozen
class Reply:
    """Reply to a request that succeeded.

    :param status: HTTP status.
    :param value: JSON value of the body.
    """

    status: int
    value: Any


class Client:
    """Sends requests to the first server that replies.

    Repeating a request is safe: jobs carry an idempotency key and patches an id.

    :param servers: ``IP:port`` of each server.
    :param headers: headers that are added to every request.
    :param sleep: function that waits for some seconds.
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
    ) -> Reply:
        """Send a request and return the reply.

        :param path: path whose variable parts are encoded by :func:`segment`.
        :param body: JSON value.
        :param wait: time that the server may wait before it replies, in seconds.
        :raises Refused: the system refused the request.
        :raises Unreachable: no server replied.
        """
        target = path + ("?" + urlencode(query) if query else "")
        content = None if body is None else to_json(body)
        all_headers = {**self._headers, **(headers or {})}
        with httpcore.ConnectionPool() as pool:
            return self._first_reply(pool, method, target, content, all_headers, wait)

    def _first_reply(
        self,
        pool: httpcore.ConnectionPool,
        method: str,
        target: str,
        content: bytes | None,
        headers: dict[str, str],
        wait: float,
    ) -> Reply:
        last_error: Exception | None = None
        for round_number in range(MAX_ROUNDS):
            if round_number:
                self.sleep(RETRY_DELAY_SECONDS)
            for server in self._servers:
                try:
                    url = f"http://{server}{target}"
                    return _send(pool, method, url, content, headers, wait)
                except TRANSPORT_ERRORS as error:
                    last_error = Unreachable(f"{server}: {error or type(error).__name__}")
                except Refused as refusal:
                    if refusal.problem_code not in RETRY_CODES:
                        raise
                    last_error = refusal
        raise last_error or UsageError("name at least one server")


def segment(text: str) -> str:
    """Percent-encode a variable part of a path."""
    return quote(text, safe="~-")


def parse_servers(text: str) -> tuple[str, ...]:
    """Return the servers of a comma-separated list.

    :raises UsageError: an item is not of the form ``host:port``.
    """
    servers = tuple(item.strip() for item in text.split(","))
    for server in servers:
        host, _, port = server.rpartition(":")
        if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
            raise UsageError(f"--server: {server!r} is not IP:port")
    return servers


def to_json(value: Any) -> bytes:
    """Encode a request body as JSON.

    :raises UsageError: the value has no JSON representation.
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
) -> Reply:
    timeout = {
        "connect": CONNECT_TIMEOUT_SECONDS,
        "pool": CONNECT_TIMEOUT_SECONDS,
        "write": REPLY_TIMEOUT_SECONDS,
        "read": REPLY_TIMEOUT_SECONDS + wait,
    }
    response = pool.request(
        method, url, headers=headers, content=content, extensions={"timeout": timeout}
    )
    value = _parse_json(response)
    if response.status >= 400:
        raise Refused(response.status, value if isinstance(value, dict) else {})
    return Reply(response.status, value)


def _parse_json(response: httpcore.Response) -> Any:
    try:
        return orjson.loads(response.content)
    except orjson.JSONDecodeError as error:
        detail = "the server's reply is not JSON; is it a node of mimosapoint?"
        raise Refused(response.status, {"code": "not-json", "detail": detail}) from error
