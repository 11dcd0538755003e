"""HTTP/1.1 server of the stand-ins, which spends little processor time on a request.

The server of the nodes handles many cases that do not occur here; hundreds of requests a second by
all nodes and workers of a large site would take more than a core with it.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import trio

__all__ = ["serve_plain"]

HEAD_END = b"\r\n\r\n"
CHUNK_BYTES = 65_536


async def serve_plain(
    app: Callable[..., Any], task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve an ASGI application on a free port of loopback until cancelled.

    :param app: the application; it replies with one body.
    :param task_status: receives the bound ``IP:port``.
    """
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
    host, port = listener.socket.getsockname()
    task_status.started(f"{host}:{port}")
    await trio.serve_listeners(partial(_serve_connection, app), [listener])


async def _serve_connection(app: Callable[..., Any], stream: trio.SocketStream) -> None:
    connection = _Connection(stream)
    try:
        while scope := await connection.read_head():
            body = await connection.read_body(scope)
            await app(scope, _receiver_of(body), connection.send)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The node has ended the connection.
        pass
    finally:
        await trio.aclose_forcefully(stream)


def _receiver_of(body: bytes) -> Callable[[], Any]:
    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    return receive


@attrs.define
class _Connection:
    """Requests and replies on one connection.

    :param stream: the connection.
    """

    stream: trio.SocketStream
    _received: bytes = b""
    _head: bytes = b""

    async def read_head(self) -> dict[str, Any] | None:
        """Return the scope of the next request, or ``None`` at the end of the connection."""
        while HEAD_END not in self._received:
            data = await self.stream.receive_some(CHUNK_BYTES)
            if not data:
                return None
            self._received += data
        head, _, self._received = self._received.partition(HEAD_END)
        request_line, *lines = head.split(b"\r\n")
        method, target, _ = request_line.split(b" ", 2)
        path, _, query = target.partition(b"?")
        headers = []
        for line in lines:
            name, _, value = line.partition(b":")
            headers.append((name.lower(), value.strip()))
        return {
            "type": "http",
            "method": method.decode(),
            "path": path.decode(),
            "query_string": query,
            "headers": headers,
        }

    async def read_body(self, scope: dict[str, Any]) -> bytes:
        """Return the body of a request."""
        size = int(dict(scope["headers"]).get(b"content-length", 0))
        while len(self._received) < size:
            data = await self.stream.receive_some(CHUNK_BYTES)
            if not data:
                raise trio.BrokenResourceError("the request has ended early")
            self._received += data
        body, self._received = self._received[:size], self._received[size:]
        return body

    async def send(self, message: dict[str, Any]) -> None:
        """Send a part of a reply, the head together with the body."""
        if message["type"] == "http.response.start":
            lines = [b"HTTP/1.1 %d Reply" % message["status"]]
            lines += [b"%s: %s" % header for header in message["headers"]]
            self._head = b"\r\n".join(lines) + HEAD_END
        else:
            await self.stream.send_all(self._head + message["body"])
