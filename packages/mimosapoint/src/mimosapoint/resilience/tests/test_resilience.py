"""Tests of backoff, retry budget, rate limiter, circuit breaker, deadline and retries."""

import random
import unittest
from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.errors import (
    CircuitOpen,
    Overloaded,
    StoreTimeout,
    StoreUnavailable,
)
from mimosapoint.resilience import (
    Backoff,
    CircuitBreaker,
    CircuitState,
    Deadline,
    RateLimiter,
    RetryBudget,
    retry,
)
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
SECOND = timedelta(seconds=1)


class FakeClock:
    """A clock that only advances by its own sleep() calls and by tests."""

    def __init__(self):
        self.time = START

    def now(self):
        return self.time

    async def sleep(self, duration):
        self.time += duration
        await trio.lowlevel.checkpoint()


class BackoffTest(unittest.TestCase):
    def test_delays_are_spread_below_a_doubling_bound(self):
        backoffs = [Backoff(random.Random(seed), SECOND, 4 * SECOND) for seed in range(200)]
        for bound in (1, 2, 4, 4, 4):
            delays = [backoff.next_delay().total_seconds() for backoff in backoffs]
            with self.subTest(bound=bound):
                self.assertLess(max(delays), bound)
                self.assertGreater(max(delays), 0.9 * bound)
                self.assertLess(min(delays), 0.1 * bound)
        backoffs[0].reset()
        self.assertLess(backoffs[0].next_delay(), SECOND)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_attempts(self):
        budget = RetryBudget(ratio=0.1, max_tokens=5)
        retries = 0
        for _ in range(1000):
            budget.record_attempt()
            retries += budget.try_retry()
        self.assertGreaterEqual(retries, 100)
        self.assertLessEqual(retries, 105)


class RateLimiterTest(TrioTestCase):
    async def test_rate_is_limited_after_the_burst(self):
        for rate, burst, calls, expected_seconds in (
            (10, 1, 21, 2.0),
            (10, 5, 25, 2.0),
            (0.5, 1, 3, 4.0),
        ):
            with self.subTest(rate=rate, burst=burst):
                clock = FakeClock()
                limiter = RateLimiter(clock, rate, burst)
                for _ in range(calls):
                    await limiter.acquire()
                elapsed = (clock.now() - START).total_seconds()
                self.assertAlmostEqual(elapsed, expected_seconds, delta=0.05)

    async def test_amount_above_burst_leaves_negative_balance(self):
        clock = FakeClock()
        limiter = RateLimiter(clock, 10, 5)
        await limiter.acquire(25)
        self.assertEqual(clock.now(), START)
        await limiter.acquire(5)
        self.assertAlmostEqual((clock.now() - START).total_seconds(), 2.5, delta=0.05)


class CircuitBreakerTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.circuit = CircuitBreaker(self.clock, threshold=3, reset_timeout=SECOND)

    def call(self, error=None):
        with self.circuit.guard(StoreUnavailable):
            if error is not None:
                raise error

    def fail_calls(self, times):
        for _ in range(times):
            with self.assertRaises(StoreUnavailable):
                self.call(StoreUnavailable())

    def test_opens_after_consecutive_failures(self):
        self.fail_calls(2)
        self.call()
        self.fail_calls(2)
        self.assertIs(self.circuit.state, CircuitState.CLOSED)
        self.fail_calls(1)
        with self.assertRaises(CircuitOpen) as caught:
            self.call()
        self.assertEqual(caught.exception.retry_after, SECOND)

    def test_one_trial_call_after_reset_timeout_decides(self):
        for error, state in ((None, CircuitState.CLOSED), (StoreUnavailable(), CircuitState.OPEN)):
            with self.subTest(state=state):
                self.setUp()
                self.fail_calls(3)
                self.clock.time += SECOND
                self.circuit.before_call()
                with self.assertRaises(CircuitOpen):
                    self.circuit.before_call()
                self.circuit.record_cancelled()
                try:
                    self.call(error)
                except StoreUnavailable:
                    pass
                self.assertIs(self.circuit.state, state)

    def test_other_errors_count_as_replies(self):
        self.fail_calls(2)
        with self.assertRaises(Overloaded):
            self.call(Overloaded())
        self.fail_calls(2)
        self.assertIs(self.circuit.state, CircuitState.CLOSED)


class DeadlineTest(unittest.TestCase):
    def test_remaining_time_decreases_to_zero(self):
        clock = FakeClock()
        deadline = Deadline.after(clock, 3 * SECOND)
        for elapsed_seconds, remaining, timeout in ((0, 3, 2), (2, 1, 1), (5, 0, 0)):
            with self.subTest(elapsed_seconds=elapsed_seconds):
                clock.time = START + elapsed_seconds * SECOND
                self.assertEqual(deadline.remaining(), remaining * SECOND)
                self.assertEqual(deadline.remaining_up_to(2 * SECOND), timeout * SECOND)
                self.assertEqual(deadline.expired, remaining == 0)


class RetryTest(TrioTestCase):
    async def test_retry_stops_at_success_other_error_budget_or_deadline(self):
        unavailable, slow = StoreUnavailable(), StoreTimeout()
        late = StoreUnavailable(retry_after=60 * SECOND)
        cases = {
            "success": ([None], None, 1),
            "success after failures": ([unavailable, unavailable, None], None, 3),
            "another error": ([slow, None], slow, 1),
            "budget spent": ([unavailable] * 9, unavailable, 4),
            "delay past the deadline": ([late, None], late, 1),
        }
        for name, (results, error, attempts) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.run_retry(list(results)), (error, attempts))

    async def run_retry(self, results):
        attempt_count = 0
        clock = FakeClock()

        async def operation():
            nonlocal attempt_count
            attempt_count += 1
            if results[attempt_count - 1] is not None:
                raise results[attempt_count - 1]

        try:
            await retry(
                operation,
                retryable=(StoreUnavailable,),
                clock=clock,
                backoff=Backoff(random.Random(1)),
                budget=RetryBudget(max_tokens=3),
                deadline=Deadline.after(clock, 30 * SECOND),
            )
        except (StoreUnavailable, StoreTimeout) as error:
            return error, attempt_count
        return None, attempt_count
