"""Tests of the roster, the board and the link to a worker."""

from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.errors import StaleEpoch
from mimosapoint.memory import MemoryWorker, MemoryWorkers, TrioClock
from mimosapoint.model import (
    JobRecord,
    JobRequest,
    JobState,
    Placement,
    ReserveRequest,
    Resources,
    StartRequest,
    TaskReport,
    TaskSpec,
    TaskState,
    Vm,
    VmKind,
    VmState,
    WorkerReport,
)
from mimosapoint.placement import (
    LeaseHolder,
    LeaseRenewer,
    ReportCache,
    WorkerInventory,
    ZoneOwnerSettings,
)
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
WORKER = Resources(slots=8, cores=8, memory_gib=8, accelerators=8)
VM = Vm("w", VmKind.ENDPOINT, "a", "10.1.0.0:1", rack="r")


def placed(job, count):
    request = JobRequest("w", "s", job, gang=count, shape=Resources(1, 1, 1, 1))
    return JobRecord(job, request, JobState.PLACED, START, Placement(1, ("w",) * count))


class WorkerInventoryTest(TrioTestCase):
    """The room on a worker is counted once, in whatever order things are heard."""

    def test_room_in_any_order(self):
        steps_by_name = {
            "list": lambda r: r.update_vm(VM),
            "report": lambda r: r.update_capacity("w", WORKER),
            "hold": lambda r: r.allocate(placed("j", 3)),
            "hold again": lambda r: r.allocate(placed("j", 3)),
            "release": lambda r: r.release("j"),
            "drop": lambda r: r.remove_vm("w"),
        }
        cases = (
            (("list", "report"), 8),
            (("list", "report", "hold"), 5),
            (("hold", "list", "report"), 5),
            (("list", "hold", "report"), 5),
            (("list", "report", "hold", "hold again"), 5),
            (("list", "report", "hold", "release"), 8),
            (("list", "report", "hold", "release", "release"), 8),
            (("list", "report", "hold", "drop", "list", "report"), 5),
            (("list", "report", "hold", "drop", "list", "release", "report"), 8),
            (("list", "report", "hold", "drop", "release", "list", "report"), 8),
        )
        for steps, free in cases:
            with self.subTest(steps=steps):
                roster = WorkerInventory()
                for step in steps:
                    steps_by_name[step](roster)
                self.assertEqual(roster.views_by_id()["w"].free.slots, free)

    def test_usability(self):
        cases = (
            (lambda r: None, True, False),
            (lambda r: r.mark_unreachable("w"), False, False),
            (lambda r: r.mark_leaving("w"), False, True),
            (lambda r: r.remove_vm("w"), False, True),
            (lambda r: r.update_vm(Vm("w", VM.kind, "a", "x", VmState.LEAVING)), False, True),
        )
        for change, usable, leaving in cases:
            roster = WorkerInventory()
            roster.update_vm(VM)
            roster.update_capacity("w", WORKER)
            change(roster)
            self.assertEqual((roster.is_usable("w"), roster.is_leaving("w")), (usable, leaving))
            self.assertEqual(roster.can_allocate(("w",), Resources(1, 1, 1, 1)), usable)


def report(revision, state=None, boot="b1"):
    tasks = (TaskReport("t", state),) if state else ()
    return WorkerReport("w", WORKER, tasks, boot, revision)


class ReportCacheTest(TrioTestCase):
    """Old reports are dropped, and nobody sleeps through a new one."""

    mock_clock = True

    def test_order(self):
        running, ended = TaskState.RUNNING, TaskState.SUCCEEDED
        cases = (
            ((report(1, running), report(2, ended)), ended),
            ((report(2, ended), report(1, running)), ended),
            ((report(2, ended), report(1, None, "b2")), None),
            ((report(1, running), "lost"), None),
            ((report(1, running), "lost", report(1, running)), running),
        )
        for reports, state in cases:
            with self.subTest(reports=reports):
                board = ReportCache()
                for item in reports:
                    board.mark_lost("w") if item == "lost" else board.update("w", item)
                self.assertEqual(board.task_state("w", "t"), state)

    async def test_report_between_check_and_wait_is_not_missed(self):
        """A change between the look and the first step of the waiting tasks is not missed."""
        for _ in range(50):
            board, looked = ReportCache(), trio.Event()

            async def wait(board=board, looked=looked):
                looked.set()
                await board.wait_any_change({"w", "other"})

            with trio.fail_after(1):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait)
                    await looked.wait()
                    board.update("w", report(1))


class LeaseRenewerTest(TrioTestCase):
    """A link renews its lease, rides out pauses and never calls a live lease lapsed."""

    mock_clock = True

    async def run_link(self, clock, worker, scenario, epoch=1):
        board, roster = ReportCache(), WorkerInventory()
        roster.update_vm(VM)
        link = LeaseRenewer(
            "w",
            LeaseHolder("n", "a", epoch),
            workers=MemoryWorkers({VM.address: worker}),
            board=board,
            roster=roster,
            clock=clock,
            telemetry=MemoryTelemetry(strict=True),
            settings=ZoneOwnerSettings(),
            on_report=lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await scenario(board)
            nursery.cancel_scope.cancel()

    def start_task(self, worker, board):
        shape = Resources(1, 1, 1, 1)
        payload = {"kind": "sleep", "seconds": 1000}
        spec = TaskSpec("t", "w", "s", shape, 0, 1, payload)
        worker.reserve(ReserveRequest(1, (spec,), 1.5))
        worker.start(StartRequest(1, ("t",)))

    async def test_pauses(self):
        for began in (0.5, 2.0, 3.9):
            for pause, runs_on in ((1.0, True), (4.5, True), (40.0, False)):
                with self.subTest(began=began, pause=pause):
                    await self.pause(began, pause, runs_on)

    async def pause(self, began, pause, runs_on):
        clock = TrioClock(START)
        worker = MemoryWorker("w", WORKER, clock)

        async def scenario(board):
            await trio.sleep(0.1)
            self.start_task(worker, board)
            await trio.sleep(began)
            worker.faults.frozen = True
            for _ in range(int(pause * 10)):
                await trio.sleep(0.1)
                if board.is_lost("w"):
                    events = [event.event.value for event in worker.history]
                    self.assertEqual(events, ["started", "stopped"])
            worker.faults.frozen = False
            await trio.sleep(10)
            state = board.task_state("w", "t")
            self.assertEqual(state is TaskState.RUNNING, runs_on)

        await self.run_link(clock, worker, scenario)

    async def test_newer_epoch_stops_the_owner(self):
        clock = TrioClock(START)
        worker = MemoryWorker("w", WORKER, clock)
        worker.epoch = 5

        async def scenario(board):
            await trio.sleep(10)

        with self.assertRaises(ExceptionGroup) as caught:
            await self.run_link(clock, worker, scenario, epoch=4)
        self.assertIsInstance(caught.exception.exceptions[0], StaleEpoch)

    async def test_settings_leave_room_for_a_held_report(self):
        settings = ZoneOwnerSettings()
        self.assertGreater(settings.lease_ttl, settings.lease_wait + settings.call_timeout * 2)
        self.assertGreater(settings.renewal_failure_timeout, timedelta())
