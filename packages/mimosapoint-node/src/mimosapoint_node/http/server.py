"""Serving of the application by hypercorn on trio."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as hypercorn_serve

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
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP/1.1 and HTTP/2 until the shutdown; requests in progress are then finished.

    :param app: ASGI application.
    :param address: ``IP:port``; port 0 takes a free one.
    :param limits: bounds of the interface.
    :param shutdown: set to stop.
    :param task_status: gets the ``IP:port`` that is bound.
    """
    bound = _BoundAddress(task_status)
    await hypercorn_serve(
        app,
        make_config(address, limits),
        shutdown_trigger=shutdown.wait,
        task_status=bound,
        mode="asgi",
    )


def make_config(address: str, limits: HttpLimits) -> Config:
    """Return hypercorn's configuration."""
    config = Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = limits.header_bytes
    config.h2_max_header_list_size = limits.header_bytes
    config.h2_max_concurrent_streams = limits.in_flight
    config.keep_alive_timeout = limits.idle_time.total_seconds()
    config.read_timeout = (limits.wait + limits.idle_time).total_seconds()
    config.graceful_timeout = limits.shutdown_time.total_seconds()
    return config


class _BoundAddress:
    """Hands hypercorn's list of URLs on as one ``IP:port``.

    :param task_status: gets the address.
    """

    def __init__(self, task_status: trio.TaskStatus[str]):
        self._task_status = task_status

    def started(self, urls: list[str]) -> None:
        """Pass the address on."""
        self._task_status.started(urls[0].removeprefix("http://"))
