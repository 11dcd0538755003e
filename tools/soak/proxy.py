"""TCP proxy that limits the bandwidth, delays or drops data, or refuses and resets connections."""

from __future__ import annotations

import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import attrs
import trio

from tools.soak.link import Link

__all__ = ["CUT_MODES", "LOOPBACK", "Proxy"]

CHUNK_BYTES = 65_536

PIECE_BYTES = 4096
"""Size of the pieces by which the connections share a link."""

LOOPBACK = "127.0.0.1"
DIRECTIONS = frozenset(("up", "down"))
REFUSE = "refuse"
RESET = "reset"
CUT_MODES = (REFUSE, RESET, "up", "down")
"""Ways of a cut: open connections are reset, and new ones refused, or accepted and reset; or data
is dropped in one direction."""

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

    A cut ends with its context, and leaves other cuts and faults in force.

    :param target: port of the target on loopback.
    :param link: link that all connections share.
    :param delay: delay of each chunk in seconds.
    :param dropped_directions: directions in which data is dropped: ``up`` is to the target,
        ``down`` is from it.
    :param reset_connections: whether new connections are closed at once.
    :param address: ``IP:port`` of the proxy, once it runs.
    :param host: IP of the proxy. No connection leaves from one of its own, so that its port stays
        free while the proxy refuses connections.
    :param target_host: IP of the target.
    """

    target: int
    link: Link = attrs.field(factory=Link)
    delay: float = 0.0
    dropped_directions: frozenset[str] = frozenset()
    reset_connections: bool = False
    address: str = ""
    host: str = LOOPBACK
    target_host: str = LOOPBACK
    _cuts: Counter[str] = attrs.field(factory=Counter)
    _connections: set[_Connection] = attrs.field(factory=set)
    _nursery: trio.Nursery | None = None
    _listener: trio.SocketListener | None = None
    _accepting: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await self._listen(0)
            host, port = self._listener.socket.getsockname()
            self.address = f"{host}:{port}"
            task_status.started()
            await trio.sleep_forever()

    async def _listen(self, port: int) -> None:
        (self._listener,) = await trio.open_tcp_listeners(port, host=self.host)
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, self._listener, self._accepting)

    async def _accept(self, listener: trio.SocketListener, accepting: trio.CancelScope) -> None:
        with accepting:
            await trio.serve_listeners(self._serve, [listener], handler_nursery=self._nursery)

    async def _refuse(self) -> None:
        self._accepting.cancel()
        self._listener.socket.close()
        await self.reset()

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
        self._cuts.update(DIRECTIONS)
        try:
            yield
        finally:
            self._cuts.subtract(DIRECTIONS)

    @asynccontextmanager
    async def cut_by(self, mode: str) -> AsyncIterator[None]:
        """Cut connections in one of ``CUT_MODES`` within the context."""
        self._cuts[mode] += 1
        try:
            if mode == REFUSE and self._cuts[REFUSE] == 1:
                await self._refuse()
            elif mode == RESET:
                await self.reset()
            yield
        finally:
            self._cuts[mode] -= 1
            if mode == REFUSE and not self._cuts[REFUSE]:
                await self._listen(int(self.address.rpartition(":")[2]))

    def clear_faults(self) -> None:
        """Clear all faults; a connection that dropped data goes on dropping in that direction."""
        self.delay, self.dropped_directions, self.reset_connections = 0.0, frozenset(), False

    @property
    def _is_resetting(self) -> bool:
        return self.reset_connections or bool(self._cuts[REFUSE] or self._cuts[RESET])

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._is_resetting:
            await _reset(client)
            return
        try:
            target = await trio.open_tcp_stream(self.target_host, self.target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        if self._is_resetting:
            # The cut began after the connection was accepted.
            await _reset(client)
            await _reset(target)
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
                    if direction in self.dropped_directions or self._cuts[direction]:
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
