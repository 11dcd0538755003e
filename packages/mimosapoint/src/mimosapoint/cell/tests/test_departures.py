"""Tests of the pattern "workers taken at short notice": work moves before its worker leaves."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

NOTICE_MS = 2000
"""Time from the notice until the worker leaves."""


class DepartureTest(TrioTestCase):
    mock_clock = True

    def assert_no_violations(self, site):
        self.assertEqual([], site.violations())

    def worker_of(self, site, record):
        return site.workers.workers_by_address[f"10.0.0.{record.worker[1:]}:1"]

    def announce(self, site, worker, notice_ms=NOTICE_MS):
        site.register(worker, draining=True, leaves_at_ms=worker.clock_ms + notice_ms)

    def remove(self, site, worker):
        """End everything on a worker; nothing at its address replies afterwards."""
        site.unregister(worker)
        site.workers.network_faults_by_address[worker.registration.address].partitioned = True
        worker.restart(worker.born + 1)

    async def start_and_announce(self, site, step, run_seconds, worked_seconds):
        site.simulation.run_time = timedelta(seconds=run_seconds)
        await site.submit("a", step)
        await site.wait_running("a", step.count)
        await trio.sleep(worked_seconds)
        worker = self.worker_of(site, site.running("a")[0])
        self.announce(site, worker)
        return worker

    async def test_work_that_cannot_end_in_time_starts_elsewhere_before_its_worker_leaves(self):
        async with open_site(workers=2) as site:
            step = Step(1, WIDE, checkpoints=True)
            worker = await self.start_and_announce(site, step, 8, worked_seconds=2)
            await trio.sleep(NOTICE_MS / 1000)
            first, second = site.runs("a")
            self.assertEqual(RunEnd.STOPPED, first.end)
            self.assertNotEqual(first.worker, second.worker)
            self.remove(site, worker)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_gang_moves_whole(self):
        async with open_site(workers=6) as site:
            step = Step(3, WIDE, gang=True, checkpoints=True)
            worker = await self.start_and_announce(site, step, 8, worked_seconds=2)
            await trio.sleep(NOTICE_MS / 1000)
            self.remove(site, worker)
            await site.wait_phase("a", Phase.COMPLETE)
            ends = [record.end for record in site.runs("a")]
            self.assertLessEqual(set(ends[:3]), {RunEnd.STOPPED, RunEnd.BROKEN})
            self.assertEqual([RunEnd.DONE] * 3, ends[3:])
            self.assert_no_violations(site)

    async def test_a_stopped_gang_resumes_from_the_progress_that_the_stop_saved(self):
        """The first task that stops breaks the others, whose checkpoints are older."""
        async with open_site(workers=6) as site:
            step = Step(3, WIDE, gang=True, checkpoints=True)
            await self.start_and_announce(site, step, 8, worked_seconds=2)
            with trio.fail_after(3):
                while len(site.runs("a")) < 6:
                    await trio.sleep(0.02)
            first, second = site.runs("a")[:3], site.runs("a")[3:]
            self.assertIn(RunEnd.BROKEN, {record.end for record in first})
            saved = "saved-" + str(first[0].run)
            self.assertEqual({saved}, {record.checkpoint for record in second})

    async def test_a_gang_broken_by_a_lost_worker_starts_again_before_its_lease_expires(self):
        """A worker is gone without notice; the others report their part of the gang as broken."""
        async with open_site(workers=4) as site:
            site.simulation.run_time = timedelta(seconds=8)
            await site.submit("a", Step(3, WIDE, gang=True))
            await site.wait_running("a", 3)
            await trio.sleep(2)
            self.remove(site, self.worker_of(site, site.running("a")[0]))
            with trio.fail_after(site.settings.long_poll_wait.total_seconds() + 1.2):
                while len(site.runs("a")) < 6:
                    await trio.sleep(0.02)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_work_with_checkpoints_goes_on_until_there_is_just_time_for_a_stop(self):
        async with open_site(workers=2) as site:
            await self.start_and_announce(site, Step(1, WIDE, checkpoints=True), 8, 2)
            await trio.sleep(0.8)
            self.assertEqual(1, len(site.running("a")))
            await trio.sleep(1.2)
            first, second = site.runs("a")
            self.assertEqual(RunEnd.STOPPED, first.end)
            self.assertEqual("saved-" + str(first.run), second.checkpoint)

    async def test_work_without_checkpoints_is_left_to_end(self):
        """A stop would throw its work away, and its worker may stay longer than announced."""
        async with open_site(workers=2) as site:
            await self.start_and_announce(site, Step(1, WIDE), 8, worked_seconds=2)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])

    async def test_work_that_ends_in_time_is_left_alone(self):
        async with open_site(workers=2) as site:
            await self.start_and_announce(site, Step(4, SMALL), 4, worked_seconds=2.5)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE] * 4, [record.end for record in site.runs("a")])

    async def test_work_on_a_worker_that_announces_no_time_is_left_alone(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=6)
            await site.submit("a", Step(1, WIDE))
            await site.wait_running("a")
            site.register(self.worker_of(site, site.runs("a")[0]), draining=True)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
