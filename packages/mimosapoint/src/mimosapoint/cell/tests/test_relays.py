"""Tests of a cell of small nodes, which relay the orders of their owner."""

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step

SMALL_NODE = CellSettings(cores=0.1)
STARTUP_SECONDS = 4
"""Time in which a cell of small nodes gets an owner and its relays."""


class RelayTest(TrioTestCase):
    mock_clock = True

    def assert_no_violations(self, site):
        self.assertEqual([], site.violations())

    def relayed_orders(self, site):
        return {
            node.name: node.telemetry.counts_by_name["relay_orders_carried"] for node in site.nodes
        }

    async def assert_orders_are_relayed(self, site):
        await trio.sleep(STARTUP_SECONDS)
        await site.submit("a", Step(20, SMALL), Step(3, WIDE, gang=True, after=(0,)))
        await site.wait_phase("a", Phase.COMPLETE)
        relayed_orders = self.relayed_orders(site)
        self.assertEqual(0, relayed_orders.pop(site.owner.name))
        self.assertGreater(min(relayed_orders.values()), 0)
        self.assert_no_violations(site)

    async def test_other_nodes_relay_the_orders_of_a_small_owner(self):
        async with open_site(workers=18, settings=SMALL_NODE) as site:
            await self.assert_orders_are_relayed(site)

    async def test_a_preferred_owner_uses_no_relays(self):
        async with open_site() as site:
            await trio.sleep(STARTUP_SECONDS)
            await site.submit("a", Step(2, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual({0}, set(self.relayed_orders(site).values()))

    async def test_a_preferred_owner_of_a_large_fleet_uses_relays(self):
        settings = CellSettings(direct_workers_per_core=10)
        async with open_site(workers=18, settings=settings) as site:
            await self.assert_orders_are_relayed(site)

    async def test_a_killed_relay_node_loses_and_repeats_no_run(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(STARTUP_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.submit("b", Step(3, WIDE, gang=True))
            await site.wait_running("b", 3)
            site.other.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertEqual(9, len(site.runs("a") + site.runs("b")))
            self.assert_no_violations(site)

    async def test_the_next_owner_uses_relays_too(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(STARTUP_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.wait_running("a", 6)
            site.owner.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            await trio.sleep(STARTUP_SECONDS)
            before = self.relayed_orders(site)
            await site.submit("b", Step(3, WIDE, gang=True))
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertNotEqual(before, self.relayed_orders(site))
            self.assert_no_violations(site)

    async def test_workers_that_relays_do_not_reach_continue_their_runs(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(STARTUP_SECONDS)
            await site.submit("a", Step(6, SMALL))
            await site.wait_running("a", 6)
            for node in site.nodes:
                if not node.is_owner:
                    node.workers.unreachable |= {f"w{number}" for number in range(6)}
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(6, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_a_planned_stop_closes_the_relay_connections(self):
        async with open_site(settings=SMALL_NODE) as site:
            await trio.sleep(STARTUP_SECONDS)
            owner = site.owner
            owner.cell.leave()
            await trio.sleep(0.5)
            closed = [event for event in owner.telemetry.events if event.name == "carrier-gone"]
            self.assertEqual(2, len(closed))
