"""Streams between nodes in memory."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

__all__ = ["MemoryLinks", "MemoryNetwork"]


class MemoryNetwork:
    """The nodes that can reach each other, by address."""

    def __init__(self) -> None:
        self.links_by_address: dict[str, MemoryLinks] = {}

    def add(self, address: str) -> "MemoryLinks":
        """Return the links of another node."""
        links = MemoryLinks(self, address)
        self.links_by_address[address] = links
        return links


class MemoryLinks:
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
        other = self._network.links_by_address.get(address)
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
