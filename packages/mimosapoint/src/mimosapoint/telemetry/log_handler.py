"""Log lines to a descriptor that may not take them."""

import logging
import os

__all__ = ["NonBlockingHandler"]

PENDING_BYTES = 256 * 1024
"""Bytes that wait for a reader at most; further lines are dropped and counted."""


class NonBlockingHandler(logging.Handler):
    """Writes lines without ever waiting for the reader.

    :param descriptor: file descriptor, which is made non-blocking.
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
        """Write a line, or keep it until the next one."""
        if len(self._pending) > PENDING_BYTES:
            self._flush_pending()
        if len(self._pending) > PENDING_BYTES:
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
            # Nobody reads the log any more; there is no other place to tell it.
            self._pending = b""
            return
        self._pending = self._pending[written:]
