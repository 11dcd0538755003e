"""Limits of starts, decisions and long polls on an owner with little processor capacity."""

import unittest
from datetime import timedelta

import trio
import trio.testing

from mimosapoint.cell.decisions.planner import Planner
from mimosapoint.cell.decisions.tests.test_planner import PlannerCase
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.tests._site import SMALL, WIDE
from mimosapoint.cell.timer_lag import probe_timer_lag
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import Step

LAG_SECONDS = 0.5
"""Timer lag; above ``lag_limit``."""


class StartLimiterTest(unittest.TestCase):
    def setUp(self):
        self.settings = CellSettings(
            max_concurrent_starts=64, min_concurrent_starts=4, concurrent_starts_step=4
        )
        self.telemetry = MemoryTelemetry()
        self.limiter = StartLimiter(self.settings, self.telemetry)

    def test_lag_halves_the_limit_down_to_its_minimum(self):
        for _ in range(10):
            self.limiter.record_lag(LAG_SECONDS)
        self.limiter.add_started(1)
        self.assertTrue(self.limiter.admits(3))
        self.assertFalse(self.limiter.admits(4))

    def test_limit_grows_to_its_maximum_without_lag(self):
        for _ in range(10):
            self.limiter.record_lag(LAG_SECONDS)
        for _ in range(15):
            self.limiter.record_lag(0.0)
        self.limiter.add_started(1)
        self.assertTrue(self.limiter.admits(63))
        self.assertFalse(self.limiter.admits(64))
        names = [event.name for event in self.telemetry.events]
        self.assertEqual(["starts-limited", "starts-unlimited"], names)

    def test_gang_of_any_size_may_start_if_nothing_is_in_flight(self):
        for _ in range(10):
            self.limiter.record_lag(LAG_SECONDS)
        self.assertTrue(self.limiter.admits(128))

    def test_finished_start_reports_deferred_starts_once(self):
        self.limiter.add_started(64)
        self.assertFalse(self.limiter.remove_finished())
        self.assertFalse(self.limiter.admits(2))
        self.assertTrue(self.limiter.remove_finished())
        self.assertFalse(self.limiter.remove_finished())

    def test_blocked_process_reduces_the_limit(self):
        async def run_limiter():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(probe_timer_lag, self.limiter, self.settings.lag_probe_interval)
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(1.0)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock()
        trio.run(run_limiter, clock=clock)
        self.limiter.add_started(1)
        self.assertFalse(self.limiter.admits(32))


class BurstOnOverloadedOwnerTest(PlannerCase):
    """Many tasks arrive at once while the owner's timers lag."""

    def setUp(self):
        super().setUp()
        self.limiter = StartLimiter(CellSettings(), MemoryTelemetry())
        self.planner = Planner(CellSettings(), self.limiter.admits)
        for _ in range(10):
            self.limiter.record_lag(LAG_SECONDS)

    def decide(self):
        plan = super().decide()
        self.limiter.add_started(plan.task_count)
        return plan

    def test_starts_wait_for_the_end_of_those_in_flight(self):
        self.add_workers(6)
        self.submit("loose", 2, Step(24, SMALL))
        self.assertEqual(4, len(self.decide().starts))
        self.assertEqual([], self.decide().starts)
        self.limiter.remove_finished()
        self.assertEqual(1, len(self.decide().starts))

    def test_small_tasks_do_not_starve_a_gang(self):
        self.add_workers(6)
        self.submit("loose", 2, Step(2, SMALL))
        self.decide()
        self.submit("gang", 1, Step(5, WIDE, gang=True))
        self.submit("later", 2, Step(4, SMALL))
        self.assertEqual([], self.decide().starts)
        self.limiter.remove_finished()
        self.limiter.remove_finished()
        self.assertEqual(["gang"], self.started_jobs(self.decide())[:1])


class DecisionPauseTest(unittest.TestCase):
    def test_decisions_take_a_limited_share_of_the_time(self):
        settings = CellSettings(max_decision_share=0.2)
        self.assertEqual(
            timedelta(milliseconds=40), settings.pause_after(timedelta(milliseconds=10))
        )

    def test_pause_after_a_decision_is_limited(self):
        settings = CellSettings()
        self.assertEqual(settings.decision_pause, settings.pause_after(timedelta(0)))
        self.assertEqual(settings.decision_pause_max, settings.pause_after(timedelta(seconds=9)))

    def test_small_node_lets_workers_hold_back_replies_longer(self):
        self.assertEqual(timedelta(seconds=1), CellSettings(cores=1.0).long_poll_wait_for(64))
        self.assertEqual(timedelta(seconds=2), CellSettings(cores=0.12).long_poll_wait_for(64))
        self.assertEqual(timedelta(seconds=1), CellSettings(cores=4.0).long_poll_wait_for(64))
