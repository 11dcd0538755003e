"""Tests of owners that cannot read a part of what earlier owners have stored."""

from datetime import timedelta

import trio

from mimosapoint.cell.keys import job_key, progress_key
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step

DAMAGED = b"of another form"


class UnreadableStateTest(TrioTestCase):
    mock_clock = True

    async def complete_job(self, site):
        site.simulation.run_time = timedelta(milliseconds=300)
        await site.submit("a", Step(1, SMALL))
        await site.wait_phase("a", Phase.COMPLETE)

    async def replace_owner(self, site):
        site.owner.kill()
        await trio.sleep(3)

    # Guards against a job that starts again after its end, as a scan of the inbox took it for a new
    # one, although its progress is stored and cannot be read.
    async def test_a_job_of_unreadable_progress_does_not_start_after_a_scan(self):
        async with open_site(workers=2) as site:
            await self.complete_job(site)
            site.store.put(progress_key("a"), DAMAGED)
            await self.replace_owner(site)
            site.store.compact_history()
            await trio.sleep(3)
            self.assertEqual(1, len(site.runs("a")))
            self.assertEqual(DAMAGED, site.store.peek(progress_key("a")))

    # Guards against a job that starts again after its end, as its record is repaired while an owner
    # runs that could not read it.
    async def test_a_repaired_job_keeps_its_progress(self):
        async with open_site(workers=2) as site:
            await self.complete_job(site)
            record = site.store.peek(job_key("a"))
            site.store.put(job_key("a"), DAMAGED)
            await self.replace_owner(site)
            site.store.put(job_key("a"), record)
            await trio.sleep(3)
            self.assertEqual(1, len(site.runs("a")))
            self.assertIs(Phase.COMPLETE, site.phase("a"))
