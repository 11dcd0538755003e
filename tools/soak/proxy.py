"""A TCP proxy that delays, resets, silences, and cuts one way."""

from __future__ import annotations

import attrs
import trio

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


@attrs.define
class Proxy:
    """Passes connections on to a target, or not.

    :param target: port of the target on loopback.
    :param delay: seconds by which each chunk is held up.
    :param dropped_directions: directions in which nothing passes: ``up`` to the target, ``down``
        from it.
    :param reset_connections: whether new connections are reset.
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
        """Break every open connection."""
        for stream in list(self._streams):
            await trio.aclose_forcefully(stream)

    def heal(self) -> None:
        """Pass everything on again; what was silenced stays silent on its connection."""
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
        self, source: trio.SocketStream, sink: trio.SocketStream, way: str, nursery: trio.Nursery
    ) -> None:
        lost = False
        try:
            async for data in source:
                await trio.sleep(self.delay)
                lost = lost or way in self.dropped_directions
                if not lost:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            # The connection is over, which is what a proxy passes on.
            pass
        nursery.cancel_scope.cancel()
