"""What a new owner waits for, and what it need not wait for."""

from datetime import timedelta

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, POOL, SMALL, WIDE, open_site
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.memory import TrioClock
from mimosapoint.ports import EndedRun, WorkerRegistration, WorkerRunReport
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step, TaskId

SOON_SECONDS = 2.5
"""A claim and a start; far below the 6 s after which a silent worker's lease has lapsed."""


class TakeoverTest(TrioTestCase):
    mock_clock = True

    def check(self, site):
        self.assertEqual([], site.violations())

    def take_worker_away(self, site, worker):
        """Take a worker away: its entry is removed and it answers no more."""
        site.unregister(worker)
        site.workers.link_faults_by_address[worker.registration.address].partitioned = True

    async def accept_and_kill(self, site):
        """Have a job accepted that the owner never hears of, and kill the owner."""
        owner, entry = site.owner, site.other
        owner.kill()
        await site.submit("late", Step(1, SMALL), node=entry)

    async def test_a_drained_worker_that_has_gone_holds_nothing_up(self):
        async with open_site(workers=3) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            await site.submit("early", Step(3, SMALL))
            site.register(worker, draining=True)
            await site.wait_phase("early", Phase.COMPLETE)
            await trio.sleep(1)
            self.take_worker_away(site, worker)
            await self.accept_and_kill(site)
            await site.wait_running("late", within=SOON_SECONDS)
            self.check(site)

    async def test_a_worker_that_drains_with_work_is_waited_for(self):
        async with open_site(workers=1) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            await site.submit("early", Step(1, SMALL))
            await site.wait_running("early")
            site.register(worker, draining=True)
            await trio.sleep(0.7)
            self.take_worker_away(site, worker)
            site.add_worker(1)
            site.owner.kill()
            await trio.sleep(SOON_SECONDS)
            self.assertEqual(1, len(site.runs("early")))
            await site.wait_phase("early", Phase.COMPLETE)
            self.check(site)

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
            self.check(site)

    async def test_a_silent_worker_that_no_owner_used_holds_nothing_up(self):
        async with open_site(workers=2) as site:
            await self.accept_and_kill(site)
            worker = site.add_worker(7)
            site.workers.link_faults_by_address[worker.registration.address].partitioned = True
            await site.wait_running("late", within=SOON_SECONDS)
            self.check(site)

    async def test_a_worker_whose_place_another_life_has_taken_holds_nothing_up(self):
        async with open_site(workers=2) as site:
            worker = next(iter(site.workers.workers_by_address.values()))
            site.unregister(worker)
            site.workers.link_faults_by_address[worker.registration.address].wrong_incarnation = (
                True
            )
            await self.accept_and_kill(site)
            await site.wait_running("late", within=SOON_SECONDS)
            self.check(site)

    async def test_the_work_of_a_replaced_worker_starts_elsewhere_at_once(self):
        async with open_site(workers=2) as site:
            await site.submit("a", Step(1, WIDE, gang=True))
            await site.wait_running("a")
            record = site.runs("a")[0]
            number = int(record.worker.removeprefix("w"))
            worker = site.workers.workers_by_address[f"10.0.0.{number}:1"]
            worker.restart(2)
            site.workers.link_faults_by_address[worker.registration.address].wrong_incarnation = (
                True
            )
            with trio.fail_after(SOON_SECONDS):
                while len(site.runs("a")) < 2:
                    await trio.sleep(0.02)
            await site.wait_phase("a", Phase.COMPLETE)
            self.check(site)


class DrainedWorkers:
    """A draining worker on which a run has ended, as the owner's link asks it."""

    def __init__(self):
        self.acknowledged = []

    async def hold(self, worker, order):
        self.acknowledged.append(order.acknowledged)
        await trio.sleep(0.1)
        ended = EndedRun(1, TaskId("a", 0, 0, 0), 7, RunEnd.DONE)
        return WorkerRunReport(1000, 1, (), () if order.acknowledged else (ended,))


class StoringOwnerStub:
    """The owner's side of a link; it stores ends when it is told to."""

    def __init__(self):
        self.may_store = trio.Event()

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
        events, workers = StoringOwnerStub(), DrainedWorkers()
        link = WorkerSession(
            registration, 1, workers, events, TrioClock(), CellSettings(), MemoryTelemetry()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await trio.sleep(5)
            self.assertTrue(link.synced)
            self.assertFalse(link.is_drained)
            events.may_store.set()
            await trio.sleep(2)
            self.assertTrue(link.is_drained)
            self.assertIn(1, workers.acknowledged)
            nursery.cancel_scope.cancel()


class LostStartTest(TrioTestCase):
    mock_clock = True

    async def test_a_start_that_is_lost_is_ordered_again_within_its_time(self):
        async with open_site(workers=1) as site:
            for link in site.workers.link_faults_by_address.values():
                link.lost_starts = 1
            await site.submit("a", Step(1, WIDE, gang=True))
            await site.wait_running("a", within=0.5)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])

    async def test_a_run_that_ends_before_its_start_is_repeated_counts(self):
        async with open_site(workers=2) as site:
            site.pool.run_time = timedelta(milliseconds=100)
            for link in site.workers.link_faults_by_address.values():
                link.lost_start_replies = 1
                link.lost_renewal_replies = 1
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            await trio.sleep(2)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
            self.assertEqual([], site.violations())

    async def test_a_run_goes_on_when_its_worker_is_cut_off_before_its_start_is_repeated(self):
        async with open_site(workers=2) as site:
            site.pool.run_time = timedelta(seconds=3)
            for link in site.workers.link_faults_by_address.values():
                link.lost_start_replies = 1
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.workers.workers_by_address[f"10.0.0.{site.runs('a')[0].worker[1:]}:1"]
            link = site.workers.link_faults_by_address[worker.registration.address]
            link.refused = True
            await trio.sleep(2)
            self.assertEqual(1, len(site.runs("a")))
            link.refused = False
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
            self.assertEqual([], site.violations())


class ReadinessTest(TrioTestCase):
    mock_clock = True

    async def test_a_node_that_the_store_turns_away_is_not_ready_before_its_view_is_old(self):
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
