"""HTTP server for ASGI applications on trio."""

from collections.abc import Sequence

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as hypercorn_serve

from mimosapoint_standins.router import Router

__all__ = ["serve"]

KEEP_ALIVE_SECONDS = 120
"""Idle time after which a connection is closed."""

GRACE_SECONDS = 1
"""Time that requests in progress have to finish at shutdown."""


async def serve(
    app: Router,
    addresses: Sequence[str],
    stop: trio.Event,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until an event is set.

    :param addresses: ``IP:port`` addresses to listen on; port 0 selects a free port.
    :param stop: event that shuts the server down.
    :param task_status: receives the bound ``IP:port`` addresses once the server listens.
    """
    config = Config()
    config.bind = list(addresses)
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.graceful_timeout = GRACE_SECONDS
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(
            lambda task_status: hypercorn_serve(
                app, config, shutdown_trigger=stop.wait, task_status=task_status, mode="asgi"
            )
        )
        task_status.started([url.removeprefix("http://") for url in urls])
