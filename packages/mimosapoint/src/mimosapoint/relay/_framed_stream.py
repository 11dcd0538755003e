"""Rows of plain values over a byte stream, both ways, in batches."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from mimosapoint.errors import CodecError

__all__ = ["FramedStream"]

LENGTH_BYTES = 4
"""Bytes that tell the length of a frame, the highest first."""

FRAME_LIMIT_BYTES = 16_000_000
"""Largest frame; far above what a fleet's lists take."""

HEARTBEAT_SECONDS = 0.5
"""Time after which an empty frame is sent, so that the other end hears something."""

PEER_TIMEOUT_SECONDS = 1.6
"""Time without a frame after which the other end counts as gone: three heartbeats."""

CHUNK_BYTES = 65_536
"""Most bytes that are read at once."""

Message = list[Any]


class FramedStream:
    """Sends rows, those of one turn in one frame, and hands the rows that arrive to a function.

    :param stream: the byte stream.
    """

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self._rows: list[Message] = []
        self._has_messages = trio.Event()

    def send(self, row: Message) -> None:
        """Have a row sent with the next frame."""
        self._rows.append(row)
        self._has_messages.set()

    async def run(self, handle: Callable[[Message], None]) -> str:
        """Send and receive until the other end is gone or silent; return why it ended."""
        ended: list[str] = []

        async def until_end(work: Callable[..., Any], *arguments: object) -> None:
            try:
                ended.append(await work(*arguments))
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
                ended.append(f"broken: {error!r}")
            except CodecError as error:
                ended.append(f"unreadable: {error.detail}")
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(until_end, self._send)
            nursery.start_soon(until_end, self._receive, handle)
        return ended[0]

    async def _send(self) -> str:
        while True:
            with trio.move_on_after(HEARTBEAT_SECONDS):
                await self._has_messages.wait()
            rows, self._rows, self._has_messages = self._rows, [], trio.Event()
            body = orjson.dumps(rows)
            with trio.move_on_after(PEER_TIMEOUT_SECONDS) as scope:
                await self._stream.send_all(len(body).to_bytes(LENGTH_BYTES, "big") + body)
            if scope.cancelled_caught:
                return "the other end does not read"

    async def _receive(self, handle: Callable[[Message], None]) -> str:
        buffer = bytearray()
        while True:
            with trio.move_on_after(PEER_TIMEOUT_SECONDS) as scope:
                part = await self._stream.receive_some(CHUNK_BYTES)
            if scope.cancelled_caught:
                return "silent"
            if not part:
                return "closed"
            buffer += part
            for row in _take_messages(buffer):
                handle(row)


def _take_messages(buffer: bytearray) -> list[Message]:
    """Take the whole frames out of the buffer and return their rows.

    :raises CodecError: they are not frames.
    """
    rows: list[Message] = []
    while len(buffer) >= LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if end > FRAME_LIMIT_BYTES:
            raise CodecError(f"a frame of {end} bytes")
        if len(buffer) < end:
            break
        try:
            frame = orjson.loads(bytes(buffer[LENGTH_BYTES:end]))
        except orjson.JSONDecodeError as error:
            raise CodecError(f"not JSON: {error}") from error
        if not isinstance(frame, list) or not all(isinstance(row, list) for row in frame):
            raise CodecError("a frame is not a list of rows")
        rows += frame
        del buffer[:end]
    return rows
