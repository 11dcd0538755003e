"""Pool of gRPC channels to peers that closes unused channels."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import attrs
import grpc
import trio
from mimosapoint.errors import PeerUnreachable

from mimosapoint_node.grpc_peers.settings import GrpcPeersSettings

__all__ = ["ChannelPool", "DeadlineExceeded"]

SILENCE = timedelta(milliseconds=150)
"""Time without a reply after which a channel may be silent once a call on it has had none; a
sound channel that is replaced costs a handshake."""


class DeadlineExceeded(PeerUnreachable):
    """The peer did not reply in the time of the call."""


@attrs.define
class _PooledChannel:
    """Channel of a peer.

    :param channel: the channel.
    :param active_calls: number of calls in progress.
    :param last_used_at: time at which a call last ended, in seconds of trio's clock.
    :param replied_at: time of the last reply.
    """

    channel: grpc.Channel
    active_calls: int = 0
    last_used_at: float = 0.0
    replied_at: float = -math.inf


class ChannelPool:
    """Pool with one channel for each peer.

    The connection of a channel may go silent without a reset, which keepalive shows after seconds
    only. A call without a reply in its time lets the next one open another channel, unless the
    channel has carried a reply within :data:`SILENCE`: an earlier one does not tell whether it
    went silent after that.

    :param settings: settings of the connections.
    """

    def __init__(self, settings: GrpcPeersSettings) -> None:
        self._settings = settings
        self._channels_by_address: dict[str, _PooledChannel] = {}

    def __len__(self) -> int:
        return len(self._channels_by_address)

    @contextmanager
    def use(self, address: str) -> Iterator[grpc.Channel]:
        """Yield the channel of a peer and keep it open while the context is active.

        A context that ends without an error counts as a reply of the peer.

        :raises DeadlineExceeded: passed on from the context, as a call had no reply in its time.
        """
        began_at = trio.current_time()
        pooled = self._channels_by_address.get(address)
        if pooled is None:
            self._close_unused()
            pooled = self._channels_by_address[address] = _PooledChannel(self._open(address))
        pooled.active_calls += 1
        try:
            yield pooled.channel
            pooled.replied_at = trio.current_time()
        except DeadlineExceeded:
            trusted_since = max(began_at, trio.current_time() - SILENCE.total_seconds())
            if pooled.replied_at < trusted_since and self._is_current(address, pooled):
                del self._channels_by_address[address]
            raise
        finally:
            pooled.active_calls -= 1
            pooled.last_used_at = trio.current_time()
            if not pooled.active_calls and not self._is_current(address, pooled):
                pooled.channel.close()

    def _is_current(self, address: str, pooled: _PooledChannel) -> bool:
        return self._channels_by_address.get(address) is pooled

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
