"""Tests of gangs whose first end is on a silent worker, and of the attempts that are left."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import WIDE, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

MAX_ATTEMPTS = 3
GANG_SIZE = 3


class BrokenGangTest(TrioTestCase):
    mock_clock = True

    async def fail_attempt(self, site, attempt, cut):
        """Let one task of the newest run fail, and cut its worker off before if asked to."""
        await site.wait_running("a", GANG_SIZE)
        await trio.sleep(0.5)
        record = site.running("a")[0]
        self.assertEqual(GANG_SIZE * attempt, len(site.runs("a")))
        worker = site.simulation.workers_by_id[record.worker]
        faults = site.workers.network_faults_by_address[worker.registration.address]
        faults.partitioned = cut
        worker._end_run(record, RunEnd.FAILED)
        return faults

    # Guards against one more start after the last permitted failure, which the owner did not know.
    async def test_a_gang_waits_for_an_end_that_may_be_its_last_permitted_failure(self):
        async with open_site(workers=6) as site:
            site.simulation.run_time = timedelta(seconds=60)
            await site.submit("a", Step(GANG_SIZE, WIDE, gang=True))
            for attempt in range(1, MAX_ATTEMPTS):
                await self.fail_attempt(site, attempt, cut=False)
            faults = await self.fail_attempt(site, MAX_ATTEMPTS, cut=True)
            await trio.sleep(3)
            self.assertIn("end-awaited", site.owner.telemetry.event_names())
            faults.partitioned = False
            await site.wait_phase("a", Phase.FAILED)
            await trio.sleep(1)
            self.assertEqual(GANG_SIZE * MAX_ATTEMPTS, len(site.runs("a")))

    # Guards against failures on silent workers that are not counted until they are reported.
    async def test_unseen_ends_of_earlier_attempts_count_as_failures(self):
        async with open_site(workers=6) as site:
            site.simulation.run_time = timedelta(seconds=60)
            await site.submit("a", Step(GANG_SIZE, WIDE, gang=True))
            faults = [
                await self.fail_attempt(site, attempt, cut=True)
                for attempt in range(1, MAX_ATTEMPTS + 1)
            ]
            await trio.sleep(2)
            for each in faults:
                each.partitioned = False
            await site.wait_phase("a", Phase.FAILED)
            await trio.sleep(1)
            self.assertEqual(GANG_SIZE * MAX_ATTEMPTS, len(site.runs("a")))

    # Guards against a gang that waits for ever for a worker that does not come back.
    async def test_a_gang_starts_again_when_the_lease_of_the_silent_worker_is_over(self):
        async with open_site(workers=6) as site:
            site.simulation.run_time = timedelta(seconds=5)
            await site.submit("a", Step(GANG_SIZE, WIDE, gang=True))
            for attempt in range(1, MAX_ATTEMPTS):
                await self.fail_attempt(site, attempt, cut=False)
            await self.fail_attempt(site, MAX_ATTEMPTS, cut=True)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(GANG_SIZE * (MAX_ATTEMPTS + 1), len(site.runs("a")))
