"""TCP relay that counts the bytes between a caller and a service."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from benchmarks.slopes.ports import reserved_addresses

__all__ = ["Relay"]


class Relay:
    """Forwarder of TCP connections that counts their bytes, the sum of both directions.

    :param nursery: nursery of the tasks that serve connections.
    """

    def __init__(self, nursery: trio.Nursery):
        self.byte_count = 0
        self._nursery = nursery

    @classmethod
    @asynccontextmanager
    async def opened(cls) -> AsyncIterator["Relay"]:
        """Return a context with a relay, which stops at its end."""
        async with trio.open_nursery() as nursery:
            yield cls(nursery)
            nursery.cancel_scope.cancel()

    async def listen_for(self, target: str) -> str:
        """Return a new address whose connections are forwarded to the target."""
        (address,) = reserved_addresses(1)
        port = int(address.rpartition(":")[2])

        async def serve(stream: trio.SocketStream) -> None:
            await self._forward(stream, target)

        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        self._nursery.start_soon(trio.serve_listeners, serve, listeners)
        return address

    async def _forward(self, stream: trio.SocketStream, target: str) -> None:
        host, _, port = target.rpartition(":")
        outgoing = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery, stream, outgoing:
            nursery.start_soon(self._copy, outgoing, stream)
            await self._copy(stream, outgoing)
            nursery.cancel_scope.cancel()

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            async for data in source:
                self.byte_count += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
