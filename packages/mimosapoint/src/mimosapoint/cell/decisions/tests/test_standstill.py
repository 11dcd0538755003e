"""Placement decisions about jobs that stand still beside ample room."""

from datetime import timedelta

from mimosapoint.cell.decisions.gang_reservation import gang_reservation_names
from mimosapoint.cell.decisions.planner import Planner
from mimosapoint.cell.decisions.tests._planning import PlannerCase
from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.run_supervisor import UNKNOWN_AMOUNTS
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import QUEUES, SMALL, WIDE
from mimosapoint.workload import (
    CellConfiguration,
    CellWorkspace,
    ResourceAmounts,
    Step,
    TaskId,
    WorkerCrash,
)

LIMIT = CellSettings().max_standstill


class StandstillCase(PlannerCase):
    def wait(self, time=LIMIT):
        self.clock.time += time
        return self.decide()


class ReservedRoomTest(StandstillCase):
    """One long unit runs, a gang waits for all workers, and smaller jobs come."""

    def setUp(self):
        super().setUp()
        self.add_workers(6)
        self.submit("long", 1, Step(1, WIDE))
        self.decide()
        self.submit("gang", 1, Step(6, WIDE, gang=True))

    # Guards against small jobs that wait without a bound for workers that stay idle.
    def test_one_unit_of_each_job_starts_after_the_limit(self):
        for job in ("a", "b"):
            self.submit(job, 2, Step(5, SMALL))
        plan = self.decide()
        self.assertEqual([], plan.starts)
        self.assertEqual(self.clock.time + LIMIT, plan.next_decision_at)
        self.assertEqual(["a", "b"], self.started_jobs(self.wait()))
        self.assertEqual([], self.wait().starts)

    # Guards against reservations that never hold, as each wave of small units takes the room.
    def test_the_gang_starts_once_its_workers_are_free(self):
        self.submit("a", 2, Step(50, SMALL))
        self.wait()
        for unit in list(self.job_table.active_units()):
            self.end(unit)
        self.assertEqual("gang", self.started_jobs(self.decide())[0])

    def test_nothing_starts_ahead_while_half_of_the_service_is_in_use(self):
        for number in range(2):
            self.submit(f"more-{number}", 0, Step(1, WIDE))
        self.decide()
        self.submit("a", 2, Step(1, SMALL))
        self.assertEqual([], self.wait().starts)

    # Guards against a reservation that ends with the first overdue start, so that small units take
    # the room at once.
    def test_each_rule_of_reservation_goes_on(self):
        for name in gang_reservation_names():
            with self.subTest(reservation=name):
                self.setUp()
                self.planner = Planner(CellSettings(gang_reservation=name))
                self.submit("a", 2, Step(5, SMALL))
                self.decide()
                self.assertEqual(["a"], self.started_jobs(self.wait()))

    # Guards against one run of an unknown job that lets the whole service count as full.
    def test_a_run_of_an_unknown_job_fills_its_own_worker_only(self):
        worker = self.workers[-1]
        worker.add(TaskRun(TaskId("x", 0, 0, 0), 1, worker, UNKNOWN_AMOUNTS, None))
        self.submit("a", 2, Step(1, SMALL))
        self.decide()
        self.assertEqual(["a"], self.started_jobs(self.wait()))

    # Guards against a job that waits without a bound, as one worker has crashed under it.
    def test_a_suspect_does_not_wait_for_a_gang(self):
        self.submit("a", 2, Step(1, SMALL))
        (unit,) = self.job_table.jobs_by_id["a"].units_by_id.values()
        crash = WorkerCrash(1, "w9", is_early=True)
        self.job_table.record_crash(unit, unit.tasks[0], crash)
        self.assertEqual([], self.decide().starts)
        plan = self.wait()
        self.assertEqual(["a"], self.started_jobs(plan))
        self.assertNotIn("w0", self.workers_of(plan, "a"))

    # Guards against a shortage of processor time at the owner that grows with such starts.
    def test_the_limit_of_starts_holds(self):
        for job in ("a", "b"):
            self.submit(job, 2, Step(1, SMALL))
        self.planner = Planner(CellSettings(), lambda starts, planned: planned < 1)
        self.decide()
        self.assertEqual(["a"], self.started_jobs(self.wait()))


class ReservedQuotaTest(StandstillCase):
    def setUp(self):
        super().setUp()
        self.add_workers(9)
        workspace = CellWorkspace("t", frozenset(), 0, ResourceAmounts(accelerators=20))
        self.configuration = CellConfiguration(1, QUEUES, (workspace,))

    def start(self, tasks):
        self.submit("running", 1, Step(tasks, SMALL))
        self.decide()
        self.submit("gang", 1, Step(2, WIDE, gang=True))
        self.submit("a", 2, Step(3, SMALL))

    # Guards against small jobs of a workspace that wait for quota which nobody uses.
    def test_a_workspace_below_half_of_its_cap_starts_each_job(self):
        self.start(9)
        self.assertEqual([], self.decide().starts)
        self.assertEqual(["a"], self.started_jobs(self.wait()))

    def test_a_workspace_at_half_of_its_cap_keeps_the_quota_for_its_gang(self):
        self.start(10)
        self.assertEqual([], self.wait().starts)


class SingleRackTest(StandstillCase):
    def fill(self, tasks_by_rack):
        self.add_workers(9)
        for rack, tasks in tasks_by_rack.items():
            self.submit(rack, 1, Step(tasks, WIDE, label=rack))
        self.decide()
        self.submit("gang", 1, Step(3, WIDE, gang=True, rack_local=True))

    # Guards against a gang that waits for a rack while all racks have room for it twice over.
    def test_a_gang_spans_racks_after_the_limit(self):
        self.fill({"r0": 1, "r1": 1, "r2": 1})
        self.assertEqual([], self.decide().starts)
        self.assertEqual(["gang"], self.started_jobs(self.wait()))

    def test_a_gang_that_fits_only_once_goes_on_waiting_for_a_rack(self):
        self.fill({"r0": 2, "r1": 1, "r2": 1})
        self.assertEqual([], self.wait(timedelta(minutes=1)).starts)


class UrgentTest(StandstillCase):
    """A job is overdue, while an urgent one needs the same capacity or quota."""

    def start(self, step, gang=6):
        self.submit("running", 2, step)
        self.decide()
        self.submit("gang", 1, Step(gang, WIDE, gang=True))
        self.submit("a", 2, Step(1, SMALL, label="r0"))
        self.wait(LIMIT / 2)

    def end_stopped(self):
        for unit in list(self.job_table.active_units()):
            if unit.stop_reason:
                self.end(unit)

    # Guards against an overdue unit on workers that others are being stopped to free.
    def test_held_capacity_is_not_taken(self):
        self.add_workers(6)
        self.start(Step(3, SMALL, label="r0"))
        self.submit("urgent", 0, Step(3, WIDE, gang=True, label="r0"))
        self.assertEqual(3, len(self.decide().stops))
        self.assertEqual([], self.started_jobs(self.wait(LIMIT / 2)))
        self.end_stopped()
        self.assertEqual(["urgent"], self.started_jobs(self.decide()))

    # Guards against an overdue unit that takes the quota that others are being stopped to free.
    def test_held_quota_is_not_taken(self):
        self.add_workers(9)
        workspace = CellWorkspace("t", frozenset(), 0, ResourceAmounts(accelerators=20))
        self.configuration = CellConfiguration(1, QUEUES, (workspace,))
        self.start(Step(9, SMALL, label="r0"), gang=2)
        self.submit("urgent", 0, Step(2, WIDE, gang=True))
        self.assertEqual(5, len(self.decide().stops))
        self.assertEqual([], self.started_jobs(self.wait(LIMIT / 2)))
        self.end_stopped()
        self.assertEqual(["urgent"], self.started_jobs(self.decide())[:1])

    # Guards against urgent units that wait for the limit of starts behind overdue ones.
    def test_an_urgent_unit_starts_first(self):
        self.add_workers(6)
        self.start(Step(1, WIDE))
        self.planner._admits = lambda starts, planned: planned < 1
        self.clock.time += LIMIT / 2
        self.submit("urgent", 0, Step(1, SMALL))
        self.assertEqual(["urgent"], self.started_jobs(self.decide()))
        self.assertEqual(["a"], self.started_jobs(self.decide()))

    # Guards against an urgent gang that waits for a rack beside room for it twice over.
    def test_an_urgent_gang_spans_racks_after_the_limit(self):
        self.add_workers(9)
        for rack in ("r0", "r1", "r2"):
            self.submit(rack, 0, Step(1, WIDE, label=rack))
        self.decide()
        self.submit("gang", 0, Step(3, WIDE, gang=True, rack_local=True))
        self.assertEqual([], self.decide().starts)
        self.assertEqual(["gang"], self.started_jobs(self.wait()))
