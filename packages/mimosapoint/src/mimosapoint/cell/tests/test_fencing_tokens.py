"""Tests of refused fencing tokens: which refusals end an ownership."""

import trio

from mimosapoint.cell.keys import EPOCH_KEY
from mimosapoint.cell.order_token import order_token
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step


class FencingTokenTest(TrioTestCase):
    mock_clock = True

    async def run_job(self, site, job):
        await site.submit(job, Step(1, SMALL))
        await site.wait_phase(job, Phase.COMPLETE)

    # Guards against an owner that starts nothing more, for good, as a worker has seen a higher
    # token of its own.
    async def test_a_worker_that_restarts_while_it_is_not_registered_fences_no_owner(self):
        async with open_site(nodes=2, workers=3) as site:
            owner, worker = site.owner, site.simulation.workers_by_id["w0"]
            site.unregister(worker)
            worker.restart(worker.born + 1)
            with trio.fail_after(20):
                while "w0" in owner.cell.owner.fleet.sessions_by_id:
                    await trio.sleep(0.05)
            site.register(worker, born=worker.born)
            await trio.sleep(3)
            await self.run_job(site, "a")
            self.assertIs(owner, site.owner)
            self.assertTrue(owner.cell.owner.fleet.sessions_by_id["w0"].synced)
            self.assertNotIn("token-refused", owner.telemetry.event_names())

    # Guards against one worker with a token of unknown origin that stops the whole cell.
    async def test_a_refused_token_of_the_present_epoch_concerns_one_worker(self):
        async with open_site(nodes=2, workers=3) as site:
            owner, worker = site.owner, site.simulation.workers_by_id["w0"]
            worker.token += 3
            await trio.sleep(1.5)
            self.assertIn("token-refused", owner.telemetry.event_names())
            await self.run_job(site, "a")
            await trio.sleep(3)
            self.assertIs(owner, site.owner)
            self.assertIn("ownership-confirmed", owner.telemetry.event_names())
            self.assertTrue(owner.cell.owner.fleet.sessions_by_id["w0"].is_reachable)
            self.assertEqual([], site.violations())

    async def test_an_owner_whose_epoch_is_over_ends_at_the_first_refusal(self):
        async with open_site(nodes=2, workers=3) as site:
            owner, worker = site.owner, site.simulation.workers_by_id["w0"]
            newer_epoch = owner.cell.owner.epoch + 1
            site.store.put(EPOCH_KEY, str(newer_epoch).encode())
            worker.token = order_token(newer_epoch, 1)
            await trio.sleep(1.5)
            events = owner.telemetry.event_names()
            outcome = events[events.index("token-refused") + 1]
            self.assertEqual("cell-given-up", outcome)
