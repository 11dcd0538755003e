"""One HTTP exchange over ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import trio
from mimosapoint.errors import BadRequest, BodyTimeout, BodyTooLarge

from mimosapoint_node.http._disconnect import CallerDisconnected
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply

__all__ = ["Exchange"]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

MAX_QUERY_PARAMETERS = 20
"""Maximum number of query parameters."""

MAX_LENGTH_DIGITS = 15
"""Digits of a declared length above which it is too large and not converted."""

MAX_DISCARD_BYTES = 2**20
"""Maximum number of bytes of an unread body that are discarded before the reply."""

MAX_DISCARD_SECONDS = 1
"""Maximum time, in seconds, spent on discarding them."""


class Exchange:
    """Reads a request and sends the reply.

    :param scope: ASGI scope of the request.
    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    :param limits: limits of the HTTP interface.
    """

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send, limits: HttpLimits):
        self._scope = scope
        self._receive = receive
        self._send = send
        self._limits = limits
        self._ended = False

    @property
    def method(self) -> str:
        """Method of the request."""
        return self._scope["method"]

    @property
    def raw_path(self) -> str:
        """Percent-encoded path."""
        raw = self._scope.get("raw_path") or self._scope["path"].encode()
        return raw.decode("ascii", "replace")

    @property
    def path(self) -> str:
        """Path after percent-decoding."""
        return self._scope["path"]

    def headers(self) -> dict[str, str]:
        """Return the header values by lower-case name; of repeated headers, the first."""
        values: dict[str, str] = {}
        for name, value in self._scope["headers"]:
            values.setdefault(name.decode("latin-1").lower(), value.decode("latin-1"))
        return values

    def query(self) -> dict[str, str]:
        """Return the query parameters by name.

        :raises BadRequest: the query is malformed or repeats a parameter.
        """
        text = self._scope["query_string"].decode("latin-1")
        try:
            pairs = parse_qsl(
                text, keep_blank_values=True, errors="strict", max_num_fields=MAX_QUERY_PARAMETERS
            )
        except ValueError as error:
            raise BadRequest("the query is malformed") from error
        values = dict(pairs)
        if len(values) < len(pairs):
            raise BadRequest("the query repeats a parameter")
        return values

    async def body(self) -> bytes:
        """Return the whole body.

        :raises BodyTooLarge: it exceeds the size limit.
        :raises BodyTimeout: it did not arrive within the timeout.
        :raises CallerDisconnected: the caller disconnected.
        """
        self._check_declared_length()
        content = bytearray()
        with trio.move_on_after(self._limits.body_timeout.total_seconds()):
            while not self._ended:
                content += await self._receive_chunk()
                if len(content) > self._limits.body_bytes:
                    raise BodyTooLarge(f"the body is over {self._limits.body_bytes} bytes")
            return bytes(content)
        raise BodyTimeout("the body did not arrive in time")

    async def disconnected(self) -> None:
        """Wait until the caller disconnects."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def reply(self, reply: Reply, trace: str | None, close: bool = False) -> None:
        """Discard the rest of the body, within limits, and send the whole reply.

        An HTTP/1.1 connection is closed after a reply that precedes the end of the body, possibly
        while the caller is still sending.

        :param close: whether an HTTP/1.1 connection is closed after the reply in any case.
        """
        await self._discard_body()
        await self._send_reply(reply, trace, close)

    async def reply_at_once(self, reply: Reply) -> None:
        """Send the whole reply and close the connection, without waiting for the body."""
        await self._send_reply(reply, None, close=True)

    async def _send_reply(self, reply: Reply, trace: str | None, close: bool) -> None:
        headers = self._reply_headers(reply, trace, close)
        start = {"type": "http.response.start", "status": reply.status, "headers": headers}
        async with trio.open_nursery() as nursery:
            if not self._ended:
                nursery.start_soon(self.disconnected)
            await self._send(start)
            await self._send({"type": "http.response.body", "body": reply.body})
            nursery.cancel_scope.cancel()

    async def _receive_chunk(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            self._ended = True
            raise CallerDisconnected
        self._ended = not message.get("more_body", False)
        return message.get("body", b"")

    async def _discard_body(self) -> None:
        discarded = 0
        with trio.move_on_after(MAX_DISCARD_SECONDS):
            while not self._ended and discarded < MAX_DISCARD_BYTES:
                try:
                    discarded += len(await self._receive_chunk())
                except CallerDisconnected:
                    return

    def _check_declared_length(self) -> None:
        text = self.headers().get("content-length", "0")
        is_number = text.isascii() and text.isdigit()
        if is_number and (len(text) > MAX_LENGTH_DIGITS or int(text) > self._limits.body_bytes):
            raise BodyTooLarge(f"the body is over {self._limits.body_bytes} bytes")

    def _reply_headers(
        self, reply: Reply, trace: str | None, close: bool
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            ("content-type", reply.content_type),
            ("content-length", str(len(reply.body))),
            *reply.headers,
        ]
        if trace is not None:
            headers.append(("traceparent", trace))
        if (close or not self._ended) and self._scope["http_version"] == "1.1":
            headers.append(("connection", "close"))
        return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
