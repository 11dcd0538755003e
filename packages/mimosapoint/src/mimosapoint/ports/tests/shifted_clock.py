"""Clock that tests advance to simulate a process pause."""

from datetime import datetime, timedelta

from mimosapoint.memory import TrioClock

__all__ = ["ShiftedClock"]


class ShiftedClock(TrioClock):
    """Trio's clock plus an offset that tests increase."""

    def __init__(self):
        super().__init__()
        self._offset = timedelta()

    def now(self) -> datetime:
        return super().now() + self._offset

    def advance(self, seconds: float) -> None:
        self._offset += timedelta(seconds=seconds)
