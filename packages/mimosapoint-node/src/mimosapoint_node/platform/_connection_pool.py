"""Connections of the HTTP client to one address, and the progress of its calls."""

import math
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import attrs
import httpcore
import trio

__all__ = ["ConnectionPool", "Progress"]

IDLE_TIMEOUT = timedelta(seconds=30)
"""Idle time after which a connection is closed when the next request to its address ends."""

TRANSFER_LIMIT = timedelta(seconds=64)
"""Longest time of a reply from its head to its end; the largest body needs it on 2 Mbit/s. It ends
calls whose connection carries a few bytes now and then."""

SILENCE = timedelta(milliseconds=150)
"""Time without the head of a reply after which the other connections to the address may be silent.
Services reply within some milliseconds; a sound connection that is closed costs a handshake."""

MAX_PORT_DIGITS = 5


@attrs.define(eq=False)
class Progress:
    """Progress of a call; each step moves the deadline, as the size of a reply is not known.

    :param scope: scope whose deadline ends the call.
    :param timeout: longest time between two steps.
    :param limit_bytes: largest body that is read.
    :param server_wait: time for which the server may hold back the reply.
    :param has_connection: whether a connection may be used, so that the request may be sent.
    :param sent_at: time at which the request was given to a connection, in seconds of trio's clock.
    :param received_bytes: size of the part of the body that has arrived.
    :param began_at: time at which the head of the reply arrived, in seconds of trio's clock.
    """

    scope: trio.CancelScope
    timeout: timedelta
    limit_bytes: int
    server_wait: timedelta = timedelta()
    has_connection: bool = False
    sent_at: float = math.inf
    received_bytes: int = 0
    began_at: float = math.inf

    @property
    def due_at(self) -> float:
        """Time from which the server does not hold back the reply, in seconds of trio's clock."""
        return self.sent_at + self.server_wait.total_seconds()

    def is_silent(self) -> bool:
        """Return whether the reply is late enough to doubt the connection."""
        if self.began_at < math.inf:
            return False
        return trio.current_time() >= self.due_at + SILENCE.total_seconds()

    def record(self, received_bytes: int = 0) -> None:
        """Record that the reply has begun, or that a part of its body has arrived."""
        now = trio.current_time()
        self.began_at = min(self.began_at, now)
        self.received_bytes += received_bytes
        transfer_end = self.began_at + TRANSFER_LIMIT.total_seconds()
        self.scope.deadline = min(now + self.timeout.total_seconds(), transfer_end)

    def describe_timeout(self, seconds: float) -> str:
        """Return what has arrived of the reply when the deadline is over.

        :param seconds: time for the head of the reply.
        """
        if not self.received_bytes:
            return f"no reply within {seconds} s"
        limit = TRANSFER_LIMIT.total_seconds()
        if trio.current_time() >= self.began_at + limit:
            detail = f"not complete after {limit} s"
        else:
            detail = f"no more within {self.timeout.total_seconds()} s"
        return f"only {self.received_bytes} bytes of the reply, {detail}"


class ConnectionPool:
    """Connections to one address.

    The pool of httpcore checks every connection, with a system call each, at every request; here
    a request checks only the connection that it takes.

    All open connections to an address may go silent at once while new ones work. Once a reply is
    late by :data:`SILENCE`, idle connections that have carried none since it was due are not used
    again: a long poll does not tell when its connection went silent. So a call after a silent one
    gets a new connection, however many there were.

    :param address: ``IP:port``.
    :param limit: largest number of connections.
    :raises ValueError: the address has another form.
    """

    def __init__(self, address: str, limit: int):
        host, _, port = address.rpartition(":")
        if not (host and port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
            raise ValueError("not of the form IP:port")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._idle: deque[tuple[float, httpcore.AsyncHTTPConnection]] = deque()
        self._limit = trio.CapacityLimiter(limit)
        self._calls: set[Progress] = set()
        self._trusted_since = -math.inf

    def request(
        self, method: str, path: str, body: bytes, headers: dict[str, str], connect_seconds: float
    ) -> httpcore.Request:
        """Return a request to the address.

        :param connect_seconds: timeout for opening a connection, in seconds.
        """
        origin = self._origin
        fields = [(b"Content-Length", b"%d" % len(body))]
        if "host" not in headers:
            fields.append((b"Host", b"%b:%d" % (origin.host, origin.port)))
        fields += [(name.encode(), value.encode()) for name, value in headers.items()]
        url = httpcore.URL(
            scheme=origin.scheme, host=origin.host, port=origin.port, target=path.encode()
        )
        timeouts = {"connect": connect_seconds}
        return httpcore.Request(
            method, url, headers=fields, content=body, extensions={"timeout": timeouts}
        )

    @asynccontextmanager
    async def stream(
        self, request: httpcore.Request, progress: Progress
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield its response, whose body is not read yet.

        :param progress: records that a connection may be used, before anything is sent.
        """
        async with self._limit:
            progress.has_connection = True
            connection = await self._acquire()
            progress.sent_at = trio.current_time()
            self._calls.add(progress)
            try:
                response = await connection.handle_async_request(request)
                try:
                    yield response
                finally:
                    await response.aclose()
            except BaseException:
                self._update_trust()
                await _close(connection)
                raise
            finally:
                self._calls.discard(progress)
            await self._release(connection)

    async def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            await _close(self._idle.pop()[1])

    async def _acquire(self) -> httpcore.AsyncHTTPConnection:
        """Return the most recently used connection that is open and trusted, or a new one."""
        self._update_trust()
        while self._idle:
            idle_since, connection = self._idle.pop()
            if idle_since >= self._trusted_since and not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(self._origin)

    def _update_trust(self) -> None:
        """Distrust connections that have carried no reply since one was due that is late now."""
        due_times = (call.due_at for call in self._calls if call.is_silent())
        self._trusted_since = max((self._trusted_since, *due_times))

    async def _release(self, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep the connection for reuse, and close those that were idle for too long."""
        now = trio.current_time()
        if connection.is_idle():
            self._idle.append((now, connection))
        else:
            await _close(connection)
        while self._idle and now - self._idle[0][0] > IDLE_TIMEOUT.total_seconds():
            await _close(self._idle.popleft()[1])


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
