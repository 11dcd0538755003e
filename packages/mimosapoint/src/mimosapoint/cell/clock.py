"""Clock that goes on while the machine is suspended and ignores steps of the time of day."""

import time
from datetime import datetime, timedelta, timezone

import trio

__all__ = ["BootClock"]


class BootClock:
    """Wall time at creation plus the time since, the machine's suspensions included."""

    def __init__(self) -> None:
        self._start = datetime.now(timezone.utc)
        self._origin = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the time in UTC."""
        passed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._origin
        return self._start + timedelta(seconds=passed)

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration."""
        await trio.sleep(max(0.0, duration.total_seconds()))
