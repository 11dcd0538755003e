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
