"""HTTP client whose errors state whether a call may have had its effect."""

import math
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
from mimosapoint.platform import Problem, error_from_problem

from mimosapoint_node.platform._connection_pool import ConnectionPool, Progress

__all__ = ["CALL_TIMEOUT", "CONNECT_TIMEOUT", "HttpClient", "Reply", "make_path"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time without progress after which a call fails."""

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Timeout for opening a connection."""

ADDRESS_LIMIT = 4096
"""Largest number of addresses to which connections are kept."""

BODY_LIMIT_BYTES = 16_000_000
"""Largest body of a reply, in bytes."""

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
"""Errors that occur before any part of the request is sent. ``PoolTimeout`` is raised only by the
pool of httpcore, which is not used."""

UNKNOWN_OUTCOME_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
"""Errors after which the call may have had its effect."""

T = TypeVar("T")


@attrs.frozen
class Reply:
    """HTTP reply.

    :param status: status code.
    :param headers: values by lower-case name.
    :param body: content of the reply.
    :param transfer_time: time from the arrival of the head to that of the end of the body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    transfer_time: timedelta = timedelta()


@attrs.frozen
class HttpClient:
    """Client of one service of the platform, at any number of addresses.

    :param no_effect_error: error of a call that had no effect.
    :param unknown_outcome_error: error of a call that may have had its effect.
    :param known_errors: further errors that the service may reply with.
    :param timeout: longest time until the reply begins, and then between parts of it. A large reply
        may take longer in all on a slow link; ending it would only start the same transfer anew.
    :param connect_timeout: timeout for opening a connection.
    :param connections: largest number of connections to each address.
    :param upload_bytes_per_second: rate at which a request is sent at least; the timeout is
        extended by the time that its body needs. The progress of a request is not seen, as the
        operating system takes large parts of it at once.
    :param too_large_error: error of a reply over the size limit; ``unknown_outcome_error`` by
        default.
    :param not_listening_error: error of a call to an address at which no process listens;
        ``no_effect_error`` by default.
    """

    no_effect_error: type[MimosapointError]
    unknown_outcome_error: type[MimosapointError]
    known_errors: frozenset[type[MimosapointError]] = frozenset()
    timeout: timedelta = CALL_TIMEOUT
    connect_timeout: timedelta = CONNECT_TIMEOUT
    connections: int = 16
    upload_bytes_per_second: float = math.inf
    too_large_error: type[MimosapointError] | None = None
    not_listening_error: type[MimosapointError] | None = None
    _pools_by_address: OrderedDict[str, ConnectionPool] = attrs.field(
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
        body_limit: int | None = None,
    ) -> Reply:
        """Send a request and return the reply.

        :param address: ``IP:port`` of the service.
        :param path: path and query, as from :func:`make_path`.
        :param accepted: status codes of success.
        :param extra_time: time that the service may wait before it replies, added to the timeout.
        :param headers: further headers of the request.
        :param body_limit: largest body of a reply, in bytes; :data:`BODY_LIMIT_BYTES` by default.
        :raises MimosapointError: ``no_effect_error``, ``unknown_outcome_error`` or one of the
            known errors.
        """
        upload_time = timedelta(seconds=len(body) / self.upload_bytes_per_second)
        timeout = self.timeout + upload_time + extra_time
        limit = BODY_LIMIT_BYTES if body_limit is None else body_limit
        reply = await self._send(
            method, address, path, body, timeout, extra_time, headers or {}, limit
        )
        if reply.status not in accepted:
            raise self._make_error(reply)
        return reply

    def decode_body(self, reply: Reply, kind: type[T]) -> T:
        """Decode the body of a reply.

        :raises MimosapointError: ``unknown_outcome_error``; the body is malformed.
        """
        return self.parse_reply(lambda: decode(reply.body, kind))

    def parse_reply(self, parse: Callable[[], T]) -> T:
        """Call a function that parses a reply, and return its result.

        :raises MimosapointError: ``unknown_outcome_error``; the reply is malformed.
        """
        try:
            return parse()
        except (CodecError, ValueError, KeyError) as error:
            raise self.unknown_outcome_error(f"unusable reply: {error}") from error

    async def close(self) -> None:
        """Close all idle connections."""
        while self._pools_by_address:
            await self._pools_by_address.popitem()[1].close()

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout: timedelta,
        server_wait: timedelta,
        headers: dict[str, str],
        body_limit: int,
    ) -> Reply:
        # The timeout includes the wait for a free connection.
        with trio.move_on_after(timeout.total_seconds()) as scope:
            progress = Progress(scope, self.timeout, body_limit, server_wait)
            try:
                return await self._exchange(method, address, path, body, headers, progress)
            except NOT_SENT_ERRORS as error:
                kind = self.no_effect_error
                if self.not_listening_error is not None and _is_refused(error):
                    kind = self.not_listening_error
                raise kind(f"{address}: not connected: {error!r}") from error
            except UNKNOWN_OUTCOME_ERRORS as error:
                raise self.unknown_outcome_error(
                    f"{address}: connection failed: {error!r}"
                ) from error
        raise self._timeout_error(address, timeout, progress)

    def _timeout_error(
        self, address: str, timeout: timedelta, progress: Progress
    ) -> MimosapointError:
        seconds = timeout.total_seconds()
        if not progress.has_connection:
            return self.no_effect_error(f"{address}: no free connection within {seconds} s")
        return self.unknown_outcome_error(f"{address}: {progress.describe_timeout(seconds)}")

    async def _exchange(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        progress: Progress,
    ) -> Reply:
        pool = await self._pool(address)
        connect_seconds = self.connect_timeout.total_seconds()
        request = pool.request(method, path, body, headers, connect_seconds)
        async with pool.stream(request, progress) as response:
            progress.record()
            headers_by_name = {name.lower(): value for name, value in response.headers}
            self._check_size(int(headers_by_name.get(b"content-length", 0)), progress)
            body = await self._read_body(response, progress)
            transfer_time = timedelta(seconds=trio.current_time() - progress.began_at)
            return Reply(response.status, headers_by_name, body, transfer_time)

    async def _read_body(self, response: httpcore.Response, progress: Progress) -> bytes:
        chunks = []
        async for chunk in response.aiter_stream():
            chunks.append(chunk)
            progress.record(len(chunk))
            self._check_size(progress.received_bytes, progress)
        return b"".join(chunks)

    def _check_size(self, size: int, progress: Progress) -> None:
        if size > progress.limit_bytes:
            error = self.too_large_error or self.unknown_outcome_error
            raise error(f"reply over {progress.limit_bytes} bytes")

    async def _pool(self, address: str) -> ConnectionPool:
        """Return the pool of an address; a pool shared by all would be searched at each call."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            try:
                pool = ConnectionPool(address, self.connections)
            except ValueError as error:
                raise self.no_effect_error(f"{address!r}: {error}") from error
            self._pools_by_address[address] = pool
        self._pools_by_address.move_to_end(address)
        if len(self._pools_by_address) > ADDRESS_LIMIT:
            await self._pools_by_address.popitem(last=False)[1].close()
        return pool

    def _make_error(self, reply: Reply) -> MimosapointError:
        problem = self.decode_body(reply, Problem)
        error = error_from_problem(problem)
        if isinstance(error, BadRequest):
            return self.no_effect_error(problem.detail)
        if type(error) in self.known_errors | {self.no_effect_error, self.unknown_outcome_error}:
            return error
        return self.unknown_outcome_error(f"status {reply.status}, code {problem.code}")


def _is_refused(error: BaseException | None) -> bool:
    """Return whether the host has refused a connection, as no process listens at the port.

    Trio raises the errors of all addresses of a host as a group.
    """
    if isinstance(error, BaseExceptionGroup):
        return all(_is_refused(each) for each in error.exceptions)
    return isinstance(error, ConnectionRefusedError) or (
        error is not None and _is_refused(error.__cause__)
    )


def make_path(*segments: str, **query: str | int | float) -> str:
    """Return the path and query of a resource.

    :param segments: segments of the path, which are escaped.
    """
    path = "/".join(quote(segment, safe="") for segment in segments)
    query_string = f"?{urlencode(query)}" if query else ""
    return f"/v1/{path}{query_string}"
