"""TCP proxy that delays data, drops it in either direction, or resets connections."""

from __future__ import annotations

import attrs
import trio

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


@attrs.define
class Proxy:
    """Forwards connections to a target and injects network faults.

    :param target: port of the target on loopback.
    :param delay: delay of each chunk in seconds.
    :param dropped_directions: directions in which data is dropped: ``up`` is to the target,
        ``down`` is from it.
    :param reset_connections: whether new connections are closed at once.
    :param address: ``IP:port`` of the proxy, once it runs.
    """

    target: int
    delay: float = 0.0
    dropped_directions: frozenset[str] = frozenset()
    reset_connections: bool = False
    address: str = ""
    _streams: set[trio.SocketStream] = attrs.field(factory=set)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def reset(self) -> None:
        """Close every open connection forcefully."""
        for stream in list(self._streams):
            await trio.aclose_forcefully(stream)

    def clear_faults(self) -> None:
        """Clear all faults; a connection that dropped data goes on dropping in that direction."""
        self.delay, self.dropped_directions, self.reset_connections = 0.0, frozenset(), False

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.reset_connections:
            await trio.aclose_forcefully(client)
            return
        try:
            target = await trio.open_tcp_stream("127.0.0.1", self.target)
            self._streams |= {client, target}
            async with client, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, target, "up", nursery)
                nursery.start_soon(self._forward, target, client, "down", nursery)
        except OSError:
            await trio.aclose_forcefully(client)
        finally:
            self._streams.discard(client)

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: str,
        nursery: trio.Nursery,
    ) -> None:
        dropping = False
        try:
            async for data in source:
                await trio.sleep(self.delay)
                dropping = dropping or direction in self.dropped_directions
                if not dropping:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            # One side has closed the connection; the cancellation below closes the other.
            pass
        nursery.cancel_scope.cancel()
