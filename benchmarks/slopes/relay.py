"""Counts the bytes between a caller and a service."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from benchmarks.slopes.ports import reserved_addresses

__all__ = ["Relay"]


class Relay:
    """Carries connections on to services and counts their bytes, both ways together.

    :param nursery: where the connections are served.
    """

    def __init__(self, nursery: trio.Nursery):
        self.carried = 0
        self._nursery = nursery

    @classmethod
    @asynccontextmanager
    async def opened(cls) -> AsyncIterator["Relay"]:
        """Return a relay that ends with the block."""
        async with trio.open_nursery() as nursery:
            yield cls(nursery)
            nursery.cancel_scope.cancel()

    async def to(self, target: str) -> str:
        """Return an address that leads to the target."""
        (address,) = reserved_addresses(1)
        port = int(address.rpartition(":")[2])

        async def carry(stream: trio.SocketStream) -> None:
            await self._carry(stream, target)

        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        self._nursery.start_soon(trio.serve_listeners, carry, listeners)
        return address

    async def _carry(self, stream: trio.SocketStream, target: str) -> None:
        host, _, port = target.rpartition(":")
        onward = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery, stream, onward:
            nursery.start_soon(self._pump, onward, stream)
            await self._pump(stream, onward)
            nursery.cancel_scope.cancel()

    async def _pump(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            async for data in source:
                self.carried += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
