"""TCP streams between nodes."""

import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

__all__ = ["TcpTransport"]

CONNECT_TIMEOUT = timedelta(seconds=1)
"""Timeout for opening a connection."""


class TcpTransport:
    """Transport between nodes over TCP.

    :param address: ``IP:port`` on which this node listens.
    """

    def __init__(self, address: str):
        self.address = address

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to another node.

        :raises OSError: the node refuses the connection or does not accept it in time.
        """
        host, _, port = address.rpartition(":")
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            return _disable_nagle(await trio.open_tcp_stream(host, int(port)))
        raise OSError(f"{address} did not accept a connection in time")

    async def serve(self, handler: Callable[[trio.abc.Stream], Awaitable[None]]) -> None:
        """Accept streams of other nodes and run the handler on each, until cancelled."""

        async def handle(stream: trio.SocketStream) -> None:
            await handler(_disable_nagle(stream))

        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(handle, int(port), host=host)


def _disable_nagle(stream: trio.SocketStream) -> trio.SocketStream:
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream
