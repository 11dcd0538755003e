"""Serving of one connection by hypercorn."""

from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._exchange import Receive, Send
from mimosapoint_node.http._open_request import OpenRequest
from mimosapoint_node.http._tracked_stream import TrackedStream
from mimosapoint_node.http.core import App
from mimosapoint_node.http.limits import HttpLimits

__all__ = ["Connection"]

IDLE_SECONDS = 0.05
"""Time without requests and sends, in seconds, after which shutdown closes a connection."""


class Connection:
    """Serves a connection and closes it once it is idle, which during shutdown takes no time.

    hypercorn itself would close a connection whose next request has just arrived, and during
    shutdown an HTTP/2 connection before the last frame of the last reply has been sent. So it is
    told to close only after reading has stopped with nothing left to handle or to send.

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
        self._context = WorkerContext(None)
        # hypercorn closes after the last reply once nothing more is read.
        self._stream = TrackedStream(stream, limits.send_timeout, self._context.terminated)
        self._app = app
        self._config = config
        self._limits = limits
        self._shutdown = shutdown
        self._telemetry = telemetry
        self._requests: set[OpenRequest] = set()
        self._used_at = trio.current_time()
        self._is_ending = False

    async def run(self) -> None:
        """Serve the connection until it ends."""
        app = ASGIWrapper(self._respond)
        state = ConnectionState({})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_idle, nursery.cancel_scope)
            await TCPServer(app, self._config, self._context, state, self._stream)
            nursery.cancel_scope.cancel()

    def end_requests(self) -> None:
        """End the requests that are open, and those that follow, with a reply."""
        self._is_ending = True
        for request in self._requests:
            request.end()

    async def _respond(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        request = OpenRequest(scope, receive, send, self._limits)
        self._requests.add(request)
        self._used_at = trio.current_time()
        end = "returned"
        try:
            if self._is_ending:
                request.end()
            if await (request.refuse() if self._shutdown.is_set() else request.serve(self._app)):
                await self._reply_ended(request)
        except BaseException as error:
            end = repr(error)
            if _is_cancelled(error):
                end = "stop-timeout" if self._shutdown.is_set() else "cancelled"
            raise
        finally:
            self._requests.discard(request)
            self._used_at = trio.current_time()
            if scope["type"] == "http":
                self._log_unless_replied(request, end)

    async def _reply_ended(self, request: OpenRequest) -> None:
        reply = await request.reply_ended()
        self._telemetry.event(
            "http-request-ended-by-stop", **request.log_fields(), status=reply.status
        )

    def _log_unless_replied(self, request: OpenRequest, end: str) -> None:
        """Log a request that gets no complete reply although the caller has not closed.

        :param end: how the application ended.
        """
        stream = self._stream
        if stream.closed_by_caller or (request.is_replied and not stream.is_send_lost):
            return
        self._telemetry.event(
            "http-request-cut",
            **request.log_fields(),
            read=request.is_read,
            replied=request.is_replied,
            end=end,
            stopping=self._shutdown.is_set(),
        )
        self._telemetry.count("http_requests_cut_total")

    async def _close_when_idle(self, connection_scope: trio.CancelScope) -> None:
        """Close the connection at the idle timeout, or during shutdown as soon as it is idle."""
        await self._wait_idle()
        while not await self._stream.stop_reading():
            if self._stream.is_closed and not self._requests:
                # hypercorn waits forever to pass on a body that nothing reads any more.
                connection_scope.cancel()
            await trio.sleep(IDLE_SECONDS)
            await self._wait_idle()

    async def _wait_idle(self) -> None:
        idle_seconds = self._limits.idle_timeout.total_seconds()
        while not self._shutdown.is_set() and self._idle_seconds() < idle_seconds:
            with trio.move_on_after(idle_seconds - self._idle_seconds()):
                await self._shutdown.wait()
        is_idle = not self._shutdown.is_set()
        while not is_idle:
            sent = self._stream.sent
            await trio.sleep(IDLE_SECONDS)
            is_idle = not (self._requests or self._stream.sending or self._stream.sent > sent)

    def _idle_seconds(self) -> float:
        """Return the time since the last request has ended; 0 while there is one."""
        if self._requests or self._stream.sending:
            return 0
        return trio.current_time() - self._used_at


def _is_cancelled(error: BaseException) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return error.split(trio.Cancelled)[1] is None
    return isinstance(error, trio.Cancelled)
