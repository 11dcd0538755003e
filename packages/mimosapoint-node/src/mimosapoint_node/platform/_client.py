"""HTTP calls whose failures are typed by whether the call may have had its effect."""

from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote, urlencode

import attrs
import httpcore
import trio
from mimosapoint.codec import decode
from mimosapoint.errors import BadRequest, CodecError, MimosapointError
from mimosapoint.platform import Problem, error_from_problem

__all__ = ["CALL_TIMEOUT", "CONNECT_TIMEOUT", "HttpClient", "Reply", "make_path"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time that a call may take as a whole."""

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Time that a new connection may take."""

IDLE_TIMEOUT = timedelta(seconds=30)
"""Time after which an idle connection is closed."""

ADDRESS_LIMIT = 4096
"""Number of addresses to which connections are kept."""

BODY_LIMIT_BYTES = 16_000_000
"""Largest body of a reply, in bytes."""

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
"""Failures that come before anything of the request is sent."""

UNKNOWN_OUTCOME_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
"""Failures after which the call may have had its effect."""

T = TypeVar("T")


@attrs.frozen
class Reply:
    """An HTTP reply.

    :param status: status code.
    :param headers: values by lower-case name.
    :param body: the body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class _ConnectionPool:
    """Connections to one address.

    The library's own pool looks at every connection, with a system call each, at every request;
    here a request looks only at the one that it takes.

    :param address: ``IP:port``.
    :param limit: number of connections at most.
    """

    def __init__(self, address: str, limit: int):
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._idle: deque[tuple[float, httpcore.AsyncHTTPConnection]] = deque()
        self._limit = trio.CapacityLimiter(limit)

    def request(
        self, method: str, path: str, body: bytes, headers: dict[str, str], connect_time: float
    ) -> httpcore.Request:
        """Return a request to the address.

        :param connect_time: time that a new connection may take, in seconds.
        """
        origin = self._origin
        fields = [(b"Content-Length", b"%d" % len(body))]
        if "host" not in headers:
            fields.append((b"Host", b"%b:%d" % (origin.host, origin.port)))
        fields += [(name.encode(), value.encode()) for name, value in headers.items()]
        url = httpcore.URL(
            scheme=origin.scheme, host=origin.host, port=origin.port, target=path.encode()
        )
        limits = {"connect": connect_time}
        return httpcore.Request(
            method, url, headers=fields, content=body, extensions={"timeout": limits}
        )

    @asynccontextmanager
    async def stream(self, request: httpcore.Request) -> AsyncIterator[httpcore.Response]:
        """Send a request and give the beginning of its response."""
        async with self._limit:
            connection = await self._take()
            try:
                response = await connection.handle_async_request(request)
                try:
                    yield response
                finally:
                    await response.aclose()
            except BaseException:
                await _close(connection)
                raise
            await self._put_back(connection)

    async def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            await _close(self._idle.pop()[1])

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        """Return the connection that was used last and is still open, or a new one."""
        while self._idle:
            _, connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(self._origin)

    async def _put_back(self, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep the connection for the next request; close those that were idle for too long."""
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


@attrs.frozen
class HttpClient:
    """Calls to one service of the platform.

    :param no_effect_error: error of a call that had no effect.
    :param unknown_outcome_error: error of a call that may have had its effect.
    :param known_errors: errors that the service may answer with.
    :param timeout: time that a call may take as a whole.
    :param connect_timeout: time that a new connection may take.
    :param connections: number of connections to each address at most.
    """

    no_effect_error: type[MimosapointError]
    unknown_outcome_error: type[MimosapointError]
    known_errors: frozenset[type[MimosapointError]] = frozenset()
    timeout: timedelta = CALL_TIMEOUT
    connect_timeout: timedelta = CONNECT_TIMEOUT
    connections: int = 16
    _pools_by_address: OrderedDict[str, _ConnectionPool] = attrs.field(
        init=False, factory=OrderedDict
    )

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b"",
        accepted: tuple[int, ...] = (200,),
        extra_time: timedelta = timedelta(),
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the reply.

        :param address: ``IP:port`` of the service.
        :param path: path and query, as from :func:`make_path`.
        :param accepted: status codes of a success.
        :param extra_time: time that the service is asked to wait.
        :param headers: further headers of the request.
        :raises MimosapointError: ``no_effect_error``, ``unknown_outcome_error`` or one of the known
            errors.
        """
        timeout = self.timeout + extra_time
        reply = await self._send(method, address, path, body, timeout, headers or {})
        if reply.status not in accepted:
            raise self._error(reply)
        return reply

    def decode_body(self, reply: Reply, kind: type[T]) -> T:
        """Return the reply's body as a typed item.

        :raises MimosapointError: ``unknown_outcome_error``; the body is not one.
        """
        return self.parse_reply(lambda: decode(reply.body, kind))

    def parse_reply(self, parse: Callable[[], T]) -> T:
        """Return what the function reads from a reply.

        :raises MimosapointError: ``unknown_outcome_error``; the reply makes no sense.
        """
        try:
            return parse()
        except (CodecError, ValueError, KeyError) as error:
            raise self.unknown_outcome_error(f"unusable reply: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        while self._pools_by_address:
            await self._pools_by_address.popitem()[1].close()

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout: timedelta,
        headers: dict[str, str],
    ) -> Reply:
        with trio.move_on_after(timeout.total_seconds()):
            try:
                return await self._exchange(method, address, path, body, headers)
            except NOT_SENT_ERRORS as error:
                raise self.no_effect_error(f"{address}: not connected: {error!r}") from error
            except UNKNOWN_OUTCOME_ERRORS as error:
                raise self.unknown_outcome_error(f"{address}: broken: {error!r}") from error
        raise self.unknown_outcome_error(f"{address}: no reply within {timeout.total_seconds()} s")

    async def _exchange(
        self, method: str, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply:
        pool = await self._pool(address)
        connect_time = self.connect_timeout.total_seconds()
        request = pool.request(method, path, body, headers, connect_time)
        async with pool.stream(request) as response:
            answered = {name.lower(): value for name, value in response.headers}
            return Reply(response.status, answered, await self._read_body(response))

    async def _read_body(self, response: httpcore.Response) -> bytes:
        parts = []
        size = 0
        async for part in response.aiter_stream():
            parts.append(part)
            size += len(part)
            if size > BODY_LIMIT_BYTES:
                raise self.unknown_outcome_error(f"reply over {BODY_LIMIT_BYTES} bytes")
        return b"".join(parts)

    async def _pool(self, address: str) -> _ConnectionPool:
        """Return the address's own pool; one pool for all is searched through at each call."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = self._pools_by_address[address] = _ConnectionPool(address, self.connections)
        self._pools_by_address.move_to_end(address)
        if len(self._pools_by_address) > ADDRESS_LIMIT:
            await self._pools_by_address.popitem(last=False)[1].close()
        return pool

    def _error(self, reply: Reply) -> MimosapointError:
        problem = self.decode_body(reply, Problem)
        error = error_from_problem(problem)
        if isinstance(error, BadRequest):
            return self.no_effect_error(problem.detail)
        if type(error) in self.known_errors | {self.no_effect_error, self.unknown_outcome_error}:
            return error
        return self.unknown_outcome_error(f"status {reply.status}, code {problem.code}")


def make_path(*segments: str, **query: str | int | float) -> str:
    """Return the path and query of a resource.

    :param segments: segments of the path, which are escaped.
    """
    path = "/".join(quote(segment, safe="") for segment in segments)
    text = f"?{urlencode(query)}" if query else ""
    return f"/v1/{path}{text}"
