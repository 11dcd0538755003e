"""TCP proxy that limits the bandwidth, and delays data, drops it or resets connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from tools.soak.link import Link

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536

PIECE_BYTES = 4096
"""Size of the pieces by which the connections share a link."""

DIRECTIONS = frozenset(("up", "down"))

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close sends RST in place of FIN."""


@attrs.define(eq=False)
class _Connection:
    """Open connection; directions that dropped data go on dropping it."""

    streams: tuple[trio.SocketStream, trio.SocketStream]
    dropped_directions: frozenset[str] = frozenset()


@attrs.define
class Proxy:
    """Forwards connections to a target and injects network faults.

    :param target: port of the target on loopback.
    :param link: link that all connections share.
    :param delay: delay of each chunk in seconds.
    :param dropped_directions: directions in which data is dropped: ``up`` is to the target,
        ``down`` is from it.
    :param reset_connections: whether new connections are closed at once.
    :param address: ``IP:port`` of the proxy, once it runs.
    """

    target: int
    link: Link = attrs.field(factory=Link)
    delay: float = 0.0
    dropped_directions: frozenset[str] = frozenset()
    reset_connections: bool = False
    address: str = ""
    _cuts: int = 0
    _connections: set[_Connection] = attrs.field(factory=set)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self._connections):
            for stream in connection.streams:
                await _reset(stream)

    def silence(self) -> None:
        """Drop all further data of the open connections; new connections work."""
        for connection in self._connections:
            connection.dropped_directions = DIRECTIONS

    @contextmanager
    def cut(self) -> Iterator[None]:
        """Drop all data within the context, also if other faults are cleared meanwhile."""
        self._cuts += 1
        try:
            yield
        finally:
            self._cuts -= 1

    def clear_faults(self) -> None:
        """Clear all faults; a connection that dropped data goes on dropping in that direction."""
        self.delay, self.dropped_directions, self.reset_connections = 0.0, frozenset(), False

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.reset_connections:
            await _reset(client)
            return
        try:
            target = await trio.open_tcp_stream("127.0.0.1", self.target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        connection = _Connection((client, target))
        self._connections.add(connection)
        try:
            async with client, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, connection, "up", nursery)
                nursery.start_soon(self._forward, connection, "down", nursery)
        finally:
            self._connections.discard(connection)

    async def _forward(
        self, connection: _Connection, direction: str, nursery: trio.Nursery
    ) -> None:
        client, target = connection.streams
        source, sink = (client, target) if direction == "up" else (target, client)
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.delay:
                    await trio.sleep(self.delay)
                size = len(data) if self.link.is_unlimited else PIECE_BYTES
                for start in range(0, len(data), size):
                    piece = data[start : start + size]
                    if not self.link.is_unlimited:
                        await self.link.transmit(len(piece), direction)
                    if direction in self.dropped_directions or self._cuts:
                        connection.dropped_directions |= {direction}
                    if direction not in connection.dropped_directions:
                        await sink.send_all(piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            # One side has closed the connection; the cancellation below closes the other.
            pass
        nursery.cancel_scope.cancel()


async def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except (OSError, trio.ClosedResourceError):
        # The stream is closed already.
        return
    await trio.aclose_forcefully(stream)
