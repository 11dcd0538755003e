"""HTTP server that runs the application by hypercorn on trio."""

import math
from functools import partial

import trio
from hypercorn.config import Config
from mimosapoint.errors import Overloaded
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._concurrency import ConcurrencyLimiter
from mimosapoint_node.http._connection import Connection
from mimosapoint_node.http.core import App
from mimosapoint_node.http.limits import HttpLimits

__all__ = ["serve"]

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

REPLY_SECONDS = 0.5
"""Part of the shutdown timeout, in seconds, that is left for replies to requests that it ends. A
process that is short of processor time needs most of it."""


async def serve(
    app: App,
    address: str,
    limits: HttpLimits,
    shutdown: trio.Event,
    telemetry: Telemetry,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP/1.1 and HTTP/2 until the shutdown, then finish requests in progress.

    ``hypercorn.trio.serve`` has no limit on connections and ends when one of them raises, so
    connections are accepted here.

    :param app: ASGI application.
    :param address: ``IP:port``; port 0 selects a free port.
    :param limits: limits of the HTTP interface.
    :param shutdown: set to stop the server.
    :param telemetry: receives events of failed connections and of requests without a reply.
    :param task_status: receives the bound ``IP:port``.
    """
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    handler = _ConnectionHandler(app, limits, shutdown, telemetry)
    async with trio.open_nursery() as stop_nursery:
        async with trio.open_nursery() as connection_nursery:
            async with trio.open_nursery() as accept_nursery:
                accept_connections = partial(
                    trio.serve_listeners,
                    handler.handle,
                    listeners,
                    handler_nursery=connection_nursery,
                )
                await accept_nursery.start(accept_connections)
                bound_address = listeners[0].socket.getsockname()
                task_status.started(f"{bound_address[0]}:{bound_address[1]}")
                await shutdown.wait()
                accept_nursery.cancel_scope.cancel()
            shutdown_seconds = limits.shutdown_timeout.total_seconds()
            connection_nursery.cancel_scope.deadline = trio.current_time() + shutdown_seconds
            stop_nursery.start_soon(handler.end_requests_at_timeout, shutdown_seconds)
        stop_nursery.cancel_scope.cancel()


class _ConnectionHandler:
    """Serves each accepted connection.

    :param app: ASGI application.
    :param limits: limits of the HTTP interface.
    :param shutdown: set when the node begins to stop.
    :param telemetry: receives events of failed connections.
    """

    def __init__(self, app: App, limits: HttpLimits, shutdown: trio.Event, telemetry: Telemetry):
        self._app = app
        self._limits = limits
        self._shutdown = shutdown
        self._telemetry = telemetry
        self._config = _make_config(limits)
        self._connections: set[Connection] = set()
        self._connection_limiter = ConcurrencyLimiter(limits.connections, "connections are open")

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends; close it when the limit is reached."""
        connection = Connection(
            stream, self._app, self._config, self._limits, self._shutdown, self._telemetry
        )
        self._connections.add(connection)
        try:
            with self._connection_limiter.enter():
                await connection.run()
        except Overloaded:
            self._telemetry.count("http_connections_refused_total")
            await stream.aclose()
        except Exception as error:
            self._telemetry.event("http-connection-error", error=repr(error))
            await trio.aclose_forcefully(stream)
        finally:
            self._connections.discard(connection)

    async def end_requests_at_timeout(self, shutdown_seconds: float) -> None:
        """End the requests that are still open shortly before the shutdown timeout."""
        await trio.sleep(max(shutdown_seconds - REPLY_SECONDS, shutdown_seconds / 2))
        for connection in self._connections:
            connection.end_requests()


def _make_config(limits: HttpLimits) -> Config:
    """Return the configuration of hypercorn without logs and with the limits."""
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = limits.header_bytes
    config.h2_max_header_list_size = limits.header_bytes
    config.h2_max_concurrent_streams = limits.in_flight
    # Each connection closes itself when it is idle.
    config.keep_alive_timeout = math.inf
    config.read_timeout = (limits.max_wait + limits.idle_timeout).total_seconds()
    return config
