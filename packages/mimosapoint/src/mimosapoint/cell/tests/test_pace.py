"""Workers that are slow or hang, by the progress of their runs."""

import unittest
from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.cell.slow_workers import SLOW_DURATION, ProgressRate, SlowWorkerDetector
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)


def rate_of(*percents, interval_ms=1000):
    run = ProgressRate()
    for number, percent in enumerate(percents):
        run.add_sample(percent, number * interval_ms)
    return run


class RunPaceTest(unittest.TestCase):
    def test_a_steady_run_keeps_its_pace(self):
        self.assertGreater(rate_of(0, 9, 20, 30, 39).relative_rate, 0.8)

    def test_a_run_that_hangs_or_slows_down_is_noticed(self):
        self.assertEqual(0.0, rate_of(0, 10, 20, 20).relative_rate)
        self.assertLess(rate_of(0, 10, 20, 23).relative_rate, 0.5)

    def test_the_time_before_a_run_works_tells_nothing(self):
        for percents in ((0, 0), (0, 0, 0), (0, 40, 50), (7,)):
            share = rate_of(*percents).relative_rate
            self.assertIn(share, (None, 1.0))

    def test_a_run_that_is_about_to_end_tells_nothing(self):
        self.assertIsNone(rate_of(0, 40, 80, 100, 100).relative_rate)

    def test_looks_in_quick_succession_are_taken_together(self):
        self.assertGreater(
            rate_of(0, 2, 4, 6, 8, 10, 12, 13, 15, interval_ms=200).relative_rate, 0.5
        )


class WorkerPaceTest(unittest.TestCase):
    def test_one_run_at_its_pace_clears_a_worker(self):
        pace = SlowWorkerDetector()
        self.assertTrue(pace.update([rate_of(0, 10, 20, 20)], NOW))
        self.assertTrue(pace.is_slow(NOW))
        pace.update([rate_of(0, 10, 20, 20), rate_of(0, 10, 20, 30)], NOW)
        self.assertFalse(pace.is_slow(NOW))

    def test_runs_that_tell_nothing_change_nothing(self):
        pace = SlowWorkerDetector()
        pace.update([rate_of(0, 10, 20, 20)], NOW)
        pace.update([ProgressRate()], NOW)
        self.assertTrue(pace.is_slow(NOW))

    def test_a_slow_worker_is_tried_again(self):
        pace = SlowWorkerDetector()
        pace.update([rate_of(0, 10, 20, 20)], NOW)
        self.assertFalse(pace.is_slow(NOW + SLOW_DURATION))
        self.assertTrue(pace.update([rate_of(0, 10, 20, 20)], NOW + SLOW_DURATION))


class HangingWorkerTest(TrioTestCase):
    mock_clock = True

    async def test_new_work_goes_to_workers_that_do_not_hang(self):
        async with open_site(workers=6) as site:
            site.pool.run_time = timedelta(seconds=10)
            await site.submit("old", Step(1, SMALL))
            await site.wait_running("old")
            await trio.sleep(4)
            hanging = site.runs("old")[0].worker
            site.pool.hanging_workers.add(hanging)
            await trio.sleep(3)
            await site.submit("new", Step(2, SMALL))
            await site.wait_running("new", 2)
            self.assertNotIn(hanging, {record.worker for record in site.runs("new")})
            site.pool.hanging_workers.clear()
            await site.wait_phase("old", Phase.COMPLETE, within=30)
            self.assertEqual([], site.violations())

    async def test_a_cell_whose_workers_all_seem_slow_goes_on(self):
        async with open_site(workers=2) as site:
            site.pool.run_time = timedelta(seconds=10)
            await site.submit("old", Step(16, SMALL))
            await site.wait_running("old", 2)
            await trio.sleep(4)
            site.pool.hanging_workers |= {"w0", "w1"}
            await trio.sleep(3)
            site.pool.run_time = timedelta(seconds=1)
            await site.submit("new", Step(1, SMALL), queue=0)
            with trio.fail_after(5):
                while not site.runs("new"):
                    await trio.sleep(0.02)
