"""Port to byte streams between nodes."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

__all__ = ["NodeTransport"]


class NodeTransport(Protocol):
    """Transport of byte streams between the nodes of a cell."""

    address: str
    """Address at which other nodes reach this node; empty when they cannot."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to another node.

        :raises OSError: the node cannot be reached.
        """
        ...

    async def serve(self, handler: Callable[[trio.abc.Stream], Awaitable[None]]) -> None:
        """Call the handler for each stream that another node opens, until cancelled."""
        ...
