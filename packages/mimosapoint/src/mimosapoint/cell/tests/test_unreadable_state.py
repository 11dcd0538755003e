"""Tests of owners that cannot read a part of what earlier owners have stored."""

from datetime import timedelta

import orjson
import trio

from mimosapoint.cell.keys import ROSTER_KEY, job_key, progress_key
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

    async def start_on_silent_worker(self, site):
        """Start a task on a worker that is then cut off, and return the worker's id."""
        site.simulation.run_time = timedelta(seconds=30)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        worker = site.simulation.workers_by_id[site.runs("a")[0].worker]
        faults = site.workers.network_faults_by_address[worker.registration.address]
        faults.partitioned = True
        site.unregister(worker)
        return worker.registration.id

    # Guards against a second run beside the first, as an owner replaces a roster that it cannot
    # read whole, and the owner after it knows nothing of the worker that is missing.
    async def test_every_later_owner_waits_for_a_worker_that_the_roster_hides(self):
        async with open_site(workers=2) as site:
            silent = await self.start_on_silent_worker(site)
            roster = orjson.loads(site.store.peek(ROSTER_KEY))
            damaged = [5 if worker["id"] == silent else worker for worker in roster]
            site.store.put(ROSTER_KEY, orjson.dumps(damaged))
            await self.replace_owner(site)
            self.assertEqual(1, len(site.runs("a")))
            site.add_worker(2)
            await trio.sleep(1)
            await self.replace_owner(site)
            self.assertEqual([], site.violations())
            await trio.sleep(20)
            self.assertEqual([], site.violations())
            self.assertEqual(2, len(site.runs("a")))
