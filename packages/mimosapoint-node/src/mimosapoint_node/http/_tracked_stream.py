"""Stream of a connection that tracks its use."""

import fcntl
import struct
import termios
from datetime import timedelta

import trio
from hypercorn.trio.worker_context import EventWrapper

__all__ = ["TrackedStream"]

CHUNK_BYTES = 2**16
"""Bytes of a reply that the caller has to read within the send timeout."""


class TrackedStream:
    """Stream that tracks its sends and reads and has the members that hypercorn uses.

    :param stream: wrapped stream.
    :param send_timeout: timeout for one chunk of :data:`CHUNK_BYTES`.
    :param read_ended: event that is set when nothing more will be read.
    """

    def __init__(
        self, stream: trio.SocketStream, send_timeout: timedelta, read_ended: EventWrapper
    ):
        self.socket = stream.socket
        self.send_eof = stream.send_eof
        self.sending = False
        self.sent = 0
        self.is_closed = False
        self.closed_by_caller = False
        self.is_send_lost = False
        self._read_ended = read_ended
        self._stream = stream
        self._send_seconds = send_timeout.total_seconds()
        self._reading: trio.CancelScope | None = None
        self._call_ended = trio.Event()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes; empty once the caller has closed its side.

        :raises trio.BrokenResourceError: the caller has reset the connection.
        :raises trio.ClosedResourceError: reading was stopped.
        """
        data = b""
        with trio.CancelScope() as self._reading:
            try:
                data = await self._stream.receive_some(max_bytes)
                self.closed_by_caller = self.closed_by_caller or not data
                return data
            except trio.BrokenResourceError:
                self.closed_by_caller = True
                raise
            finally:
                if not data:
                    await self._read_ended.set()
                self._reading = None
                self._call_ended.set()
        raise trio.ClosedResourceError("reading was stopped")

    async def stop_reading(self) -> bool:
        """Stop reading unless something has arrived; return whether it is stopped.

        What has arrived by then is read and handled, so that no request is read and then dropped.
        """
        if self._reading is not None and not self._count_unread_bytes():
            self._call_ended = trio.Event()
            self._reading.cancel()
            await self._call_ended.wait()
        return self._read_ended.is_set()

    async def aclose(self) -> None:
        """Close the stream."""
        self.is_closed = True
        await self._stream.aclose()

    async def send_all(self, data: bytes) -> None:
        """Send the data and count the call.

        hypercorn shields its sends from cancellation, so without the timeout a peer that does
        not read would block the shutdown forever.

        :raises trio.BrokenResourceError: the peer did not read a chunk in time.
        """
        self.sending = True
        try:
            for start in range(0, len(data), CHUNK_BYTES):
                with trio.fail_after(self._send_seconds):
                    await self._stream.send_all(data[start : start + CHUNK_BYTES])
        except trio.TooSlowError as error:
            await trio.aclose_forcefully(self._stream)
            raise trio.BrokenResourceError("the peer reads too slowly") from error
        except trio.BrokenResourceError:
            self.closed_by_caller = True
            raise
        except trio.ClosedResourceError:
            self.is_send_lost = True
            raise
        finally:
            self.sending = False
            self.sent += 1

    def _count_unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and are not read."""
        if self.socket.fileno() < 0:
            return 0
        (count,) = struct.unpack("i", fcntl.ioctl(self.socket, termios.FIONREAD, bytes(4)))
        return count
