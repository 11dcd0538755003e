"""Bidirectional stream of messages, sent in batches as JSON frames over a byte stream."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from mimosapoint.errors import CodecError

__all__ = ["FramedStream"]

LENGTH_BYTES = 4
"""Size of the big-endian length that precedes a frame."""

FRAME_LIMIT_BYTES = 16_000_000
"""Limit of a frame and its length; far above the size of the run reports of all workers."""

HEARTBEAT_SECONDS = 0.5
"""Time without a message after which an empty frame is sent, so that the peer does not time out."""

PEER_TIMEOUT_SECONDS = 1.6
"""Timeout of receiving data and of sending a chunk; a little above three heartbeat intervals."""

READ_BYTES = 65_536
"""Maximum size of one read."""

CHUNK_BYTES = 16_384
"""Size of the chunks in which a frame is sent; a slow link that several streams share carries one
well within the timeout."""

Message = list[Any]


class FramedStream:
    """Sends queued messages together in one frame, and passes received ones to a handler.

    :param stream: the byte stream.
    """

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self._messages: list[Message] = []
        self._has_messages = trio.Event()

    def send(self, message: Message) -> None:
        """Queue a message for the next frame."""
        self._messages.append(message)
        self._has_messages.set()

    async def run(self, handle: Callable[[Message], None]) -> str:
        """Send and receive until the stream fails, is closed or times out; return the reason."""
        reasons: list[str] = []

        async def run_until_end(work: Callable[..., Any], *arguments: object) -> None:
            try:
                reasons.append(await work(*arguments))
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
                reasons.append(f"broken: {error!r}")
            except CodecError as error:
                reasons.append(f"unreadable: {error.detail}")
            except Exception as error:
                # An unexpected error ends this stream only.
                reasons.append(f"fault: {error!r}")
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_until_end, self._send)
            nursery.start_soon(run_until_end, self._receive, handle)
        return reasons[0]

    async def _send(self) -> str:
        while True:
            with trio.move_on_after(HEARTBEAT_SECONDS):
                await self._has_messages.wait()
            messages, self._messages, self._has_messages = self._messages, [], trio.Event()
            body = orjson.dumps(messages)
            frame = len(body).to_bytes(LENGTH_BYTES, "big") + body
            for start in range(0, len(frame), CHUNK_BYTES):
                with trio.move_on_after(PEER_TIMEOUT_SECONDS) as scope:
                    await self._stream.send_all(frame[start : start + CHUNK_BYTES])
                if scope.cancelled_caught:
                    return "the other end does not read"

    async def _receive(self, handle: Callable[[Message], None]) -> str:
        buffer = bytearray()
        while True:
            with trio.move_on_after(PEER_TIMEOUT_SECONDS) as scope:
                chunk = await self._stream.receive_some(READ_BYTES)
            if scope.cancelled_caught:
                return "silent"
            if not chunk:
                return "closed"
            buffer += chunk
            for message in _take_messages(buffer):
                handle(message)


def _take_messages(buffer: bytearray) -> list[Message]:
    """Remove the complete frames from the buffer and return their messages.

    :raises CodecError: the buffer does not contain valid frames.
    """
    messages: list[Message] = []
    while len(buffer) >= LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if end > FRAME_LIMIT_BYTES:
            raise CodecError(f"frame of {end} bytes is too large")
        if len(buffer) < end:
            break
        try:
            frame = orjson.loads(bytes(buffer[LENGTH_BYTES:end]))
        except orjson.JSONDecodeError as error:
            raise CodecError(f"not JSON: {error}") from error
        if not isinstance(frame, list) or not all(isinstance(message, list) for message in frame):
            raise CodecError("frame is not a list of messages")
        messages += frame
        del buffer[:end]
    return messages
