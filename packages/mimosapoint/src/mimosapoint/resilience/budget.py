"""Budgets that bound retries and rates."""

from datetime import datetime, timedelta

import trio

from mimosapoint.ports import Clock

__all__ = ["RateLimiter", "RetryBudget"]


class RetryBudget:
    """Allows retries as a share of first attempts, so that retries cannot multiply a load.

    :param ratio: retries earned by each first attempt.
    :param max_tokens: most retries that can be saved up; also the number to begin with.
    """

    def __init__(self, ratio: float = 0.1, max_tokens: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = max_tokens
        self._tokens = max_tokens

    def record_attempt(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Take one retry, or tell that none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimiter:
    """Token bucket that paces calls.

    :param clock: the clock.
    :param rate: calls per second.
    :param burst: most calls at once.
    """

    def __init__(self, clock: Clock, rate: float, burst: float = 1.0) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: datetime = clock.now()
        self._lock = trio.Lock()

    async def acquire(self, amount: float = 1.0) -> None:
        """Wait for a number of calls; waiters are served in order."""
        async with self._lock:
            while not self.try_acquire(amount):
                missing = min(amount, self._burst) - self._tokens
                wait = max(missing / self._rate, 0.001)
                await self._clock.sleep(timedelta(seconds=wait))

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take a number of calls now, or tell that there are too few.

        An amount above the burst is let through when the bucket is full and leaves a debt.
        """
        self._refill()
        if self._tokens < min(amount, self._burst):
            return False
        self._tokens -= amount
        return True

    def _refill(self) -> None:
        now = self._clock.now()
        earned = (now - self._filled_at).total_seconds() * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
