"""Clock that tests move ahead, as when a process is stopped for a while."""

from datetime import datetime, timedelta

from mimosapoint.memory import TrioClock

__all__ = ["ShiftedClock"]


class ShiftedClock(TrioClock):
    """Trio's clock plus the time that a test has let pass."""

    def __init__(self):
        super().__init__()
        self._shift = timedelta()

    def now(self) -> datetime:
        return super().now() + self._shift

    def advance(self, seconds: float) -> None:
        self._shift += timedelta(seconds=seconds)
