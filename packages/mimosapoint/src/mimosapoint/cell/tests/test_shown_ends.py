"""Tests that the end of a job that callers were shown holds for every later owner."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step


class ShownEndTest(TrioTestCase):
    """Callers ask every node for a job that ends around an outage of the store."""

    mock_clock = True

    async def start_job(self, site):
        site.simulation.run_time = timedelta(seconds=2)
        await site.submit("a", Step(2, SMALL))
        await site.wait_running("a", 2)

    async def lose_owner_and_workers(self, site):
        """Kill the owner and let all workers crash."""
        site.owner.kill()
        for worker in site.workers.workers_by_address.values():
            site.nursery.start_soon(worker.crash)
        await trio.sleep(1)

    # Guards against a job that was shown as complete from the memory of an owner, and starts again
    # when this owner and the workers are lost before the store is back.
    async def test_a_job_shown_as_ended_does_not_start_again(self):
        async with open_site(workers=3) as site:
            await self.start_job(site)
            site.store.faults.refuse = True
            await trio.sleep(3)
            shown = [await site.read_phase(node, "a") for node in site.nodes]
            shown_at = trio.current_time()
            await self.lose_owner_and_workers(site)
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)
            started_again = [run for run in site.runs("a") if run.started_at > shown_at]
            self.assertFalse(Phase.COMPLETE in shown and started_again)
            self.assertEqual([], site.violations())

    # Guards against callers that are refused the end of a job although it is stored.
    async def test_a_stored_end_is_shown_during_the_outage(self):
        async with open_site(workers=3) as site:
            await self.start_job(site)
            await site.wait_phase("a", Phase.COMPLETE)
            site.store.faults.refuse = True
            await trio.sleep(3)
            self.assertIs(Phase.COMPLETE, await site.read_phase(site.owner, "a"))
            await self.lose_owner_and_workers(site)
            site.store.faults.refuse = False
            await trio.sleep(5)
            self.assertEqual(2, len(site.runs("a")))
