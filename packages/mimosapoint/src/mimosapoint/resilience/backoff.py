"""Exponential backoff with full jitter."""

import random
from datetime import timedelta

import attrs

__all__ = ["Backoff"]


@attrs.define
class Backoff:
    """Random, exponentially growing delays between the attempts of one operation.

    :param random: source of randomness.
    :param initial: upper bound of the first delay.
    :param maximum: upper bound of every delay.
    """

    random: random.Random
    initial: timedelta = timedelta(milliseconds=50)
    maximum: timedelta = timedelta(seconds=5)
    _bound: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bound = self.initial

    def next_delay(self) -> timedelta:
        """Return the next delay, uniform between zero and a bound that doubles on each call."""
        delay = self._bound * self.random.random()
        self._bound = min(self._bound * 2, self.maximum)
        return delay

    def reset(self) -> None:
        """Reset the bound to its initial value, after a success."""
        self._bound = self.initial
