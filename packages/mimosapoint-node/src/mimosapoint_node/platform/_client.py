"""HTTP calls whose failures are typed by whether the call may have had its effect."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote, urlencode

import attrs
import httpcore
import trio
from mimosapoint.codec import decode
from mimosapoint.errors import BadRequest, CodecError, MimosapointError
from mimosapoint.platform import Problem, error_of

__all__ = ["CALL_TIMEOUT", "CONNECT_TIMEOUT", "Client", "Reply", "path_of"]

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

NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
"""Failures that come before anything of the request is sent."""

BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
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


@attrs.frozen
class Client:
    """Calls to one service of the platform.

    :param refused: error of a call that had no effect.
    :param doubtful: error of a call that may have had its effect.
    :param known: errors that the service may answer with.
    :param timeout: time that a call may take as a whole.
    :param connect_timeout: time that a new connection may take.
    :param connections: number of connections to each address at most.
    """

    refused: type[MimosapointError]
    doubtful: type[MimosapointError]
    known: frozenset[type[MimosapointError]] = frozenset()
    timeout: timedelta = CALL_TIMEOUT
    connect_timeout: timedelta = CONNECT_TIMEOUT
    connections: int = 16
    _pools_by_address: OrderedDict[str, httpcore.AsyncConnectionPool] = attrs.field(
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
        :param path: path and query, as from :func:`path_of`.
        :param accepted: status codes of a success.
        :param extra_time: time that the service is asked to wait.
        :param headers: further headers of the request.
        :raises MimosapointError: ``refused``, ``doubtful`` or one of the known errors.
        """
        timeout = self.timeout + extra_time
        reply = await self._send(method, address, path, body, timeout, headers or {})
        if reply.status not in accepted:
            raise self._error(reply)
        return reply

    def read(self, reply: Reply, kind: type[T]) -> T:
        """Return the reply's body as a typed item.

        :raises MimosapointError: ``doubtful``; the body is not one.
        """
        return self.check(lambda: decode(reply.body, kind))

    def check(self, parse: Callable[[], T]) -> T:
        """Return what the function reads from a reply.

        :raises MimosapointError: ``doubtful``; the reply makes no sense.
        """
        try:
            return parse()
        except (CodecError, ValueError, KeyError) as error:
            raise self.doubtful(f"unusable reply: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        while self._pools_by_address:
            await self._pools_by_address.popitem()[1].aclose()

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
            except NOT_SENT as error:
                raise self.refused(f"{address}: not connected: {error!r}") from error
            except BROKEN as error:
                raise self.doubtful(f"{address}: broken: {error!r}") from error
        raise self.doubtful(f"{address}: no reply within {timeout.total_seconds()} s")

    async def _exchange(
        self, method: str, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply:
        pool = await self._pool(address)
        limits = {"connect": self.connect_timeout.total_seconds()}
        async with pool.stream(
            method,
            f"http://{address}{path}",
            headers={"Host": address, **headers},
            content=body,
            extensions={"timeout": limits},
        ) as response:
            headers = {name.lower(): value for name, value in response.headers}
            return Reply(response.status, headers, await self._read_body(response))

    async def _read_body(self, response: httpcore.Response) -> bytes:
        parts = []
        size = 0
        async for part in response.aiter_stream():
            parts.append(part)
            size += len(part)
            if size > BODY_LIMIT_BYTES:
                raise self.doubtful(f"reply over {BODY_LIMIT_BYTES} bytes")
        return b"".join(parts)

    async def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the address's own pool; one pool for all is searched through at each call."""
        pool = self._pools_by_address.get(address) or self._make_pool()
        self._pools_by_address[address] = pool
        self._pools_by_address.move_to_end(address)
        if len(self._pools_by_address) > ADDRESS_LIMIT:
            await self._pools_by_address.popitem(last=False)[1].aclose()
        return pool

    def _make_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self.connections,
            keepalive_expiry=IDLE_TIMEOUT.total_seconds(),
        )

    def _error(self, reply: Reply) -> MimosapointError:
        problem = self.read(reply, Problem)
        error = error_of(problem)
        if isinstance(error, BadRequest):
            return self.refused(problem.detail)
        if type(error) in self.known | {self.refused, self.doubtful}:
            return error
        return self.doubtful(f"status {reply.status}, code {problem.code}")


def path_of(*segments: str, **query: str | int | float) -> str:
    """Return the path and query of a resource.

    :param segments: segments of the path, which are escaped.
    """
    path = "/".join(quote(segment, safe="") for segment in segments)
    text = f"?{urlencode(query)}" if query else ""
    return f"/v1/{path}{text}"
