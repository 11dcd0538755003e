"""Clock that advances while the host is suspended and ignores steps of the wall clock."""

import time
from datetime import datetime, timedelta, timezone

import trio

__all__ = ["BootClock"]


class BootClock:
    """Wall time at creation plus the time elapsed since, including suspensions of the host."""

    def __init__(self) -> None:
        self._started_at = datetime.now(timezone.utc)
        self._started_at_boottime = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the time in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._started_at_boottime
        return self._started_at + timedelta(seconds=elapsed)

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration."""
        await trio.sleep(max(0.0, duration.total_seconds()))
