"""Tests of a store outage under load: callers ask for jobs that end while the store is away."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step


class OutageReadsTest(TrioTestCase):
    """The outage begins while short jobs run, and lasts until after they have ended."""

    mock_clock = True

    def phase(self, site, job="job", key="key"):
        return site.owner.cell.gateway.outage_reads.phase("h", f"/urgent/{job}", key)

    # Guards against an end that is told and then lost with the owner and the workers.
    async def test_an_end_is_told_once_it_is_stored(self):
        async with open_site(workers=3) as site:
            site.simulation.run_time = timedelta(seconds=2)
            await site.submit("job", Step(2, SMALL), queue=0)
            await site.wait_running("job", 2)
            self.assertIsNone(self.phase(site), "a job that runs may be cancelled elsewhere")
            site.store.faults.refuse = True
            await trio.sleep(3)
            self.assertEqual([], site.running("job"))
            self.assertIsNone(self.phase(site), "the next owner may not learn of this end")
            site.store.faults.refuse = False
            await site.wait_phase("job", Phase.COMPLETE)

    # Guards against callers that are refused an end although it is stored.
    async def test_a_stored_end_is_told_during_the_outage(self):
        async with open_site(workers=3) as site:
            site.simulation.run_time = timedelta(seconds=2)
            await site.submit("job", Step(2, SMALL), queue=0)
            await site.wait_phase("job", Phase.COMPLETE)
            site.store.faults.refuse = True
            await trio.sleep(3)
            self.assertEqual(Phase.COMPLETE, self.phase(site))
            self.assertIsNone(self.phase(site, key="other"))
            self.assertIsNone(self.phase(site, job="unknown"))
            event = site.owner.telemetry.events[-1]
            self.assertEqual("phase-read-in-outage", event.name)
            self.assertGreater(event.fields["revision"], 0)

    # Guards against keys that are revoked during an outage and serve for as long as it lasts.
    async def test_an_old_configuration_authenticates_nobody(self):
        async with open_site(workers=3) as site:
            site.simulation.run_time = timedelta(seconds=2)
            await site.submit("job", Step(1, SMALL), queue=0)
            await site.wait_running("job", 1)
            owner = site.owner
            site.store.faults.refuse = True
            await trio.sleep(20)
            self.assertIsNone(owner.cell.gateway.outage_reads.phase("h", "/urgent/job", "key"))
