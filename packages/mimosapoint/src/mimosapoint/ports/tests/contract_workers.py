"""Contract tests of the port to the workers."""

import attrs
import trio

from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.memory import Faults, MemoryWorker, TaskEventKind
from mimosapoint.model import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    Resources,
    StartRequest,
    StopMode,
    StopRequest,
    TaskSpec,
    TaskState,
    ThrottleRequest,
    WorkerReport,
)
from mimosapoint.ports import Workers
from mimosapoint.ports.tests.shifted_clock import ShiftedClock

__all__ = ["CAPACITY", "WorkersContract", "WorkersFixture"]

CAPACITY = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
HALF = Resources(slots=4, cores=64, memory_gib=128, accelerators=4)
EPOCH = 5
SLEEP_LONG = {"kind": "sleep", "seconds": 1000}
ECHO = {"kind": "echo", "value": ["ü", 1.5, None]}
FAULTS = (
    ("refused", Faults(refuse=True), WorkerRefused, False),
    ("frozen", Faults(frozen=True), WorkerUnreachable, None),
    ("slow", Faults(delay=30.0), WorkerUnreachable, None),
    ("lost reply", Faults(lose_replies=1), WorkerUnreachable, True),
)


def spec(task_id: str, payload: object = SLEEP_LONG, shape: Resources = HALF, **more) -> TaskSpec:
    return TaskSpec(task_id, "bulletins", "desk", shape, 0, 1, payload, **more)


def states(report: WorkerReport) -> dict[str, str]:
    return {task.id: task.state.value for task in report.tasks}


@attrs.frozen
class WorkersFixture:
    """Port under test with one worker behind it.

    The methods send commands to this worker, with the epoch ``EPOCH`` unless another is given.
    """

    workers: Workers
    address: str
    worker: MemoryWorker
    clock: ShiftedClock

    async def lease(self, epoch=EPOCH, ttl=60.0):
        return await self.workers.lease(self.address, LeaseRequest("n1", "klang-a", epoch, ttl))

    async def wait(self, seen, wait=30.0):
        request = LeaseRequest("n1", "klang-a", EPOCH, 60.0, wait, seen)
        return await self.workers.lease(self.address, request)

    async def reserve(self, *specs, epoch=EPOCH, ttl=10.0):
        return await self.workers.reserve(self.address, ReserveRequest(epoch, specs, ttl))

    async def start(self, *ids, epoch=EPOCH):
        return await self.workers.start(self.address, StartRequest(epoch, ids))

    async def stop(self, *ids, epoch=EPOCH, mode=StopMode.DISCARD):
        return await self.workers.stop(self.address, StopRequest(epoch, ids, mode))

    async def throttle(self, *ids, epoch=EPOCH, share=0.5):
        return await self.workers.throttle(self.address, ThrottleRequest(epoch, ids, share))

    async def collect(self, *ids, epoch=EPOCH):
        return await self.workers.collect(self.address, CollectRequest(epoch, ids))

    async def acknowledge(self, *ids, epoch=EPOCH):
        return await self.workers.acknowledge(self.address, CollectRequest(epoch, ids))

    async def run(self, *specs):
        await self.lease()
        await self.reserve(*specs)
        return await self.start(*(item.id for item in specs))

    def started(self) -> list[str]:
        history = self.worker.history
        return [event.task for event in history if event.event is TaskEventKind.STARTED]


class WorkersContract:
    """Mixin for a test case, whose ``open_workers`` is a context manager of a fixture."""

    async def test_epochs_fence_every_command(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("t"))
            commands = (
                lambda epoch: fixture.lease(epoch),
                lambda epoch: fixture.reserve(spec("u"), epoch=epoch),
                lambda epoch: fixture.start("t", epoch=epoch),
                lambda epoch: fixture.stop("t", epoch=epoch),
                lambda epoch: fixture.throttle("t", epoch=epoch),
                lambda epoch: fixture.collect("t", epoch=epoch),
                lambda epoch: fixture.acknowledge("t", epoch=epoch),
            )
            for number, command in enumerate(commands):
                with self.subTest(command=number):
                    with self.assertRaises(StaleEpoch) as caught:
                        await command(EPOCH - 1)
                    self.assertEqual(caught.exception.current, EPOCH)
            for number, command in enumerate(commands[1:]):
                with self.subTest(command=number, epoch="not leased"):
                    with self.assertRaises(WorkerRefused):
                        await command(EPOCH + 1)
            self.assertEqual(states(await fixture.lease()), {"t": "running"})

    async def test_a_failover_keeps_everything_but_unused_reservations(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("ended", ECHO), spec("runs"))
            await fixture.reserve(spec("waits"))
            report = await fixture.lease(EPOCH + 1)
            self.assertEqual(states(report), {"ended": "succeeded", "runs": "running"})
            await fixture.reserve(spec("waits"), epoch=EPOCH + 1)
            report = await fixture.start("waits", epoch=EPOCH + 1)
            self.assertEqual(states(report)["waits"], "running")

    async def test_reserving_is_all_or_none(self):
        one_slot = Resources(1, 0, 0, 0)
        refused = (
            (spec("a", shape=HALF), spec("b", shape=CAPACITY)),
            (spec("a"), spec("b"), spec("c", shape=one_slot)),
            (spec("a", shape=one_slot), spec("b", shape=Resources(-1, 0, 0, 0))),
        )
        async with self.open_workers() as fixture:
            with self.assertRaises(WorkerRefused):
                await fixture.reserve(spec("no lease"))
            await fixture.lease()
            for specs in refused:
                with self.subTest(tasks=len(specs)):
                    with self.assertRaises(WorkerRefused):
                        await fixture.reserve(*specs)
                    self.assertEqual(states(await fixture.lease()), {})
            for _ in range(2):
                report = await fixture.reserve(spec("a"), spec("b"))
                self.assertEqual(states(report), {"a": "reserved", "b": "reserved"})

    async def test_an_expired_reservation_releases_capacity_and_cannot_start(self):
        async with self.open_workers() as fixture:
            await fixture.lease()
            await fixture.reserve(spec("a"), ttl=5.0)
            await fixture.reserve(spec("b"), ttl=50.0)
            fixture.clock.advance(6.0)
            with self.assertRaises(WorkerRefused):
                await fixture.start("b", "a")
            self.assertEqual(fixture.started(), [])
            await fixture.reserve(spec("c"))
            await fixture.start("b", "c")
            self.assertEqual(fixture.started(), ["b", "c"])

    async def test_a_repeated_start_is_confirmed_and_starts_once(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("a"), spec("b", ECHO))
            report = await fixture.start("a", "b")
            self.assertEqual(states(report), {"a": "running", "b": "succeeded"})
            await fixture.acknowledge("b")
            await fixture.start("b")
            with self.assertRaises(WorkerRefused):
                await fixture.reserve(spec("b"))
            self.assertEqual(fixture.started(), ["a", "b"])

    async def test_a_stop_before_a_start_rejects_the_task(self):
        async with self.open_workers() as fixture:
            await fixture.lease()
            await fixture.reserve(spec("reserved"))
            await fixture.stop("unknown", "reserved")
            for task_id in ("unknown", "reserved"):
                with self.subTest(task=task_id):
                    with self.assertRaises(WorkerRefused):
                        await fixture.start(task_id)
                    with self.assertRaises(WorkerRefused):
                        await fixture.reserve(spec(task_id))
            self.assertEqual(fixture.started(), [])
            self.assertEqual(await fixture.collect("unknown", "reserved"), ())

    async def test_a_stop_keeps_progress_only_with_a_checkpoint(self):
        async with self.open_workers() as fixture:
            for mode, kept in ((StopMode.CHECKPOINT, 30.0), (StopMode.DISCARD, 20.0)):
                with self.subTest(mode=mode):
                    name = mode.value
                    await fixture.run(spec(name, progress=20.0, checkpoint="c0"))
                    fixture.clock.advance(10.0)
                    report = await fixture.stop(name, mode=mode)
                    (task,) = (task for task in report.tasks if task.id == name)
                    self.assertIs(task.state, TaskState.STOPPED)
                    self.assertAlmostEqual(task.progress, kept, delta=1.0)
                    self.assertEqual(task.checkpoint == "c0", mode is StopMode.DISCARD)
                    (output,) = await fixture.collect(name)
                    self.assertIs(output.state, TaskState.STOPPED)

    async def test_a_lease_that_expires_during_a_pause_stops_tasks_at_its_expiry(self):
        quick = {"kind": "sleep", "seconds": 3}
        async with self.open_workers() as fixture:
            await fixture.run(spec("long"), spec("quick", quick))
            await fixture.lease(ttl=5.0)
            fixture.clock.advance(100.0)
            with self.assertRaises(WorkerRefused):
                await fixture.reserve(spec("new", ECHO))
            report = await fixture.lease()
            self.assertEqual(states(report), {"long": "stopped", "quick": "succeeded"})
            (task,) = (task for task in report.tasks if task.id == "long")
            self.assertAlmostEqual(task.progress, 5.0, delta=1.0)
            self.assertIsNotNone(task.checkpoint)

    async def test_outputs_stay_until_they_are_acknowledged(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("good", ECHO), spec("bad", {"kind": "fail", "detail": "d"}))
            for _ in range(2):
                outputs = await fixture.collect("bad", "unknown", "good")
                found = [(item.id, item.state.value, item.output) for item in outputs]
                expected = [("bad", "failed", None), ("good", "succeeded", ECHO["value"])]
                self.assertEqual(found, expected)
                self.assertEqual(outputs[0].detail, "d")
            await fixture.acknowledge("good", "unknown")
            report = await fixture.acknowledge("good")
            self.assertEqual(states(report), {"bad": "failed"})

    async def test_reported_usage_lags_and_may_differ_from_the_shape(self):
        payload = SLEEP_LONG | {"uses": {"slots": 1, "cores": 99, "memory_gib": 3}}
        async with self.open_workers() as fixture:
            report = await fixture.run(spec("t", payload))
            self.assertIsNone(report.tasks[0].used)
            fixture.clock.advance(3.0)
            report = await fixture.lease()
            self.assertEqual(report.tasks[0].used, Resources(1, 99, 3, 0))

    async def test_a_throttled_task_takes_longer(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("t", {"kind": "sleep", "seconds": 20}))
            for share in (0.0, -1.0, 1.5):
                with self.subTest(share=share), self.assertRaises(WorkerRefused):
                    await fixture.throttle("t", share=share)
            await fixture.throttle("t", share=0.25)
            fixture.clock.advance(40.0)
            self.assertEqual(states(await fixture.lease()), {"t": "running"})
            fixture.clock.advance(41.0)
            self.assertEqual(states(await fixture.lease(ttl=60.0)), {"t": "succeeded"})

    async def test_a_waiting_renewal_returns_the_next_change(self):
        quick = {"kind": "sleep", "seconds": 0.1}
        async with self.open_workers() as fixture:
            changes = (
                ("reserve", lambda: fixture.reserve(spec("a")), {"a": "reserved"}),
                ("start", lambda: fixture.start("a"), {"a": "running"}),
                ("stop", lambda: fixture.stop("a"), {"a": "stopped"}),
                ("acknowledge", lambda: fixture.acknowledge("a"), {}),
                ("end", lambda: fixture.run(spec("b", quick)), {"b": "succeeded"}),
            )
            known = await fixture.lease()
            for name, change, expected in changes:
                with self.subTest(change=name):
                    reports = await self.reports_during(fixture, known, change, expected)
                    revisions = [known.revision, *(item.revision for item in reports)]
                    self.assertEqual(revisions, sorted(set(revisions)))
                    known = reports[-1]

    async def reports_during(self, fixture, known, change, expected):
        """Return the reports of waiting renewals until one has the expected states."""
        reports = [known]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.change_later, change)
            with trio.fail_after(5):
                while states(reports[-1]) != expected:
                    reports.append(await fixture.wait(reports[-1].revision))
        return reports[1:]

    async def change_later(self, change):
        await trio.sleep(0.02)
        await change()

    async def test_a_waiting_renewal_ends_at_its_timeout_or_with_a_newer_epoch(self):
        async with self.open_workers() as fixture:
            known = await fixture.lease()
            report = await fixture.wait(known.revision, wait=0.5)
            self.assertEqual(report, known)
            self.assertEqual(await fixture.wait(known.revision - 1), known)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.change_later, lambda: fixture.lease(EPOCH + 1))
                with trio.fail_after(5), self.assertRaises(StaleEpoch):
                    await fixture.wait(known.revision)

    async def test_a_worker_that_freezes_during_a_wait_does_not_reply(self):
        async with self.open_workers() as fixture:
            known = await fixture.lease()

            async def freeze():
                fixture.worker.faults.replace_with(Faults(frozen=True))
                fixture.worker.reserve(ReserveRequest(EPOCH, (spec("a"),), 10.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.change_later, freeze)
                with self.assertRaises(WorkerUnreachable):
                    await fixture.wait(known.revision, wait=0.3)

    async def test_a_restarted_worker_has_a_new_incarnation(self):
        boots = set()
        for _ in range(2):
            async with self.open_workers() as fixture:
                boots.add((await fixture.lease()).boot)
        self.assertEqual(len(boots), 2)

    async def test_faults_of_a_start(self):
        for name, faults, error, effect in FAULTS:
            with self.subTest(fault=name):
                async with self.open_workers() as fixture:
                    await fixture.lease()
                    await fixture.reserve(spec("t", ECHO))
                    fixture.worker.faults.replace_with(faults)
                    with self.assertRaises(error):
                        await fixture.start("t")
                    fixture.worker.faults.replace_with(Faults())
                    if effect is not None:
                        self.assertEqual(fixture.started(), ["t"] if effect else [])
                    await fixture.start("t")
                    self.assertEqual(fixture.started(), ["t"])

    async def test_a_faulty_worker_fails_every_task_that_it_starts(self):
        async with self.open_workers() as fixture:
            fixture.worker.faults.replace_with(Faults(fail_tasks=True))
            report = await fixture.run(spec("t", ECHO))
            self.assertEqual(states(report), {"t": "failed"})
