"""Tests of backoff, budgets, circuit breaker, deadline and retries."""

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
    """A clock that moves when it is slept on."""

    def __init__(self):
        self.time = START

    def now(self):
        return self.time

    async def sleep(self, duration):
        self.time += duration
        await trio.lowlevel.checkpoint()


class BackoffTest(unittest.TestCase):
    def test_waits_are_spread_below_a_doubling_bound(self):
        backoffs = [Backoff(random.Random(seed), SECOND, 4 * SECOND) for seed in range(200)]
        for bound in (1, 2, 4, 4, 4):
            waits = [backoff.next_delay().total_seconds() for backoff in backoffs]
            with self.subTest(bound=bound):
                self.assertLess(max(waits), bound)
                self.assertGreater(max(waits), 0.9 * bound)
                self.assertLess(min(waits), 0.1 * bound)
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


class RateBudgetTest(TrioTestCase):
    async def test_calls_are_paced_after_the_burst(self):
        for rate, burst, calls, least in ((10, 1, 21, 2.0), (10, 5, 25, 2.0), (0.5, 1, 3, 4.0)):
            with self.subTest(rate=rate, burst=burst):
                clock = FakeClock()
                budget = RateLimiter(clock, rate, burst)
                for _ in range(calls):
                    await budget.acquire()
                elapsed = (clock.now() - START).total_seconds()
                self.assertAlmostEqual(elapsed, least, delta=0.05)

    async def test_amount_above_the_burst_leaves_a_debt(self):
        clock = FakeClock()
        budget = RateLimiter(clock, 10, 5)
        await budget.acquire(25)
        self.assertEqual(clock.now(), START)
        await budget.acquire(5)
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

    def test_opens_after_failures_in_a_row(self):
        self.fail_calls(2)
        self.call()
        self.fail_calls(2)
        self.assertIs(self.circuit.state, CircuitState.CLOSED)
        self.fail_calls(1)
        with self.assertRaises(CircuitOpen) as caught:
            self.call()
        self.assertEqual(caught.exception.retry_after, SECOND)

    def test_one_trial_decides_after_the_pause(self):
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

    def test_other_errors_show_that_the_dependency_answers(self):
        self.fail_calls(2)
        with self.assertRaises(Overloaded):
            self.call(Overloaded())
        self.fail_calls(2)
        self.assertIs(self.circuit.state, CircuitState.CLOSED)


class DeadlineTest(unittest.TestCase):
    def test_remaining_time_shrinks_to_nothing(self):
        clock = FakeClock()
        deadline = Deadline.after(clock, 3 * SECOND)
        for passed, remaining, timeout in ((0, 3, 2), (2, 1, 1), (5, 0, 0)):
            with self.subTest(passed=passed):
                clock.time = START + passed * SECOND
                self.assertEqual(deadline.remaining(), remaining * SECOND)
                self.assertEqual(deadline.remaining_up_to(2 * SECOND), timeout * SECOND)
                self.assertEqual(deadline.expired, remaining == 0)


class RetryTest(TrioTestCase):
    async def test_attempts(self):
        unavailable, slow = StoreUnavailable(), StoreTimeout()
        late = StoreUnavailable(retry_after=60 * SECOND)
        cases = {
            "success": ([None], None, 1),
            "success after failures": ([unavailable, unavailable, None], None, 3),
            "another error": ([slow, None], slow, 1),
            "budget spent": ([unavailable] * 9, unavailable, 4),
            "wait past the deadline": ([late, None], late, 1),
        }
        for name, (results, error, attempts) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.attempt(list(results)), (error, attempts))

    async def attempt(self, results):
        made = 0
        clock = FakeClock()

        async def operation():
            nonlocal made
            made += 1
            if results[made - 1] is not None:
                raise results[made - 1]

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
            return error, made
        return None, made
