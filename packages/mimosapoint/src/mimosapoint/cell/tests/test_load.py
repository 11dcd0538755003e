"""Limits of an owner that is short of processor."""

import unittest
from datetime import timedelta

import trio
import trio.testing

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.tests._site import SMALL, WIDE
from mimosapoint.cell.tests.test_planner import PlannerCase
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import Step

LATE = 0.5
"""Delay of a timer in seconds, above every limit."""


class OrderWindowTest(unittest.TestCase):
    def setUp(self):
        self.settings = CellSettings(
            max_concurrent_starts=64, min_concurrent_starts=4, concurrent_starts_step=4
        )
        self.telemetry = MemoryTelemetry()
        self.window = StartLimiter(self.settings, self.telemetry)

    def test_late_timers_halve_the_window_down_to_a_floor(self):
        for _ in range(10):
            self.window.record_lag(LATE)
        self.window.add_started(1)
        self.assertTrue(self.window.admits(3))
        self.assertFalse(self.window.admits(4))

    def test_the_window_opens_again_while_timers_are_in_time(self):
        for _ in range(10):
            self.window.record_lag(LATE)
        for _ in range(15):
            self.window.record_lag(0.0)
        self.window.add_started(1)
        self.assertTrue(self.window.admits(63))
        self.assertFalse(self.window.admits(64))
        names = [event.name for event in self.telemetry.events]
        self.assertEqual(["starts-limited", "starts-unlimited"], names)

    def test_a_gang_of_any_size_starts_when_nothing_is_under_way(self):
        for _ in range(10):
            self.window.record_lag(LATE)
        self.assertTrue(self.window.admits(128))

    def test_the_last_answer_tells_whether_starts_were_deferred(self):
        self.window.add_started(64)
        self.assertFalse(self.window.remove_finished())
        self.assertFalse(self.window.admits(2))
        self.assertTrue(self.window.remove_finished())
        self.assertFalse(self.window.remove_finished())

    def test_a_blocked_process_is_noticed(self):
        async def play():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.window.run)
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(1.0)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock()
        trio.run(play, clock=clock)
        self.window.add_started(1)
        self.assertFalse(self.window.admits(32))


class BurstOnASmallOwnerTest(PlannerCase):
    """Many tasks come at once while the owner's timers are late."""

    def setUp(self):
        super().setUp()
        self.window = StartLimiter(CellSettings(), MemoryTelemetry())
        self.planner = type(self.planner)(self.window.admits)
        for _ in range(10):
            self.window.record_lag(LATE)

    def decide(self):
        plan = super().decide()
        self.window.add_started(plan.task_count)
        return plan

    def test_starts_wait_for_the_answers_to_those_under_way(self):
        self.add_workers(6)
        self.submit("loose", 2, Step(24, SMALL))
        self.assertEqual(4, len(self.decide().starts))
        self.assertEqual([], self.decide().starts)
        self.window.remove_finished()
        self.assertEqual(1, len(self.decide().starts))

    def test_small_tasks_do_not_keep_a_gang_out(self):
        self.add_workers(6)
        self.submit("loose", 2, Step(2, SMALL))
        self.decide()
        self.submit("gang", 1, Step(5, WIDE, gang=True))
        self.submit("later", 2, Step(4, SMALL))
        self.assertEqual([], self.decide().starts)
        self.window.remove_finished()
        self.window.remove_finished()
        self.assertEqual(["gang"], self.started(self.decide())[:1])


class DecisionPauseTest(unittest.TestCase):
    def test_decisions_take_a_bounded_share_of_the_time(self):
        settings = CellSettings(max_decision_share=0.2)
        self.assertEqual(
            timedelta(milliseconds=40), settings.pause_after(timedelta(milliseconds=10))
        )

    def test_the_pause_after_a_decision_is_bounded(self):
        settings = CellSettings()
        self.assertEqual(settings.decision_pause, settings.pause_after(timedelta(0)))
        self.assertEqual(settings.decision_pause_max, settings.pause_after(timedelta(seconds=9)))

    def test_a_small_node_lets_workers_hold_back_answers_longer(self):
        self.assertEqual(timedelta(seconds=1), CellSettings(cores=1.0).long_poll_wait_for(64))
        self.assertEqual(timedelta(seconds=2), CellSettings(cores=0.12).long_poll_wait_for(64))
        self.assertEqual(timedelta(seconds=1), CellSettings(cores=4.0).long_poll_wait_for(64))
