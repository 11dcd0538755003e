"""Serving of one connection by hypercorn."""

from datetime import timedelta
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from mimosapoint.errors import ShuttingDown
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._exchange import Exchange, Receive, Send
from mimosapoint_node.http._open_request import OpenRequest
from mimosapoint_node.http.core import App
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.problems import problem_reply

__all__ = ["Connection"]

IDLE_SECONDS = 0.05
"""Time without requests and sends, in seconds, after which shutdown closes a connection."""

CHUNK_BYTES = 2**16
"""Bytes of a reply that the caller has to read within the send timeout."""


class Connection:
    """Serves a connection and closes it during shutdown once it is idle.

    On its own shutdown, hypercorn ends an HTTP/2 connection before the last frame of the last
    reply has been sent, so that shutdown starts only when nothing is left to send.

    :param stream: accepted connection.
    :param app: ASGI application.
    :param config: hypercorn's configuration.
    :param limits: limits of the HTTP interface.
    :param shutdown: set when the node begins to stop.
    :param telemetry: receives an event for each request that gets no complete reply.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        app: App,
        config: Config,
        limits: HttpLimits,
        shutdown: trio.Event,
        telemetry: Telemetry,
    ):
        self._stream = _TrackedStream(stream, limits.send_timeout)
        self._app = app
        self._config = config
        self._limits = limits
        self._shutdown = shutdown
        self._telemetry = telemetry
        self._context = WorkerContext(None)
        self._requests: set[OpenRequest] = set()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        app = ASGIWrapper(self._respond)
        state = ConnectionState({})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_idle)
            await TCPServer(app, self._config, self._context, state, self._stream)
            nursery.cancel_scope.cancel()

    async def _respond(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        request = OpenRequest(scope, receive, send)
        self._requests.add(request)
        end = "returned"
        try:
            if self._shutdown.is_set():
                exchange = Exchange(scope, request.receive, request.send, self._limits)
                await exchange.reply(problem_reply(ShuttingDown("the node is stopping")), None)
            else:
                await self._app(scope, request.receive, request.send)
        except BaseException as error:
            end = repr(error)
            if _is_cancelled(error):
                end = "stop-timeout" if self._shutdown.is_set() else "cancelled"
            raise
        finally:
            self._requests.discard(request)
            if scope["type"] == "http":
                self._log_unless_replied(request, end)

    def _log_unless_replied(self, request: OpenRequest, end: str) -> None:
        """Log a request that gets no complete reply although the caller has not closed.

        :param end: how the application ended.
        """
        stream = self._stream
        if stream.closed_by_caller or (request.is_replied and not stream.is_send_lost):
            return
        self._telemetry.event(
            "http-request-cut",
            method=request.scope["method"],
            path=request.scope["path"],
            age=round(request.age, 3),
            read=request.is_read,
            replied=request.is_replied,
            end=end,
            stopping=self._shutdown.is_set(),
        )
        self._telemetry.count("http_requests_cut_total")

    async def _close_when_idle(self) -> None:
        await self._shutdown.wait()
        idle = False
        while not idle:
            sent = self._stream.sent
            await trio.sleep(IDLE_SECONDS)
            idle = not (self._requests or self._stream.sending or self._stream.sent > sent)
        await self._context.terminated.set()


def _is_cancelled(error: BaseException) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return error.split(trio.Cancelled)[1] is None
    return isinstance(error, trio.Cancelled)


class _TrackedStream:
    """Stream that tracks its sends and has the members that hypercorn uses.

    :param stream: wrapped stream.
    :param send_timeout: timeout for one chunk of :data:`CHUNK_BYTES`.
    """

    def __init__(self, stream: trio.SocketStream, send_timeout: timedelta):
        self.socket = stream.socket
        self.send_eof = stream.send_eof
        self.aclose = stream.aclose
        self.sending = False
        self.sent = 0
        self.closed_by_caller = False
        self.is_send_lost = False
        self._stream = stream
        self._send_seconds = send_timeout.total_seconds()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes; empty once the caller has closed its side."""
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self.closed_by_caller = True
            raise
        self.closed_by_caller = self.closed_by_caller or not data
        return data

    async def send_all(self, data: bytes) -> None:
        """Send the data and count the call.

        hypercorn shields its sends from cancellation, so without the timeout a peer that does
        not read would block the shutdown forever.

        :raises trio.BrokenResourceError: the peer did not read a chunk in time.
        """
        self.sending = True
        try:
            for start in range(0, len(data), CHUNK_BYTES):
                with trio.fail_after(self._send_seconds):
                    await self._stream.send_all(data[start : start + CHUNK_BYTES])
        except trio.TooSlowError as error:
            await trio.aclose_forcefully(self._stream)
            raise trio.BrokenResourceError("the peer reads too slowly") from error
        except trio.BrokenResourceError:
            self.closed_by_caller = True
            raise
        except trio.ClosedResourceError:
            self.is_send_lost = True
            raise
        finally:
            self.sending = False
            self.sent += 1
