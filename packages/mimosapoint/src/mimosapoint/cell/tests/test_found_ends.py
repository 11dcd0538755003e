"""Tests of ends that a new owner finds: a worker forgets them once they are acknowledged."""

from datetime import timedelta
from unittest.mock import patch

import trio

from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.keys import job_key
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.memory import TrioClock
from mimosapoint.ports import EndedRun, RunStatus
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Schedule, Step

SKEW = timedelta(seconds=3)
LATE_END_NUMBER = 1000


async def block(*args):
    """Take as long as a commit that the store does not reply to."""
    await trio.sleep_forever()


class FoundEndTest(TrioTestCase):
    mock_clock = True

    async def submit_early(self, site):
        """Submit a job to an owner whose clock is ahead, and return that owner.

        By the clock of the other node, the next owner, the occurrence is due in some seconds.
        """
        site.clock = TrioClock(site.clock.now() + SKEW)
        ahead = site.add_node()
        site.clock = TrioClock(site.clock.now() - SKEW)
        await trio.sleep(1)
        site.add_node()
        await trio.sleep(0.5)
        schedule = Schedule(site.clock.now() + SKEW, timedelta(minutes=10), 1)
        await site.submit("a", Step(2, SMALL), schedule=schedule, node=ahead)
        return ahead

    async def start_early(self, site, run_seconds):
        """Let the owner whose clock is ahead start the occurrence, and kill it."""
        site.simulation.run_time = timedelta(seconds=run_seconds)
        ahead = await self.submit_early(site)
        await site.wait_running("a", 2, within=1)
        ahead.kill()

    def assert_runs(self, site, *ends):
        self.assertEqual(list(ends), [record.end for record in site.runs("a")])
        self.assertEqual([], site.violations())

    # Guards against tasks that run again after they were done, as the end was found before the
    # occurrence was due by the clock of the new owner.
    async def test_the_end_of_an_occurrence_that_is_not_due_yet_is_kept(self):
        async with open_site(nodes=0, workers=2) as site:
            await self.start_early(site, run_seconds=0.3)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_runs(site, RunEnd.DONE, RunEnd.DONE)

    # Guards against the stop of runs that work well, and their start once more.
    async def test_a_run_of_an_occurrence_that_is_not_due_yet_goes_on(self):
        async with open_site(nodes=0, workers=2) as site:
            await self.start_early(site, run_seconds=2.5)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_runs(site, RunEnd.DONE, RunEnd.DONE)

    async def test_an_occurrence_that_failed_before_it_was_due_starts_again_when_it_is(self):
        async with open_site(nodes=0, workers=2) as site:
            site.simulation.failing_jobs.add("a")
            ahead = await self.submit_early(site)
            due_at = trio.current_time() + SKEW.total_seconds()
            with trio.fail_after(1):
                while not site.runs("a"):
                    await trio.sleep(0.001)
            ahead.kill()
            site.simulation.failing_jobs.clear()
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertGreaterEqual(site.runs("a")[-1].started_at, due_at - 0.25)

    async def run_task(self, site):
        """Start a long task on one of two workers; return its record, the owner and the other."""
        site.simulation.run_time = timedelta(seconds=30)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        record, owner = site.running("a")[0], site.owner.cell.owner
        # As after an earlier run, to which the tests give the number before.
        owner.job_table.jobs_by_id["a"].progress.first_run = record.run - 1
        sessions = owner.fleet.sessions_by_id.values()
        other = next(session for session in sessions if session.id != record.worker)
        return record, owner, other

    # Guards against an end that is acknowledged although no progress holds it.
    async def test_the_end_of_an_earlier_run_is_kept_while_another_one_works(self):
        async with open_site(nodes=2, workers=2) as site:
            record, owner, other = await self.run_task(site)
            done = EndedRun(LATE_END_NUMBER, record.task, record.run - 1, RunEnd.DONE, "")
            owner.on_unknown_run_ended(other.worker, done)
            await site.wait_phase("a", Phase.COMPLETE, within=2)
            await trio.sleep(1)
            self.assertEqual([RunEnd.STOPPED], [each.end for each in site.runs("a")])

    async def test_the_end_of_a_run_that_is_being_stopped_as_unwanted_is_kept(self):
        async with open_site(nodes=2, workers=2) as site:
            record, owner, other = await self.run_task(site)
            earlier = RunStatus(record.task, record.run - 1, "", 50)
            unwanted = owner.adopt_run(other.worker, earlier)
            other.worker.add(unwanted)
            other.end_task_run(unwanted, RunEnd.DONE)
            await site.wait_phase("a", Phase.COMPLETE, within=2)

    # Guards against a task that runs again after it was done, as an owner that could not read its
    # job has acknowledged the end.
    async def test_the_end_of_a_job_that_one_owner_cannot_read_is_kept(self):
        async with open_site(nodes=3, workers=2) as site:
            site.simulation.run_time = timedelta(milliseconds=300)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            site.owner.kill()
            record = site.store.peek(job_key("a"))
            site.store.put(job_key("a"), b"of another form")
            await trio.sleep(6)
            site.owner.kill()
            site.store.put(job_key("a"), record)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [each.end for each in site.runs("a")])

    # Guards against a task that runs again after it was done, as its worker, which had no
    # registration any more, left the roster before the end was stored.
    async def test_a_worker_without_registration_is_kept_until_its_ends_are_stored(self):
        async with open_site(nodes=2, workers=2) as site:
            site.simulation.run_time = timedelta(seconds=4)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.simulation.workers_by_id[site.runs("a")[0].worker]
            with patch.object(ProgressCommitter, "_commit", block):
                site.unregister(worker)
                await trio.sleep(8)
                site.owner.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [each.end for each in site.runs("a")])

    async def test_a_lost_worker_without_registration_is_removed_although_ends_are_not_stored(self):
        async with open_site(nodes=2, workers=2) as site:
            site.simulation.run_time = timedelta(milliseconds=300)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.simulation.workers_by_id[site.runs("a")[0].worker]
            sessions = site.owner.cell.owner.fleet.sessions_by_id
            with patch.object(ProgressCommitter, "_commit", block):
                await trio.sleep(1)
                site.unregister(worker)
                worker.is_down = True
                await trio.sleep(6)
                self.assertIn(worker.registration.id, sessions)
                await trio.sleep(9)
                self.assertNotIn(worker.registration.id, sessions)
