"""Retry budget and rate limiter."""

from datetime import datetime, timedelta

import trio

from mimosapoint.ports import Clock

__all__ = ["RateLimiter", "RetryBudget"]


class RetryBudget:
    """Allows retries in proportion to first attempts, so that they cannot multiply the load.

    :param ratio: retries allowed per first attempt.
    :param max_tokens: maximum and initial number of unused retries.
    """

    def __init__(self, ratio: float = 0.1, max_tokens: float = 10.0) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def record_attempt(self) -> None:
        """Record a first attempt, which adds its share of a retry."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Use one retry if any is left; return whether one was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimiter:
    """Token bucket that limits the rate of calls.

    :param clock: the clock.
    :param rate: calls per second.
    :param burst: capacity of the bucket, in calls.
    """

    def __init__(self, clock: Clock, rate: float, burst: float = 1.0) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: datetime = clock.now()
        self._lock = trio.Lock()

    async def acquire(self, amount: float = 1.0) -> None:
        """Wait until a number of calls is allowed; waiters are served in order."""
        async with self._lock:
            while not self.try_acquire(amount):
                missing = min(amount, self._burst) - self._tokens
                wait_seconds = max(missing / self._rate, 0.001)
                await self._clock.sleep(timedelta(seconds=wait_seconds))

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Acquire a number of calls if the bucket allows them now; return whether it does.

        An amount above the burst needs a full bucket and leaves a negative balance.
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
