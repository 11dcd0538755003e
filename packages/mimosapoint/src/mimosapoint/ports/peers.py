"""Port to the other nodes."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

__all__ = ["PeerHandler", "Peers"]

PeerHandler = Callable[[Any], Awaitable[Any]]
"""Handles one typed message from a peer and returns the typed reply."""


class Peers(Protocol):
    """Typed calls to other nodes, each identified by its ``IP:port`` address."""

    async def call(self, address: str, message: Any, timeout: timedelta) -> Any:
        """Send a message and return the reply.

        :param message: instance of a class registered by
            :func:`mimosapoint.peers.peer_message`.
        :raises PeerUnreachable: no reply within the timeout.
        :raises MimosapointError: the error that the peer replied with.
        """
        ...
