"""Decisions under load, each test named after the pattern that it answers."""

from datetime import timedelta

import attrs

from mimosapoint.cell.guarantees import covered_jobs
from mimosapoint.cell.planner import RECLAIM_DELAY
from mimosapoint.cell.tests._planning import PlannerCase
from mimosapoint.cell.tests._site import CATALOG, SMALL, WIDE
from mimosapoint.cell.units import UnitState
from mimosapoint.workload import ResourceAmounts, Step

HALF = ResourceAmounts(52_000, 110_000, 4)


class BurstOfLooseTasksTest(PlannerCase):
    def test_many_tasks_of_a_step_in_one_decision_keep_its_spread_limit(self):
        self.add_workers(2)
        self.submit("a", 2, Step(10, SMALL, spread_limit=2))
        plan = self.decide()
        self.assertEqual({"w0": 2, "w1": 2}, _counts(self.workers_of(plan, "a")))

    def test_a_waiting_gang_is_not_starved_by_loose_tasks_that_come_after_it(self):
        self.add_workers(3)
        self.submit("first", 2, Step(24, SMALL))
        self.decide()
        self.submit("gang", 1, Step(3, attrs.evolve(WIDE, accelerators=8), gang=True))
        self.submit("later", 2, Step(24, SMALL))
        for unit in list(self.book.active_units()):
            self.end(unit)
            plan = self.decide()
            self.assertNotIn("later", self.started(plan)[:1])
            if "gang" in self.started(plan):
                break
        self.assertIn("gang", self.started(plan))

    def test_small_tasks_fill_used_workers_and_leave_empty_ones_whole(self):
        self.add_workers(3)
        self.submit("a", 2, Step(1, SMALL))
        self.decide()
        self.submit("b", 2, Step(6, SMALL))
        plan = self.decide()
        self.assertEqual(1, len(set(self.workers_of(plan, "b"))))


class UrgentGangOnAFullFleetTest(PlannerCase):
    def fill(self):
        self.add_workers(6)
        for number in range(6):
            saves = number == 5
            self.submit(f"n{number}", 1, Step(2, HALF, gang=True, checkpoints=saves))
        self.decide()
        self.clock.time += timedelta(seconds=3)

    def test_it_stops_what_loses_least_and_no_more_than_it_needs(self):
        self.fill()
        self.submit("u", 0, Step(1, WIDE, gang=True))
        plan = self.decide()
        self.assertEqual(["n5"], [stop.unit.id.job for stop in plan.stops])

    def test_it_gets_the_room_that_was_freed_for_it(self):
        self.fill()
        self.submit("u", 0, Step(2, WIDE, gang=True, rack_local=True))
        stopped = [stop.unit for stop in self.decide().stops]
        self.submit("other", 1, Step(1, HALF, gang=True))
        for unit in stopped:
            self.end(unit)
            plan = self.decide()
            self.assertNotIn("other", self.started(plan))
        self.assertIn("u", self.started(plan))
        self.assertEqual(1, len({link.registration.rack for link in plan.starts[0].sessions}))

    def test_no_other_urgent_unit_takes_the_room_that_is_freed_for_it(self):
        self.fill()
        longer = Step(3, WIDE, timedelta(seconds=9), gang=True, rack_local=True)
        self.submit("u", 0, longer, tenant="other")
        stopped = [stop.unit for stop in self.decide().stops]
        self.assertGreater(len(stopped), 1)
        for number, unit in enumerate(stopped):
            self.clock.time += timedelta(milliseconds=100)
            self.submit(f"small{number}", 0, Step(1, SMALL, gang=True), tenant="other")
            self.end(unit)
            plan = self.decide()
            if "u" in self.started(plan):
                break
        self.assertIn("u", self.started(plan))

    def test_it_stops_nothing_when_stopping_does_not_help(self):
        self.fill()
        self.submit("u", 0, Step(7, WIDE, gang=True))
        self.assertEqual([], self.decide().stops)

    def test_it_never_stops_another_urgent_unit(self):
        self.add_workers(1)
        self.submit("u1", 0, Step(1, WIDE, gang=True))
        self.decide()
        self.submit("u2", 0, Step(1, WIDE, gang=True))
        self.assertEqual([], self.decide().stops)


class GuaranteeTest(PlannerCase):
    """The workspace "t" has 16 accelerators guaranteed, "other" has none."""

    def test_a_covered_job_that_waits_comes_before_a_burst_of_others(self):
        self.add_workers(1)
        self.submit("running", 0, Step(1, WIDE, gang=True), tenant="other")
        unit = self.decide().starts[0].unit
        for number in range(4):
            self.submit(f"burst{number}", 0, Step(1, WIDE, gang=True), tenant="other")
        self.clock.time += timedelta(milliseconds=200)
        self.submit("own", 0, Step(1, WIDE, gang=True))
        self.clock.time += RECLAIM_DELAY
        self.end(unit)
        self.assertEqual(["own"], self.started(self.decide()))

    def test_a_covered_job_takes_its_turn_while_its_guarantee_is_not_at_risk(self):
        self.add_workers(1)
        self.submit("earlier", 0, Step(1, WIDE, gang=True), tenant="other")
        self.clock.time += timedelta(milliseconds=200)
        self.submit("own", 0, Step(1, WIDE, gang=True))
        self.assertEqual(["earlier"], self.started(self.decide()))

    def test_a_covered_job_stops_urgent_work_that_borrows(self):
        self.add_workers(2)
        self.submit("lent", 0, Step(2, WIDE, gang=True), tenant="other")
        self.decide()
        self.submit("own", 0, Step(1, WIDE, gang=True))
        self.assertEqual([], self.decide().stops)
        self.clock.time += RECLAIM_DELAY
        plan = self.decide()
        self.assertEqual(["lent"], [stop.unit.id.job for stop in plan.stops])
        self.end(plan.stops[0].unit)
        self.assertEqual(["own"], self.started(self.decide()))

    def test_other_work_is_stopped_before_urgent_work_that_borrows(self):
        self.add_workers(2)
        self.submit("lent", 0, Step(1, WIDE, gang=True), tenant="other")
        self.submit("normal", 1, Step(1, WIDE, gang=True), tenant="other")
        self.decide()
        self.submit("own", 0, Step(1, WIDE, gang=True))
        self.assertEqual(["normal"], [stop.unit.id.job for stop in self.decide().stops])

    def test_a_workspace_beyond_its_guarantee_stops_no_urgent_work(self):
        self.add_workers(4)
        self.submit("lent", 0, Step(2, WIDE, gang=True), tenant="other")
        self.submit("own", 0, Step(2, WIDE, gang=True))
        self.decide()
        self.submit("more", 0, Step(1, WIDE, gang=True))
        self.clock.time += RECLAIM_DELAY
        self.assertEqual([], self.decide().stops)

    def test_ended_jobs_leave_the_guarantee_to_others(self):
        self.add_workers(2)
        self.submit("first", 0, Step(2, WIDE, gang=True))
        unit = self.decide().starts[0].unit
        self.submit("second", 0, Step(2, WIDE, gang=True))
        self.assertEqual({"first"}, covered_jobs(self.book.open_jobs(), CATALOG))
        self.end(unit)
        self.assertEqual({"second"}, covered_jobs(self.book.open_jobs(), CATALOG))


class RackTest(PlannerCase):
    def test_a_gang_that_wants_one_rack_waits_for_it_when_one_could_hold_it(self):
        self.add_workers(6)
        self.submit("a", 1, Step(2, WIDE, gang=True))
        self.submit("b", 1, Step(2, WIDE, gang=True))
        self.decide()
        self.submit("c", 1, Step(3, WIDE, gang=True, rack_local=True))
        self.assertEqual([], self.started(self.decide()))

    def test_a_gang_that_no_rack_can_hold_spans_racks(self):
        self.add_workers(6)
        self.submit("a", 1, Step(5, WIDE, gang=True, rack_local=True))
        self.assertEqual(["a"], self.started(self.decide()))

    def test_tasks_go_to_the_rack_of_their_data(self):
        self.add_workers(6)
        self.submit("a", 2, Step(4, SMALL, data_rack="r1"))
        plan = self.decide()
        self.assertLessEqual(set(self.workers_of(plan, "a")), {"w3", "w4", "w5"})

    def test_a_label_is_never_ignored(self):
        self.add_workers(3)
        self.submit("a", 0, Step(1, SMALL, label="missing"))
        plan = self.decide()
        self.assertEqual(([], []), (plan.starts, plan.stops))


class FailingWorkerTest(PlannerCase):
    def test_a_failed_unit_goes_to_a_worker_that_is_not_suspect(self):
        self.add_workers(3)
        self.links[0].health.record_failure("x", self.clock.now())
        self.submit("a", 0, Step(1, WIDE, gang=True))
        unit = next(iter(self.book.waiting_by_id.values()))
        unit.failed_on.add("w1")
        plan = self.decide()
        self.assertEqual(["w2"], self.workers_of(plan, "a"))
        self.assertIs(UnitState.ACTIVE, unit.state)

    def test_a_worker_is_put_aside_after_two_jobs_and_trusted_after_a_success(self):
        self.add_workers(1)
        health = self.links[0].health
        now = self.clock.now()
        self.assertFalse(health.record_failure("a", now))
        self.assertFalse(health.record_failure("a", now))
        self.assertTrue(health.record_failure("b", now))
        self.assertTrue(health.is_quarantined(now))
        self.assertFalse(health.is_quarantined(now + timedelta(seconds=4)))
        self.assertTrue(health.record_failure("c", now + timedelta(seconds=4)))
        self.assertTrue(health.is_quarantined(now + timedelta(seconds=9)))
        health.record_success()
        self.assertFalse(health.is_quarantined(now + timedelta(seconds=9)))


def _counts(names):
    return {name: names.count(name) for name in sorted(set(names))}
