"""Pool of gRPC channels to peers that closes unused channels."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import grpc
import trio

from mimosapoint_node.grpc_peers.settings import GrpcPeersSettings

__all__ = ["ChannelPool"]


@attrs.define
class _PooledChannel:
    """Channel with the number of calls in progress and the time of its last use."""

    channel: grpc.Channel
    active_calls: int = 0
    last_used_at: float = 0.0


class ChannelPool:
    """Pool with one channel for each peer.

    :param settings: settings of the connections.
    """

    def __init__(self, settings: GrpcPeersSettings) -> None:
        self._settings = settings
        self._channels_by_address: dict[str, _PooledChannel] = {}

    def __len__(self) -> int:
        return len(self._channels_by_address)

    @contextmanager
    def use(self, address: str) -> Iterator[grpc.Channel]:
        """Yield the channel of a peer and keep it open while the context is active."""
        pooled = self._channels_by_address.get(address)
        if pooled is None:
            self._close_unused()
            pooled = self._channels_by_address[address] = _PooledChannel(self._open(address))
        pooled.active_calls += 1
        try:
            yield pooled.channel
        finally:
            pooled.active_calls -= 1
            pooled.last_used_at = trio.current_time()

    def close(self) -> None:
        """Close every channel."""
        for pooled in self._channels_by_address.values():
            pooled.channel.close()
        self._channels_by_address.clear()

    def _open(self, address: str) -> grpc.Channel:
        options = self._settings.channel_options()
        return grpc.insecure_channel(address, options, grpc.Compression.Deflate)

    def _close_unused(self) -> None:
        """Close channels without recent calls, such as those to replaced peers."""
        unused_since = trio.current_time() - self._settings.channel_idle_timeout.total_seconds()
        for address, pooled in list(self._channels_by_address.items()):
            if pooled.active_calls == 0 and pooled.last_used_at < unused_since:
                del self._channels_by_address[address]
                pooled.channel.close()
