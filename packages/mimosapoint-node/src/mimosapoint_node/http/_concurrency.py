"""Limit on concurrent use without a queue."""

from collections.abc import Iterator
from contextlib import contextmanager

from mimosapoint.errors import Overloaded

__all__ = ["ConcurrencyLimiter"]


class ConcurrencyLimiter:
    """Limits the number of concurrent holders; further ones are refused and not queued.

    :param limit: maximum number of holders.
    :param what: what the holders are, for the error message.
    """

    def __init__(self, limit: int, what: str):
        self._limit = limit
        self._what = what
        self._active = 0

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Be a holder until the context ends.

        :raises Overloaded: the limit is reached.
        """
        if self._active >= self._limit:
            raise Overloaded(f"{self._limit} {self._what} already")
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
