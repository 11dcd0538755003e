"""Clock based on trio's clock."""

from datetime import datetime, timedelta, timezone

import trio

__all__ = ["TrioClock"]


class TrioClock:
    """Wall time at creation plus the monotonic time elapsed since.

    It must be created within a trio run. It continues during a process pause, and it follows a
    mock clock.

    :param start: time at creation, in UTC; the wall time by default.
    """

    def __init__(self, start: datetime | None = None):
        self._start = start or datetime.now(timezone.utc)
        self._origin = trio.current_time()

    def now(self) -> datetime:
        """Return the time in UTC."""
        return self._start + timedelta(seconds=trio.current_time() - self._origin)

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration."""
        await trio.sleep(max(0.0, duration.total_seconds()))
