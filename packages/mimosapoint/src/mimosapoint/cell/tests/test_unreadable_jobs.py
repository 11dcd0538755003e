"""Tests of stored jobs that one owner cannot read."""

from datetime import timedelta

import trio

from mimosapoint.cell.keys import job_key, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

OTHER_FORM = b"of another form"


class UnreadableJobTest(TrioTestCase):
    mock_clock = True

    async def complete_one_of_two_steps(self, site):
        """Let the first of two steps end, and kill the owner during the second."""
        site.simulation.run_time = timedelta(milliseconds=300)
        await site.submit("a", Step(1, SMALL), Step(1, SMALL, after=(0,)))
        await site.wait_running("a")
        site.simulation.run_time = timedelta(seconds=30)
        with trio.fail_after(5):
            while len(site.runs("a")) < 2:
                await trio.sleep(0.02)
        site.simulation.run_time = timedelta(milliseconds=300)
        site.owner.kill()

    def assert_first_step_ran_once(self, site):
        ends = [each.end for each in site.runs("a") if each.task.step == 0]
        self.assertEqual([RunEnd.DONE], ends)
        self.assertEqual([], site.violations())

    # Guards against tasks that run again after they were done, as a job whose record had been
    # repaired was taken for one without progress.
    async def test_a_job_that_becomes_readable_goes_on_from_its_progress(self):
        async with open_site(nodes=2, workers=2) as site:
            await self.complete_one_of_two_steps(site)
            record = site.store.peek(job_key("a"))
            site.store.put(job_key("a"), OTHER_FORM)
            await trio.sleep(6)
            site.store.put(job_key("a"), record)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_first_step_ran_once(site)

    # Guards against tasks that run again after they were done, as a job with unreadable progress
    # was taken for one without progress once the inbox was scanned again.
    async def test_a_scan_of_the_inbox_does_not_replace_unreadable_progress(self):
        async with open_site(nodes=2, workers=2) as site:
            await self.complete_one_of_two_steps(site)
            progress = site.store.peek(progress_key("a"))
            site.store.put(progress_key("a"), OTHER_FORM)
            await trio.sleep(6)
            site.store.compact_history()
            await trio.sleep(3)
            self.assertEqual(OTHER_FORM, site.store.peek(progress_key("a")))
            site.store.put(progress_key("a"), progress)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_first_step_ran_once(site)

    async def test_a_cancellation_of_a_job_that_becomes_readable_is_heeded(self):
        async with open_site(nodes=3, workers=2) as site:
            await self.complete_one_of_two_steps(site)
            record = site.store.peek(job_key("a"))
            site.store.put(job_key("a"), OTHER_FORM)
            await trio.sleep(6)
            site.store.put("inbox/cancel/a", b"")
            site.store.put(job_key("a"), record)
            await site.wait_phase("a", Phase.CANCELLED)

    async def test_a_job_that_was_removed_is_not_read_again(self):
        async with open_site(nodes=2, workers=2) as site:
            await self.complete_one_of_two_steps(site)
            site.store.put(job_key("a"), OTHER_FORM)
            await trio.sleep(6)
            self.assertEqual({"a"}, site.owner.cell.owner.job_table.unreadable_ids)
            site.store.apply({}, (), [job_key("a"), progress_key("a")])
            await trio.sleep(2)
            self.assertEqual(set(), site.owner.cell.owner.job_table.unreadable_ids)

    # Guards against a job that is complete and starts again, as its repaired record was taken for
    # that of a later job of the same id.
    async def test_the_repair_of_the_record_of_an_ended_job_starts_nothing(self):
        async with open_site(nodes=2, workers=2) as site:
            site.simulation.run_time = timedelta(milliseconds=300)
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            record = site.store.peek(job_key("a"))
            site.store.put(job_key("a"), OTHER_FORM)
            await trio.sleep(2)
            site.store.put(job_key("a"), record)
            await trio.sleep(4)
            self.assertEqual([RunEnd.DONE], [each.end for each in site.runs("a")])
            self.assertIs(Phase.COMPLETE, site.phase("a"))

    # Guards against the same of a job that was not removed after its retention time, as its
    # progress had been written anew.
    async def test_a_job_that_could_not_be_removed_starts_nothing(self):
        settings = CellSettings(retention=timedelta(seconds=5))
        async with open_site(nodes=2, workers=2, settings=settings) as site:
            site.simulation.run_time = timedelta(milliseconds=300)
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            site.store.put(progress_key("a"), site.store.peek(progress_key("a")))
            await trio.sleep(7)
            site.store.compact_history()
            await trio.sleep(3)
            self.assertEqual([RunEnd.DONE], [each.end for each in site.runs("a")])
            await trio.sleep(7)
            self.assertIsNone(site.store.peek(job_key("a")))
