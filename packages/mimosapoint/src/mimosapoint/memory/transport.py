"""Streams between nodes in memory."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

__all__ = ["MemoryTransport", "MemoryNetwork"]


class MemoryNetwork:
    """The nodes that can reach each other, by address."""

    def __init__(self) -> None:
        self.transports_by_address: dict[str, MemoryTransport] = {}

    def add(self, address: str) -> "MemoryTransport":
        """Return the links of another node."""
        links = MemoryTransport(self, address)
        self.transports_by_address[address] = links
        return links


class MemoryTransport:
    """Streams of one node.

    :param network: the nodes that can reach each other.
    :param address: address of this node.
    """

    def __init__(self, network: MemoryNetwork, address: str):
        self.address = address
        self._network = network
        self._send, self._receive = trio.open_memory_channel(0)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to another node."""
        other = self._network.transports_by_address.get(address)
        if other is None:
            raise OSError(f"{address} does not answer")
        near, far = trio.testing.memory_stream_pair()
        with trio.move_on_after(1):
            await other._send.send(far)
            return near
        raise OSError(f"{address} does not answer")

    async def serve(self, handler: Callable[[trio.abc.Stream], Awaitable[None]]) -> None:
        """Give each stream that other nodes open to the handler, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for stream in self._receive:
                nursery.start_soon(handler, stream)
