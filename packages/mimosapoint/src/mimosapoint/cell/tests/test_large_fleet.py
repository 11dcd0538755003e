"""Tests of take-overs of fleets whose first renewals take longer than an ownership lasts."""

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

WORKERS = 1200
RENEWAL_SECONDS = 0.001
"""Processor time of the first renewal of a worker, which opens a connection."""

OWNERSHIP_SECONDS = CellSettings().ownership_ttl.total_seconds()
RECOVERY_SECONDS = OWNERSHIP_SECONDS + 3 * WORKERS * RENEWAL_SECONDS
"""A claim, and three times the processor time of the first renewals."""


class LargeFleetTest(TrioTestCase):
    mock_clock = True

    async def test_an_owner_keeps_a_fleet_that_takes_longer_than_its_lease_to_reach(self):
        """Pattern: all nodes are killed at a fleet of thousands of workers.

        Each new owner sent all first renewals at once, lost the ownership meanwhile, and the next
        one did the same, so that waiting jobs did not run beside free workers.
        """
        async with open_site(nodes=2, workers=WORKERS) as site:
            clock = trio.lowlevel.current_clock()
            renew_lease = site.workers.renew_lease

            async def renew_busily(worker, order):
                if not order.wait:
                    clock.jump(RENEWAL_SECONDS)
                return await renew_lease(worker, order)

            site.workers.renew_lease = renew_busily
            other = site.other
            site.owner.kill()
            await site.submit("a", Step(1, SMALL), node=other)
            await site.wait_running("a", within=RECOVERY_SECONDS)
            with trio.fail_after(RECOVERY_SECONDS):
                while other.cell.owner is None or len(other.cell.owner.usable_sessions()) < WORKERS:
                    await trio.sleep(0.1)
            claims = [event for event in other.telemetry.events if event.name == "cell-claimed"]
            self.assertEqual(1, len(claims))
            self.assertEqual([], site.violations())
