"""Settings of the links between nodes."""

from datetime import timedelta

import attrs
from mimosapoint.peers import MESSAGE_LIMIT_BYTES

__all__ = ["DEFAULT_SETTINGS", "GrpcPeersSettings", "method_name", "method_path"]

SERVICE = "mimosapoint.Peers"
"""Name of the gRPC service; each message is a method of it."""

MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class GrpcPeersSettings:
    """Settings of the links between nodes.

    :param threads: threads that serve calls of other nodes; one call takes one.
    :param waiting: calls that may wait for a thread; more are refused.
    :param keepalive: time without traffic after which a link is probed.
    :param keepalive_timeout: time in which the probe must be answered.
    :param first_reconnect: wait before the first reconnect.
    :param most_reconnect: most wait between reconnects.
    :param unused_after: time without a call after which a link may be closed.
    :param serve_timeout: most time to serve one call.
    :param stop_grace: time for calls in progress when the server stops.
    """

    threads: int = 16
    waiting: int = 256
    keepalive: timedelta = timedelta(seconds=10)
    keepalive_timeout: timedelta = timedelta(seconds=3)
    first_reconnect: timedelta = timedelta(milliseconds=200)
    most_reconnect: timedelta = timedelta(seconds=2)
    unused_after: timedelta = timedelta(minutes=2)
    serve_timeout: timedelta = timedelta(seconds=10)
    stop_grace: timedelta = timedelta(seconds=5)

    def channel_options(self) -> list[tuple[str, int]]:
        """Return the options of a client's channel."""
        return [
            *self._common_options(),
            ("grpc.initial_reconnect_backoff_ms", self.first_reconnect // MILLISECOND),
            ("grpc.min_reconnect_backoff_ms", self.first_reconnect // MILLISECOND),
            ("grpc.max_reconnect_backoff_ms", self.most_reconnect // MILLISECOND),
            ("grpc.enable_retries", 0),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
        ]

    def server_options(self) -> list[tuple[str, int]]:
        """Return the options of the server."""
        return [
            *self._common_options(),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.min_ping_interval_without_data_ms", self.keepalive // MILLISECOND // 2),
        ]

    def _common_options(self) -> list[tuple[str, int]]:
        return [
            ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES + 1),
            ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES + 1),
            ("grpc.keepalive_time_ms", self.keepalive // MILLISECOND),
            ("grpc.keepalive_timeout_ms", self.keepalive_timeout // MILLISECOND),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.http2.max_pings_without_data", 0),
        ]


DEFAULT_SETTINGS = GrpcPeersSettings()


def method_path(name: str) -> str:
    """Return the path of the method that carries a message."""
    return f"/{SERVICE}/{name}"


def method_name(path: str) -> str | None:
    """Return the wire name of the message of a path, or ``None`` for another service."""
    service, _, name = path.removeprefix("/").partition("/")
    return name if service == SERVICE else None
