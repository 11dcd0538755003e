"""Tests of failover: which workers a new owner waits for, and of lost starts and readiness."""

from datetime import timedelta
from types import SimpleNamespace
from unittest.mock import Mock

import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.revision_times import RevisionTimes
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, POOL, SMALL, WIDE, open_site
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.codec import decode
from mimosapoint.errors import StoreTimeout
from mimosapoint.memory import TrioClock
from mimosapoint.ports import EndedRun, WorkerRegistration, WorkerRunReport
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step, TaskId

CLAIM_AND_START_SECONDS = 2.5
"""Time for a claim and a start; far below the 6 s after which a silent worker's lease expires at
the earliest: ``worker_lease`` of 7 s less ``long_poll_wait`` of 1 s."""


class RosterTest(TrioTestCase):
    def open_fleet(self, commit):
        """Return a fleet of one worker, and its session."""
        registration = WorkerRegistration("w", "a:1", POOL, "z", "r", frozenset(), CAPACITY)
        session = SimpleNamespace(
            id="w", registration=registration, is_drained=False, on_roster=False
        )
        ownership, store = SimpleNamespace(epoch_rev=1), SimpleNamespace(commit=commit)
        clock, telemetry = TrioClock(), MemoryTelemetry()
        view = SimpleNamespace(revision_times=RevisionTimes(clock))
        dependencies = CellOwnerDependencies(store, None, None, view, clock, telemetry)
        fleet = Fleet(ownership, dependencies, CellSettings())
        fleet.sessions_by_id["w"] = session
        return fleet, session

    async def test_a_worker_that_the_stored_roster_omits_gets_no_work(self):
        """A drained worker restarts while the roster without it is being stored.

        The next owner would not wait for the runs on it.
        """

        async def commit(conditions, writes):
            session.is_drained = False
            return 1

        fleet, session = self.open_fleet(commit)
        await fleet._write_roster(MemoryTelemetry())
        self.assertTrue(session.on_roster)
        session.is_drained = True
        await fleet._write_roster(MemoryTelemetry())
        self.assertFalse(session.on_roster)
        await fleet._write_roster(MemoryTelemetry())
        self.assertTrue(session.on_roster)

    # Guards against a worker with runs that the stored roster lacks, as a write that left it out
    # took effect after its reply was lost, when the worker was in use again.
    async def test_a_worker_that_an_unanswered_write_leaves_out_gets_no_work_until_the_next(self):
        written, errors = [], []

        async def commit(conditions, writes):
            written.append(decode(writes[0].value, list))
            if errors:
                raise errors.pop()
            return len(written)

        fleet, session = self.open_fleet(commit)
        await fleet._write_roster(MemoryTelemetry())
        self.assertTrue(session.on_roster)
        session.is_drained = True
        errors.append(StoreTimeout("no reply"))
        with self.assertRaises(StoreTimeout):
            await fleet._write_roster(MemoryTelemetry())
        session.is_drained = False
        self.assertFalse(session.on_roster)
        await fleet._write_roster(MemoryTelemetry())
        self.assertEqual([1, 0, 1], [len(workers) for workers in written])
        self.assertTrue(session.on_roster)


class FailoverTest(TrioTestCase):
    mock_clock = True

    def assert_no_violations(self, site):
        self.assertEqual([], site.violations())

    def remove_worker(self, site, worker):
        """Remove a worker: delete its entry and let its calls time out."""
        site.unregister(worker)
        site.workers.network_faults_by_address[worker.registration.address].partitioned = True

    async def submit_without_owner(self, site):
        """Kill the owner, then submit a job, which only the next owner learns of."""
        owner, other = site.owner, site.other
        owner.kill()
        await site.submit("late", Step(1, SMALL), node=other)

    async def test_a_job_that_never_started_does_not_wait_for_a_silent_worker(self):
        """Jobs arrive while there is no owner, and a worker with runs is gone."""
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=30)
            await site.submit("early", Step(1, SMALL))
            await site.wait_running("early")
            number = site.running("early")[0].worker[1:]
            site.workers.network_faults_by_address[f"10.0.0.{number}:1"].partitioned = True
            await self.submit_without_owner(site)
            await site.wait_running("late", within=CLAIM_AND_START_SECONDS)
            self.assertEqual(1, len(site.runs("early")))
            self.assert_no_violations(site)

    async def test_no_run_starts_before_it_is_stored_that_its_job_has_started(self):
        async with open_site(workers=2) as site:
            site.store.faults.delay = 0.3
            await site.submit("a", Step(2, WIDE, gang=True))
            await site.wait_running("a", 2)
            self.assertEqual(Phase.RUNNING, site.phase("a"))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(2, len(site.runs("a")))

    async def test_a_job_cancelled_before_its_start_was_ordered_never_runs(self):
        async with open_site(workers=2) as site:
            site.store.faults.delay = 0.3
            await site.submit("a", Step(2, WIDE, gang=True))
            owner = site.owner.cell.owner
            with trio.fail_after(1):
                while not any(unit.run for unit in owner.job_table.active_units()):
                    await trio.sleep(0.01)
            owner._cancel(owner.job_table.jobs_by_id["a"])
            await trio.sleep(1)
            self.assertEqual([], site.runs("a"))
            self.assertEqual(Phase.CANCELLED, site.phase("a"))

    async def test_a_removed_drained_worker_delays_no_start(self):
        async with open_site(workers=3) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            await site.submit("early", Step(3, SMALL))
            site.register(worker, draining=True)
            await site.wait_phase("early", Phase.COMPLETE)
            await trio.sleep(1)
            self.remove_worker(site, worker)
            await self.submit_without_owner(site)
            await site.wait_running("late", within=CLAIM_AND_START_SECONDS)
            self.assert_no_violations(site)

    async def test_a_removed_draining_worker_with_a_run_is_waited_for(self):
        async with open_site(workers=1) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            await site.submit("early", Step(1, SMALL))
            await site.wait_running("early")
            site.register(worker, draining=True)
            await trio.sleep(0.7)
            self.remove_worker(site, worker)
            site.add_worker(1)
            site.owner.kill()
            await trio.sleep(CLAIM_AND_START_SECONDS)
            self.assertEqual(1, len(site.runs("early")))
            await site.wait_phase("early", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_drained_worker_that_stays_gets_work_again(self):
        async with open_site(workers=1) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            site.register(worker, draining=True)
            await trio.sleep(2)
            site.register(worker, draining=False)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            site.owner.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(1, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_a_silent_worker_that_no_owner_used_delays_no_start(self):
        async with open_site(workers=2) as site:
            await self.submit_without_owner(site)
            worker = site.add_worker(7)
            site.workers.network_faults_by_address[worker.registration.address].partitioned = True
            await site.wait_running("late", within=CLAIM_AND_START_SECONDS)
            self.assert_no_violations(site)

    async def test_a_worker_replaced_by_another_incarnation_delays_no_start(self):
        async with open_site(workers=2) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            site.unregister(worker)
            site.workers.network_faults_by_address[
                worker.registration.address
            ].wrong_incarnation = True
            await self.submit_without_owner(site)
            await site.wait_running("late", within=CLAIM_AND_START_SECONDS)
            self.assert_no_violations(site)

    async def test_the_runs_of_a_replaced_worker_start_again_at_once(self):
        async with open_site(workers=2) as site:
            await site.submit("a", Step(1, WIDE, gang=True))
            await site.wait_running("a")
            record = site.runs("a")[0]
            number = int(record.worker.removeprefix("w"))
            worker = site.workers.workers_by_address[f"10.0.0.{number}:1"]
            worker.restart(2)
            site.workers.network_faults_by_address[
                worker.registration.address
            ].wrong_incarnation = True
            with trio.fail_after(CLAIM_AND_START_SECONDS):
                while len(site.runs("a")) < 2:
                    await trio.sleep(0.02)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)


class SilentWorkerTest(TrioTestCase):
    """Workers cut off while jobs arrive: nothing is started on a worker that does not reply."""

    mock_clock = True

    async def test_a_worker_gets_no_start_after_a_renewal_without_reply(self):
        async with open_site(workers=2) as site:
            faults = site.workers.network_faults_by_address["10.0.0.0:1"]
            faults.partitioned = True
            with trio.fail_after(5):
                while "worker-silent" not in {event.name for event in site.owner.telemetry.events}:
                    await trio.sleep(0.01)
            await site.submit("a", Step(2, WIDE))
            await site.wait_running("a", within=0.5)
            session = site.owner.cell.owner.fleet.sessions_by_id["w0"]
            self.assertEqual("silent", session.unusable_reason(site.clock.now()))
            self.assertEqual({}, session.task_runs_by_key)

    async def test_a_worker_that_replies_again_gets_work_before_a_long_poll_ends(self):
        async with open_site(workers=1) as site:
            faults = site.workers.network_faults_by_address["10.0.0.0:1"]
            faults.refused = True
            await trio.sleep(3)
            await site.submit("a", Step(1, SMALL))
            faults.refused = False
            await site.wait_running("a", within=0.5)


class DrainedWorkerStub:
    """Port to a draining worker that reports one ended run until it is acknowledged."""

    def __init__(self):
        self.acknowledged = []

    async def renew_lease(self, worker, order):
        self.acknowledged.append(order.acknowledged)
        await trio.sleep(0.1)
        ended = EndedRun(1, TaskId("a", 0, 0, 0), 7, RunEnd.DONE)
        return WorkerRunReport(1000, 1, (), () if order.acknowledged else (ended,))


class StoringOwnerStub:
    """Owner of a worker session; it stores ends once ``may_store`` is set."""

    def __init__(self):
        self.crash_blame = Mock()
        self.may_store = trio.Event()
        self.valid_until = TrioClock().now() + timedelta(hours=1)

    def __getattr__(self, name):
        return lambda *arguments: True

    async def wait_ends_stored(self, ended):
        await self.may_store.wait()


class LeavingWorkerTest(TrioTestCase):
    mock_clock = True

    async def test_a_drained_worker_is_not_empty_before_its_ends_are_stored(self):
        registration = WorkerRegistration(
            "w", "a:1", POOL, "z", "r", frozenset(), CAPACITY, draining=True, born=1
        )
        owner, workers = StoringOwnerStub(), DrainedWorkerStub()
        session = WorkerSession(
            registration, 1, workers, owner, TrioClock(), CellSettings(), MemoryTelemetry()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(5)
            self.assertTrue(session.synced)
            self.assertFalse(session.is_drained)
            owner.may_store.set()
            await trio.sleep(2)
            self.assertTrue(session.is_drained)
            self.assertIn(1, workers.acknowledged)
            nursery.cancel_scope.cancel()


class LostStartTest(TrioTestCase):
    mock_clock = True

    async def test_lost_starts_are_repeated_within_their_window(self):
        """Several orders in a row are lost; a gang would otherwise stop and start anew."""
        for lost_starts, within in ((1, 0.5), (3, 0.9)):
            with self.subTest(lost_starts=lost_starts):
                async with open_site(workers=1) as site:
                    for faults in site.workers.network_faults_by_address.values():
                        faults.lost_starts = lost_starts
                    await site.submit("a", Step(1, WIDE, gang=True))
                    await site.wait_running("a", within=within)
                    await site.wait_phase("a", Phase.COMPLETE)
                    self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])

    async def test_a_run_that_ends_before_its_start_is_repeated_counts(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(milliseconds=100)
            for faults in site.workers.network_faults_by_address.values():
                faults.lost_start_replies = 1
                faults.lost_renewal_replies = 1
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            await trio.sleep(2)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
            self.assertEqual([], site.violations())

    async def test_a_run_goes_on_when_its_worker_is_cut_off_before_its_start_is_repeated(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=3)
            for faults in site.workers.network_faults_by_address.values():
                faults.lost_start_replies = 1
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.workers.workers_by_address[f"10.0.0.{site.runs('a')[0].worker[1:]}:1"]
            faults = site.workers.network_faults_by_address[worker.registration.address]
            faults.refused = True
            await trio.sleep(2)
            self.assertEqual(1, len(site.runs("a")))
            faults.refused = False
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
            self.assertEqual([], site.violations())


class ReadinessTest(TrioTestCase):
    mock_clock = True

    async def test_a_node_that_the_store_refuses_is_not_ready_though_its_view_is_fresh(self):
        async with open_site() as site:
            node = site.other
            self.assertTrue(node.cell.is_ready())
            node.store.fault = "refused"
            await trio.sleep(1)
            self.assertTrue(node.cell.view.is_fresh())
            self.assertFalse(node.cell.is_ready())
            node.store.fault = ""
            await trio.sleep(0.5)
            self.assertTrue(node.cell.is_ready())
