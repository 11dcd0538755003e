"""Tests of the network between a cell and its simulated workers."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step


class LateStartTest(TrioTestCase):
    mock_clock = True

    # Guards against a worker that starts a run while it is down.
    async def test_a_late_start_has_no_effect_on_a_worker_that_is_down(self):
        async with open_site(workers=1) as site:
            faults = site.workers.network_faults_by_address["10.0.0.0:1"]
            faults.start_delay = timedelta(seconds=0.5)
            await site.submit("a", Step(1, SMALL))
            await trio.sleep(0.2)
            faults.start_delay = None
            site.nursery.start_soon(site.simulation.workers_by_id["w0"].crash)
            await trio.sleep(1.5)
            self.assertEqual([], site.runs("a"))
            await site.wait_running("a")


class NetworkFaultTest(TrioTestCase):
    mock_clock = True

    # Guards against a fault that stops orders as well as replies, so that no worker ever has a run
    # of which the owner knows nothing.
    async def test_a_call_whose_reply_is_lost_takes_effect_and_one_that_is_reset_does_not(self):
        for name, runs in (("loses_replies", 1), ("reset", 0)):
            with self.subTest(fault=name):
                async with open_site(workers=1) as site:
                    faults = site.workers.network_faults_by_address["10.0.0.0:1"]
                    setattr(faults, name, True)
                    await site.submit("a", Step(1, SMALL))
                    await trio.sleep(0.5)
                    self.assertEqual(runs, len(site.runs("a")))

    # Guards against orders that still reach a worker at an address that it has left.
    async def test_a_worker_that_moved_replies_at_its_present_address_only(self):
        async with open_site(workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            site.workers.network_faults_by_address["10.0.0.0:1"].start_delay = timedelta(seconds=1)
            await site.submit("a", Step(1, SMALL))
            await trio.sleep(0.2)
            worker.restart(worker.born + 1)
            site.workers.move(worker, "10.0.0.9:1")
            await trio.sleep(2)
            self.assertEqual([], site.runs("a"))
            site.register(worker, born=worker.born)
            await site.wait_running("a")
