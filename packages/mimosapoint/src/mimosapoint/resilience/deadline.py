"""Deadline of a request over several hops."""

from datetime import datetime, timedelta

import attrs

from mimosapoint.ports import Clock

__all__ = ["Deadline"]


@attrs.frozen
class Deadline:
    """Time by which a request must have its reply.

    Calls to other nodes get the remaining time as their timeout, since the clocks of nodes differ.

    :param clock: the clock of this node.
    :param at: time of the deadline on that clock.
    """

    clock: Clock
    at: datetime

    @classmethod
    def after(cls, clock: Clock, duration: timedelta) -> "Deadline":
        """Return the deadline at a duration from now."""
        return cls(clock, clock.now() + duration)

    def remaining(self) -> timedelta:
        """Return the remaining time, at least zero."""
        return max(timedelta(), self.at - self.clock.now())

    @property
    def expired(self) -> bool:
        """Whether no time remains."""
        return self.remaining() == timedelta()

    def remaining_up_to(self, maximum: timedelta) -> timedelta:
        """Return the remaining time, at most ``maximum``; used as the timeout of one call."""
        return min(self.remaining(), maximum)
