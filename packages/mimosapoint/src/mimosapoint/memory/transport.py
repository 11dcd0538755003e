"""In-memory transport between nodes."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

__all__ = ["MemoryTransport", "MemoryNetwork"]


class MemoryNetwork:
    """Nodes that can reach each other, by address."""

    def __init__(self) -> None:
        self.transports_by_address: dict[str, MemoryTransport] = {}

    def add(self, address: str) -> "MemoryTransport":
        """Add a node and return its transport."""
        transport = MemoryTransport(self, address)
        self.transports_by_address[address] = transport
        return transport


class MemoryTransport:
    """Transport of one node.

    :param network: network of the node.
    :param address: address of this node.
    """

    def __init__(self, network: MemoryNetwork, address: str):
        self.address = address
        self._network = network
        self._send, self._receive = trio.open_memory_channel(0)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to another node.

        :raises OSError: the address is unknown, or its node does not accept the stream within 1 s.
        """
        other = self._network.transports_by_address.get(address)
        if other is None:
            raise OSError(f"no connection to {address}")
        local_end, remote_end = trio.testing.memory_stream_pair()
        with trio.move_on_after(1):
            await other._send.send(remote_end)
            return local_end
        raise OSError(f"no connection to {address}")

    async def serve(self, handler: Callable[[trio.abc.Stream], Awaitable[None]]) -> None:
        """Call the handler for each stream that another node opens, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for stream in self._receive:
                nursery.start_soon(handler, stream)
