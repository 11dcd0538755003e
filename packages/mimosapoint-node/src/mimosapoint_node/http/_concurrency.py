"""Limit on concurrent use without a queue."""

from collections.abc import Iterator
from contextlib import contextmanager

from mimosapoint.errors import Overloaded

__all__ = ["ConcurrencyLimiter"]


class ConcurrencyLimiter:
    """Limits the number of concurrent holders; further ones are refused and not queued.

    :param limit: maximum number of holders.
    :param holder_description: what the holders are, for the error message.
    """

    def __init__(self, limit: int, holder_description: str):
        self._limit = limit
        self._holder_description = holder_description
        self._active = 0

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Count as a holder within the context.

        :raises Overloaded: the limit is reached.
        """
        if self._active >= self._limit:
            raise Overloaded(f"{self._limit} {self._holder_description} already")
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
