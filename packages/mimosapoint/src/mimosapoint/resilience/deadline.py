"""Deadline of a request, carried from hop to hop."""

from datetime import datetime, timedelta

import attrs

from mimosapoint.ports import Clock

__all__ = ["Deadline"]


@attrs.frozen
class Deadline:
    """Time by which a request must be answered.

    Hops pass on the remaining time, since their clocks differ.

    :param clock: the clock of this node.
    :param at: the time.
    """

    clock: Clock
    at: datetime

    @classmethod
    def after(cls, clock: Clock, duration: timedelta) -> "Deadline":
        """Return the deadline that many seconds from now."""
        return cls(clock, clock.now() + duration)

    def remaining(self) -> timedelta:
        """Return the time left, not below zero."""
        return max(timedelta(), self.at - self.clock.now())

    @property
    def expired(self) -> bool:
        """Whether no time is left."""
        return self.remaining() == timedelta()

    def remaining_up_to(self, maximum: timedelta) -> timedelta:
        """Return the timeout of one call: the time left, up to a bound."""
        return min(self.remaining(), maximum)
