"""Settings of the gRPC connections between nodes."""

from datetime import timedelta

import attrs
from mimosapoint.peers import MESSAGE_LIMIT_BYTES

__all__ = ["DEFAULT_SETTINGS", "GrpcPeersSettings", "method_name", "method_path"]

SERVICE = "mimosapoint.Peers"
"""Name of the gRPC service, which has one method for each message."""

MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class GrpcPeersSettings:
    """Settings of the gRPC connections between nodes.

    :param threads: threads that serve calls of other nodes; each call occupies one.
    :param max_queued_calls: maximum number of calls waiting for a thread; further ones are refused.
    :param keepalive: time without traffic after which a keepalive ping is sent.
    :param keepalive_timeout: time within which the ping must be acknowledged.
    :param reconnect_delay_min: delay before the first reconnect.
    :param reconnect_delay_max: maximum delay between reconnects.
    :param channel_idle_timeout: time without a call after which a channel may be closed.
    :param serve_timeout: maximum time to serve one call.
    :param shutdown_grace: time for calls in progress to end when the server stops.
    """

    threads: int = 16
    max_queued_calls: int = 256
    keepalive: timedelta = timedelta(seconds=10)
    keepalive_timeout: timedelta = timedelta(seconds=3)
    reconnect_delay_min: timedelta = timedelta(milliseconds=200)
    reconnect_delay_max: timedelta = timedelta(seconds=2)
    channel_idle_timeout: timedelta = timedelta(minutes=2)
    serve_timeout: timedelta = timedelta(seconds=10)
    shutdown_grace: timedelta = timedelta(seconds=5)

    def channel_options(self) -> list[tuple[str, int]]:
        """Return the gRPC options of a channel of a client."""
        return [
            *self._common_options(),
            ("grpc.initial_reconnect_backoff_ms", self.reconnect_delay_min // MILLISECOND),
            ("grpc.min_reconnect_backoff_ms", self.reconnect_delay_min // MILLISECOND),
            ("grpc.max_reconnect_backoff_ms", self.reconnect_delay_max // MILLISECOND),
            ("grpc.enable_retries", 0),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
        ]

    def server_options(self) -> list[tuple[str, int]]:
        """Return the gRPC options of the server."""
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
    """Return the path of the gRPC method for a message.

    :param name: wire name of the message.
    """
    return f"/{SERVICE}/{name}"


def method_name(path: str) -> str | None:
    """Return the wire name of the message for a method path, or ``None`` for another service."""
    service, _, name = path.removeprefix("/").partition("/")
    return name if service == SERVICE else None
