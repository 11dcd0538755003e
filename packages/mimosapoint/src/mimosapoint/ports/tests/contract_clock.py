"""Contract tests of the clock port."""

from datetime import timedelta

__all__ = ["ClockContract"]


class ClockContract:
    """Mixin for a test case, whose ``make_clock`` returns the clock under test."""

    async def test_the_time_is_in_utc(self):
        self.assertEqual(self.make_clock().now().utcoffset(), timedelta())

    async def test_sleep_lasts_at_least_the_duration(self):
        clock = self.make_clock()
        for milliseconds in (-5, 0, 1, 20):
            with self.subTest(milliseconds=milliseconds):
                before = clock.now()
                await clock.sleep(timedelta(milliseconds=milliseconds))
                elapsed = clock.now() - before
                self.assertGreaterEqual(elapsed, timedelta(milliseconds=max(0, milliseconds)))

    async def test_time_never_goes_backwards(self):
        clock = self.make_clock()
        times = [clock.now() for _ in range(100)]
        self.assertEqual(times, sorted(times))
