"""Port to byte streams between nodes."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

__all__ = ["NodeTransport"]


class NodeTransport(Protocol):
    """Streams between the nodes of a cell."""

    address: str
    """Where other nodes reach this one; empty when they cannot."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to another node.

        :raises OSError: the node does not answer.
        """
        ...

    async def serve(self, handler: Callable[[trio.abc.Stream], Awaitable[None]]) -> None:
        """Give each stream that other nodes open to the handler, until cancelled."""
        ...
