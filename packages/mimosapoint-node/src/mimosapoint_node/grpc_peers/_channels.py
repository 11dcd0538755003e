"""Channels to peers, closed again when they are no longer used."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import grpc
import trio

from mimosapoint_node.grpc_peers.settings import GrpcPeersSettings

__all__ = ["Channels"]


@attrs.define
class _Link:
    """A channel and its use."""

    channel: grpc.Channel
    calls: int = 0
    used_at: float = 0.0


class Channels:
    """One channel for each peer.

    :param settings: settings of the links.
    """

    def __init__(self, settings: GrpcPeersSettings) -> None:
        self._settings = settings
        self._links_by_address: dict[str, _Link] = {}

    def __len__(self) -> int:
        return len(self._links_by_address)

    @contextmanager
    def use(self, address: str) -> Iterator[grpc.Channel]:
        """Hold the channel of a peer during a call."""
        link = self._links_by_address.get(address)
        if link is None:
            self._close_unused()
            link = self._links_by_address[address] = _Link(self._open(address))
        link.calls += 1
        try:
            yield link.channel
        finally:
            link.calls -= 1
            link.used_at = trio.current_time()

    def close(self) -> None:
        """Close every channel."""
        for link in self._links_by_address.values():
            link.channel.close()
        self._links_by_address.clear()

    def _open(self, address: str) -> grpc.Channel:
        options = self._settings.channel_options()
        return grpc.insecure_channel(address, options, grpc.Compression.Deflate)

    def _close_unused(self) -> None:
        """Close what replaced peers have left behind."""
        limit = trio.current_time() - self._settings.unused_after.total_seconds()
        for address, link in list(self._links_by_address.items()):
            if link.calls == 0 and link.used_at < limit:
                del self._links_by_address[address]
                link.channel.close()
