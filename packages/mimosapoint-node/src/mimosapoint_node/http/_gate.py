"""Bound on how many of something there are at once."""

from collections.abc import Iterator
from contextlib import contextmanager

from mimosapoint.errors import Overloaded

__all__ = ["Gate"]


class Gate:
    """Lets a number in at once and refuses the rest; nobody is queued.

    :param limit: how many may be in.
    :param what: what they are, for the refusal.
    """

    def __init__(self, limit: int, what: str):
        self._limit = limit
        self._what = what
        self._inside = 0

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Be one of those inside.

        :raises Overloaded: the limit is reached.
        """
        if self._inside >= self._limit:
            raise Overloaded(f"{self._limit} {self._what} already")
        self._inside += 1
        try:
            yield
        finally:
            self._inside -= 1
