"""Tests of the worker inventory, the report cache and the lease renewer."""

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


def placed_record(job, count):
    request = JobRequest("w", "s", job, gang=count, shape=Resources(1, 1, 1, 1))
    return JobRecord(job, request, JobState.PLACED, START, Placement(1, ("w",) * count))


class WorkerInventoryTest(TrioTestCase):
    """Allocations count once, in whatever order the VM list, reports and allocations arrive."""

    def test_free_resources_in_any_order(self):
        steps_by_name = {
            "list": lambda r: r.update_vm(VM),
            "report": lambda r: r.update_capacity("w", WORKER),
            "allocate": lambda r: r.allocate(placed_record("j", 3)),
            "allocate again": lambda r: r.allocate(placed_record("j", 3)),
            "release": lambda r: r.release("j"),
            "remove": lambda r: r.remove_vm("w"),
        }
        cases = (
            (("list", "report"), 8),
            (("list", "report", "allocate"), 5),
            (("allocate", "list", "report"), 5),
            (("list", "allocate", "report"), 5),
            (("list", "report", "allocate", "allocate again"), 5),
            (("list", "report", "allocate", "release"), 8),
            (("list", "report", "allocate", "release", "release"), 8),
            (("list", "report", "allocate", "remove", "list", "report"), 5),
            (("list", "report", "allocate", "remove", "list", "release", "report"), 8),
            (("list", "report", "allocate", "remove", "release", "list", "report"), 8),
        )
        for steps, free in cases:
            with self.subTest(steps=steps):
                inventory = WorkerInventory()
                for step in steps:
                    steps_by_name[step](inventory)
                self.assertEqual(inventory.views_by_id()["w"].free.slots, free)

    def test_usability(self):
        cases = (
            (lambda r: None, True, False),
            (lambda r: r.mark_unreachable("w"), False, False),
            (lambda r: r.mark_leaving("w"), False, True),
            (lambda r: r.remove_vm("w"), False, True),
            (lambda r: r.update_vm(Vm("w", VM.kind, "a", "x", VmState.LEAVING)), False, True),
        )
        for change, usable, leaving in cases:
            inventory = WorkerInventory()
            inventory.update_vm(VM)
            inventory.update_capacity("w", WORKER)
            change(inventory)
            self.assertEqual(
                (inventory.is_usable("w"), inventory.is_leaving("w")), (usable, leaving)
            )
            self.assertEqual(inventory.can_allocate(("w",), Resources(1, 1, 1, 1)), usable)


def report(revision, state=None, boot="b1"):
    tasks = (TaskReport("t", state),) if state else ()
    return WorkerReport("w", WORKER, tasks, boot, revision)


class ReportCacheTest(TrioTestCase):
    """Outdated reports are dropped, and no waiting task misses a new one."""

    mock_clock = True

    def test_task_state_after_reports(self):
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
                cache = ReportCache()
                for item in reports:
                    cache.mark_lost("w") if item == "lost" else cache.update("w", item)
                self.assertEqual(cache.task_state("w", "t"), state)

    async def test_report_between_check_and_wait_is_not_missed(self):
        """A report that arrives before the subtasks of the wait first run still ends the wait."""
        for _ in range(50):
            report_cache, checked = ReportCache(), trio.Event()

            async def wait(report_cache=report_cache, checked=checked):
                checked.set()
                await report_cache.wait_any_change({"w", "other"})

            with trio.fail_after(1):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait)
                    await checked.wait()
                    report_cache.update("w", report(1))


class LeaseRenewerTest(TrioTestCase):
    """The renewer survives pauses of the worker and declares it lost only after lease expiry."""

    mock_clock = True

    async def run_renewer(self, clock, worker, scenario, epoch=1):
        report_cache, inventory = ReportCache(), WorkerInventory()
        inventory.update_vm(VM)
        renewer = LeaseRenewer(
            "w",
            LeaseHolder("n", "a", epoch),
            workers=MemoryWorkers({VM.address: worker}),
            report_cache=report_cache,
            inventory=inventory,
            clock=clock,
            telemetry=MemoryTelemetry(strict=True),
            settings=ZoneOwnerSettings(),
            on_report=lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renewer.run)
            await scenario(report_cache)
            nursery.cancel_scope.cancel()

    def start_task(self, worker, report_cache):
        shape = Resources(1, 1, 1, 1)
        payload = {"kind": "sleep", "seconds": 1000}
        spec = TaskSpec("t", "w", "s", shape, 0, 1, payload)
        worker.reserve(ReserveRequest(1, (spec,), 1.5))
        worker.start(StartRequest(1, ("t",)))

    async def test_pauses(self):
        for delay in (0.5, 2.0, 3.9):
            for pause, keeps_running in ((1.0, True), (4.5, True), (40.0, False)):
                with self.subTest(delay=delay, pause=pause):
                    await self.check_pause(delay, pause, keeps_running)

    async def check_pause(self, delay, pause, keeps_running):
        clock = TrioClock(START)
        worker = MemoryWorker("w", WORKER, clock)

        async def scenario(report_cache):
            await trio.sleep(0.1)
            self.start_task(worker, report_cache)
            await trio.sleep(delay)
            worker.faults.frozen = True
            for _ in range(int(pause * 10)):
                await trio.sleep(0.1)
                if report_cache.is_lost("w"):
                    events = [event.event.value for event in worker.history]
                    self.assertEqual(events, ["started", "stopped"])
            worker.faults.frozen = False
            await trio.sleep(10)
            state = report_cache.task_state("w", "t")
            self.assertEqual(state is TaskState.RUNNING, keeps_running)

        await self.run_renewer(clock, worker, scenario)

    async def test_newer_epoch_stops_the_owner(self):
        clock = TrioClock(START)
        worker = MemoryWorker("w", WORKER, clock)
        worker.epoch = 5

        async def scenario(report_cache):
            await trio.sleep(10)

        with self.assertRaises(ExceptionGroup) as caught:
            await self.run_renewer(clock, worker, scenario, epoch=4)
        self.assertIsInstance(caught.exception.exceptions[0], StaleEpoch)

    async def test_lease_ttl_exceeds_long_poll_and_two_calls(self):
        settings = ZoneOwnerSettings()
        self.assertGreater(settings.lease_ttl, settings.lease_wait + settings.call_timeout * 2)
        self.assertGreater(settings.renewal_failure_timeout, timedelta())
