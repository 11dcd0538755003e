"""Tests of ends that are lost, or counted for a later job of the same id."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.cell.keys import job_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.codec import decode
from mimosapoint.errors import StoreTimeout
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import JobProgress, Phase, RunEnd, Schedule, Step


class MisplacedEndTest(TrioTestCase):
    mock_clock = True

    async def complete(self, site, job, run_seconds=0.3):
        site.simulation.run_time = timedelta(seconds=run_seconds)
        await site.submit(job, Step(1, SMALL))
        await site.wait_phase(job, Phase.COMPLETE)

    def starts_after(self, site, job, time):
        return [run for run in site.runs(job) if run.started_at > time]

    # Guards against a renewal that is carried out late, by an incarnation that it was not meant
    # for, which then forgets an end that no owner has seen.
    async def test_a_late_renewal_drops_no_end_of_the_next_incarnation(self):
        async with open_site(nodes=2, workers=1) as site:
            await self.complete(site, "a")
            worker = site.simulation.workers_by_id["w0"]
            await trio.sleep(1)
            held, arrives = [], trio.Event()
            renew = worker.renew_lease

            async def arrive_late(order):
                if order.acknowledged and not held:
                    held.append(order)
                    await arrives.wait()
                return await renew(attrs.evolve(order, wait=timedelta(0)))

            worker.renew_lease = arrive_late
            with trio.fail_after(3):
                while not held:
                    await trio.sleep(0.005)
            worker.restart(worker.born + 1)
            site.simulation.run_time = timedelta(milliseconds=50)
            await site.submit("b", Step(1, SMALL))
            with trio.fail_after(0.9):
                while not worker.ended:
                    await trio.sleep(0.005)
            arrives.set()
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("b")])

    # Guards against an end of a removed job that counts for a later job of the same id.
    async def test_the_end_of_a_removed_job_does_not_end_its_successor(self):
        settings = CellSettings(retention=timedelta(seconds=3))
        async with open_site(nodes=2, workers=2, settings=settings) as site:
            site.simulation.run_time = timedelta(seconds=2)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.runs("a")[0].worker
            for node in site.nodes:
                node.workers.unreachable.add(worker)
            await site.wait_phase("a", Phase.COMPLETE, within=30)
            with trio.fail_after(30):
                while site.store.peek(job_key("a")) is not None:
                    await trio.sleep(0.1)
            before = len(site.runs("a"))
            site.simulation.run_time = timedelta(seconds=8)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            for node in site.nodes:
                node.workers.unreachable.clear()
            await site.wait_phase("a", Phase.COMPLETE, within=30)
            later = site.runs("a")[before:]
            self.assertIn(RunEnd.DONE, [run.end for run in later])

    async def remove_beside_silent_worker(self, site):
        """Complete and remove job a, whose first run ends on a worker that is cut off."""
        site.simulation.run_time = timedelta(seconds=2)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        for node in site.nodes:
            node.workers.unreachable.add(site.runs("a")[0].worker)
        await site.wait_phase("a", Phase.COMPLETE, within=30)
        with trio.fail_after(30):
            while site.store.peek(job_key("a")) is not None:
                await trio.sleep(0.1)
        site.simulation.run_time = timedelta(seconds=15)
        return len(site.runs("a"))

    # Guards against the same after the loss of the owners that know which runs were of which job.
    async def test_a_later_owner_tells_the_end_of_a_removed_job_from_that_of_its_successor(self):
        settings = CellSettings(retention=timedelta(seconds=3))
        for losses in (1, 2):
            with self.subTest(losses=losses):
                async with open_site(nodes=4, workers=2, settings=settings) as site:
                    before = await self.remove_beside_silent_worker(site)
                    await site.submit("a", Step(1, SMALL))
                    await site.wait_running("a")
                    for _ in range(losses):
                        site.owner.kill()
                        await trio.sleep(2.5)
                    for node in site.nodes:
                        node.workers.unreachable.clear()
                    await site.wait_phase("a", Phase.COMPLETE, within=30)
                    self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("a")[before:]])

    # Guards against a job that is complete without any run, for the end of a removed one.
    async def test_the_end_of_a_removed_job_does_not_end_a_job_that_waits(self):
        settings = CellSettings(retention=timedelta(seconds=3))
        async with open_site(nodes=2, workers=2, settings=settings) as site:
            before = await self.remove_beside_silent_worker(site)
            schedule = Schedule(site.clock.now() + timedelta(seconds=4), timedelta(minutes=10), 1)
            await site.submit("a", Step(1, SMALL), schedule=schedule)
            for node in site.nodes:
                node.workers.unreachable.clear()
            await site.wait_phase("a", Phase.COMPLETE, within=30)
            self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("a")[before:]])

    def test_progress_of_an_earlier_version_may_include_any_run(self):
        progress = decode(b'{"phase": "running"}', JobProgress)
        self.assertTrue(progress.may_include(1))

    # Guards against an owner that is cut off from the store and tells the end of a job that was
    # removed, although its id has been accepted again.
    async def test_the_end_of_a_removed_job_is_not_told_for_its_successor(self):
        settings = CellSettings(retention=timedelta(seconds=3))
        async with open_site(nodes=2, workers=2, settings=settings) as site:
            await self.complete(site, "a")
            owner, other = site.owner, site.other
            commit = site.store.commit

            async def commit_without_reply(conditions, writes=(), removals=()):
                revision = await commit(conditions, writes, removals)
                if removals:
                    owner.store.fault = "refused"
                    site.store.commit = commit
                    raise StoreTimeout("the reply was lost")
                return revision

            site.store.commit = commit_without_reply
            with trio.fail_after(30):
                while owner.store.fault != "refused":
                    await trio.sleep(0.05)
            self.assertIsNone(site.store.peek(job_key("a")))
            schedule = Schedule(site.clock.now() + timedelta(seconds=4), timedelta(minutes=10), 1)
            await site.submit("a", Step(1, SMALL), node=other, schedule=schedule)
            await trio.sleep(0.5)
            told = owner.cell.gateway.outage_reads.phase("h", "/normal/a", "key")
            told_at = trio.current_time()
            await trio.sleep(8)
            started = self.starts_after(site, "a", told_at + 1)
            self.assertFalse(told is Phase.COMPLETE and started)

    # Guards against a read whose two parts are of a removed job and of its successor.
    async def test_a_read_does_not_mix_a_removed_job_and_its_successor(self):
        settings = CellSettings(retention=timedelta(seconds=2))
        async with open_site(nodes=2, workers=2, settings=settings) as site:
            await self.complete(site, "a")
            node, get, told = site.other, site.store.get, []
            is_accepted = trio.Event()

            async def get_record_late(key):
                if key == job_key("a"):
                    await is_accepted.wait()
                return await get(key)

            async def read():
                told.append(await node.cell.gateway.phase("t", "a"))

            await trio.sleep(1.7)
            site.store.get = get_record_late
            site.nursery.start_soon(read)
            with trio.fail_after(10):
                while site.store.peek(job_key("a")) is not None:
                    await trio.sleep(0.02)
            schedule = Schedule(site.clock.now() + timedelta(seconds=4), timedelta(minutes=10), 1)
            await site.submit("a", Step(1, SMALL), node=node, schedule=schedule)
            is_accepted.set()
            await trio.sleep(0.5)
            self.assertEqual([Phase.QUEUED], told)
