"""Logging handler that does not block on its output."""

import logging
import os

__all__ = ["NonBlockingHandler"]

PENDING_LIMIT_BYTES = 256 * 1024
"""Lines are dropped and counted while more bytes than this wait for the reader."""


class NonBlockingHandler(logging.Handler):
    """Handler that writes log lines without waiting for the reader.

    :param descriptor: file descriptor, which is made non-blocking.
    :ivar dropped: number of lines dropped since the last one that was accepted.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0
        self.setFormatter(
            logging.Formatter("time=%(asctime)s.%(msecs)03d %(message)s", "%Y-%m-%dT%H:%M:%S")
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line; bytes that the descriptor does not accept wait for the next line."""
        if len(self._pending) > PENDING_LIMIT_BYTES:
            self._flush_pending()
        if len(self._pending) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            self._pending += b"event=log-lines-dropped count=%d\n" % self.dropped
            self.dropped = 0
        self._pending += self.format(record).encode("utf-8", "replace") + b"\n"
        self._flush_pending()

    def _flush_pending(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The log has no reader any more, and the error cannot be reported elsewhere.
            self._pending = b""
            return
        self._pending = self._pending[written:]
