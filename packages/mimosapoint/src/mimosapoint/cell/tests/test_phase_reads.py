"""Tests of the reads of the simulated callers, and that the checks find what they are shown."""

from datetime import timedelta
from unittest import mock

import trio

from mimosapoint.cell.outage_reads import OutageReads
from mimosapoint.cell.tests._cell_faults import STOP_BOUND_SECONDS
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.cell.tests.test_fault_pairs import play
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.cell_checks import check_cell
from mimosapoint.workload import Phase, Step

SHOWN_ENDS_PROMISE = "nothing starts of a job that was shown as ended"
OUTAGES = ("outage, then the owner killed", "outage, then the owner stopped as planned")
SEED = 1


def show_unstored_end(reads, host, path, key):
    """Reply with an end that only the owner's memory holds, as a broken version does."""
    job = reads._find_job(path.rpartition("/")[2])
    return job.progress.phase if job is not None and job.progress.phase.ended else None


class PhaseReadTest(TrioTestCase):
    mock_clock = True

    async def run_job(self, site):
        site.simulation.run_time = timedelta(seconds=2)
        await site.submit("a", Step(2, SMALL))
        await site.wait_running("a", 2)

    async def test_a_node_without_the_store_forwards_a_read(self):
        async with open_site(workers=1) as site:
            await self.run_job(site)
            for node in site.nodes:
                with self.subTest(node=node.name):
                    node.store.fault = "refused"
                    self.assertIs(Phase.RUNNING, await site.read_phase(node, "a"))
                    node.store.fault = ""
            self.assertEqual(3, len(site.phases))

    async def test_a_killed_or_suspended_node_shows_nothing(self):
        async with open_site(workers=1) as site:
            await self.run_job(site)
            await site.wait_phase("a", Phase.COMPLETE)
            killed, suspended = site.owner, site.other
            killed.kill()
            suspended.freeze_control.freeze()
            site.phases.clear()
            self.assertIsNone(await site.read_phase(killed, "a"))
            self.assertIsNone(await site.read_phase(suspended, "a"))
            self.assertEqual([], site.phases)

    # Guards against checks that excuse a second run because its worker lost the end of the first,
    # although callers had been shown that the job is complete.
    async def test_a_job_that_starts_after_its_shown_end_is_found(self):
        with mock.patch.object(OutageReads, "phase", show_unstored_end):
            async with open_site(workers=3) as site:
                await self.run_job(site)
                site.store.faults.refuse = True
                await trio.sleep(3)
                self.assertIs(Phase.COMPLETE, await site.read_phase(site.other, "a"))
                self.assertEqual([], site.violations())
                site.owner.kill()
                for worker in site.workers.workers_by_address.values():
                    site.nursery.start_soon(worker.crash)
                await trio.sleep(1)
                site.store.faults.refuse = False
                await site.wait_running("a", 2)
                self.assertEqual(2, len(site.violations()))
                self.assertIs(Phase.RUNNING, await site.read_phase(site.other, "a"))
                self.assertEqual(3, len(site.violations()))


class BrokenVersionTest(TrioTestCase):
    mock_clock = True

    # Guards against faults that a version passes whose owner shows ends it has not stored.
    def test_the_faults_find_unstored_ends(self):
        for name in OUTAGES:
            with self.subTest(fault=name):
                with mock.patch.object(OutageReads, "phase", show_unstored_end):
                    history = trio.run(
                        play, (name,), SEED, STOP_BOUND_SECONDS, clock=self._make_clock()
                    )
                violated = {result.promise for result in check_cell(history) if result.violations}
                self.assertIn(SHOWN_ENDS_PROMISE, violated)
