"""Exponential backoff with full jitter."""

import random
from datetime import timedelta

import attrs

__all__ = ["Backoff"]


@attrs.define
class Backoff:
    """Draws the waits between the attempts of one operation.

    :param random: source of randomness.
    :param initial: upper bound of the first wait.
    :param maximum: upper bound of every wait.
    """

    random: random.Random
    initial: timedelta = timedelta(milliseconds=50)
    maximum: timedelta = timedelta(seconds=5)
    _bound: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bound = self.initial

    def next_delay(self) -> timedelta:
        """Return the next wait: anything from nothing to the bound, which doubles each time."""
        wait = self._bound * self.random.random()
        self._bound = min(self._bound * 2, self.maximum)
        return wait

    def reset(self) -> None:
        """Begin anew after a success."""
        self._bound = self.initial
