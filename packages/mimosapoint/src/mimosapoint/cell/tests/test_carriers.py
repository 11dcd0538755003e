"""A cell of small nodes, which carry orders for their owner."""

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step

SMALL_NODE = CellSettings(cores=0.1)
JOIN_SECONDS = 4
"""Time in which small nodes have an owner and carriers."""


class CarrierCase(TrioTestCase):
    mock_clock = True

    def check(self, site):
        self.assertEqual([], site.violations())

    def carried(self, site):
        return {
            node.name: node.telemetry.counts_by_name["relay_orders_carried"] for node in site.nodes
        }

    async def test_other_nodes_carry_the_orders_of_a_small_owner(self):
        async with open_site(workers=18, settings=SMALL_NODE) as site:
            await trio.sleep(JOIN_SECONDS)
            await site.submit("a", Step(20, SMALL), Step(3, WIDE, gang=True, after=(0,)))
            await site.wait_phase("a", Phase.COMPLETE)
            carried = self.carried(site)
            self.assertEqual(0, carried.pop(site.owner.name))
            self.assertGreater(min(carried.values()), 0)
            self.check(site)

    async def test_a_strong_owner_needs_no_carriers(self):
        async with open_site() as site:
            await trio.sleep(JOIN_SECONDS)
            await site.submit("a", Step(2, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual({0}, set(self.carried(site).values()))

    async def test_a_killed_carrier_costs_no_run_and_repeats_none(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(JOIN_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.submit("b", Step(3, WIDE, gang=True))
            await site.wait_running("b", 3)
            site.other.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertEqual(9, len(site.runs("a") + site.runs("b")))
            self.check(site)

    async def test_the_next_owner_finds_carriers_as_well(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(JOIN_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.wait_running("a", 6)
            site.owner.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            await trio.sleep(JOIN_SECONDS)
            before = self.carried(site)
            await site.submit("b", Step(3, WIDE, gang=True))
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertNotEqual(before, self.carried(site))
            self.check(site)

    async def test_workers_that_the_carrier_does_not_reach_go_on(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(JOIN_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.wait_running("a", 6)
            for node in site.nodes:
                if not node.is_owner:
                    node.workers.unreachable |= {f"w{number}" for number in range(6)}
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(6, len(site.runs("a")))
            self.check(site)

    async def test_a_planned_stop_lets_the_carriers_go(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(JOIN_SECONDS)
            owner = site.owner
            owner.cell.leave()
            await trio.sleep(0.5)
            gone = [event for event in owner.telemetry.events if event.name == "carrier-gone"]
            self.assertEqual(2, len(gone))
