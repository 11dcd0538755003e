"""Servers on a loopback port in the trio run of the test."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import trio
from mimosapoint_standins import serve
from mimosapoint_standins.router import Router

__all__ = ["replying", "serving"]

LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"


@asynccontextmanager
async def serving(app: Router) -> AsyncIterator[str]:
    """Serve an application and yield its address."""
    async with trio.open_nursery() as nursery:
        (address,) = await nursery.start(serve, app, [ANY_PORT], trio.Event())
        yield address
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def replying(data: bytes, repeat: int = 1) -> AsyncIterator[str]:
    """Serve a port that replies with fixed bytes to the first data and closes; yield its address.

    :param data: bytes of the reply.
    :param repeat: number of times that the bytes are sent.
    """

    async def reply(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            for _ in range(repeat):
                await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(partial(trio.serve_tcp, host=LOOPBACK), reply, 0)
        yield f"{LOOPBACK}:{listener.socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()
