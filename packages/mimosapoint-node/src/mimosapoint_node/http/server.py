"""Serving of the application by hypercorn on trio."""

from functools import partial

import trio
from hypercorn.config import Config
from mimosapoint.errors import Overloaded
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._connection import Connection
from mimosapoint_node.http._gate import Gate
from mimosapoint_node.http.core import App
from mimosapoint_node.http.limits import HttpLimits

__all__ = ["serve"]

BACKLOG = 1024
"""Connections that may wait to be accepted."""


async def serve(
    app: App,
    address: str,
    limits: HttpLimits,
    shutdown: trio.Event,
    telemetry: Telemetry,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP/1.1 and HTTP/2 until the shutdown; requests in progress are then finished.

    ``hypercorn.trio.serve`` has no bound on connections and ends when one raises, so
    the accepting is done here.

    :param app: ASGI application.
    :param address: ``IP:port``; port 0 takes a free one.
    :param limits: bounds of the interface.
    :param shutdown: set to stop.
    :param telemetry: told of connections that fail.
    :param task_status: gets the ``IP:port`` that is bound.
    """
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    handler = _Handler(app, limits, shutdown, telemetry)
    async with trio.open_nursery() as connection_nursery:
        async with trio.open_nursery() as accept_nursery:
            accept = partial(
                trio.serve_listeners,
                handler.handle,
                listeners,
                handler_nursery=connection_nursery,
            )
            await accept_nursery.start(accept)
            bound = listeners[0].socket.getsockname()
            task_status.started(f"{bound[0]}:{bound[1]}")
            await shutdown.wait()
            accept_nursery.cancel_scope.cancel()
        grace = limits.shutdown_time.total_seconds()
        connection_nursery.cancel_scope.deadline = trio.current_time() + grace


class _Handler:
    """Serves each accepted connection.

    :param app: ASGI application.
    :param limits: bounds of the interface.
    :param shutdown: set when the node stops.
    :param telemetry: told of connections that fail.
    """

    def __init__(self, app: App, limits: HttpLimits, shutdown: trio.Event, telemetry: Telemetry):
        self._app = app
        self._limits = limits
        self._shutdown = shutdown
        self._telemetry = telemetry
        self._config = _make_config(limits)
        self._gate = Gate(limits.connections, "connections are open")

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends; close it when there are too many."""
        connection = Connection(stream, self._app, self._config, self._limits, self._shutdown)
        try:
            with self._gate.enter():
                await connection.run()
        except Overloaded:
            self._telemetry.count("http_connections_refused_total")
            await stream.aclose()
        except Exception as error:
            self._telemetry.event("http-connection-error", error=repr(error))
            await trio.aclose_forcefully(stream)


def _make_config(limits: HttpLimits) -> Config:
    """Return hypercorn's configuration."""
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = limits.header_bytes
    config.h2_max_header_list_size = limits.header_bytes
    config.h2_max_concurrent_streams = limits.in_flight
    config.keep_alive_timeout = limits.idle_time.total_seconds()
    config.read_timeout = (limits.wait + limits.idle_time).total_seconds()
    return config
