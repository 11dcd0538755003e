"""Port to the clock."""

from datetime import datetime, timedelta
from typing import Protocol

__all__ = ["Clock"]


class Clock(Protocol):
    """Clock that never goes backwards within a process."""

    def now(self) -> datetime:
        """Return the time in UTC."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration."""
        ...
