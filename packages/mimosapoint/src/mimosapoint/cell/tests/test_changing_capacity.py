"""Tests that starts go by the capacity that a worker publishes now."""

from datetime import timedelta

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, SMALL, WIDE, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, ResourceAmounts, Step

HALF = ResourceAmounts(64_000, 131_072, 4)
WITHOUT_ACCELERATORS = ResourceAmounts(11_000, 16_000, 0)
SETTLE_SECONDS = 5.0
"""Time after which a smaller capacity binds: the users' contact time, and a poll of the entries."""


class ChangingCapacityTest(TrioTestCase):
    mock_clock = True

    async def shrink(self, site, worker, capacity):
        worker.resize(capacity)
        site.register(worker)
        await trio.sleep(SETTLE_SECONDS)

    # Guards against a start that was decided before the capacity shrank and ordered after it.
    async def test_a_start_that_waited_for_the_store_goes_by_the_present_capacity(self):
        await self.start_late_on_shrunken_worker(CellSettings())

    async def test_a_relayed_start_goes_by_the_present_capacity(self):
        await self.start_late_on_shrunken_worker(CellSettings(cores=0.1))

    async def start_late_on_shrunken_worker(self, settings):
        async with open_site(nodes=4, workers=1, settings=settings) as site:
            await trio.sleep(4)
            worker = site.simulation.workers_by_id["w0"]
            site.simulation.run_time = timedelta(seconds=30)
            session = site.owner.cell.owner.fleet.sessions_by_id["w0"]
            start = session.start

            async def start_late(*order):
                await self.shrink(site, worker, HALF)
                await start(*order)

            session.start = start_late
            await site.submit("a", Step(8, SMALL))
            await trio.sleep(2 * SETTLE_SECONDS)
            self.assertEqual([], site.violations())

    # Guards against starts on a worker whose runs need more than its capacity by now.
    async def test_nothing_starts_on_a_worker_that_has_shrunk_below_what_runs(self):
        async with open_site(workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            site.simulation.run_time = timedelta(seconds=12)
            await site.submit("wide", Step(1, WIDE))
            await site.wait_running("wide")
            await self.shrink(site, worker, HALF)
            await site.submit("plain", Step(1, WITHOUT_ACCELERATORS))
            await trio.sleep(2)
            self.assertEqual([], site.runs("plain"))
            await site.wait_phase("wide", Phase.COMPLETE)
            await site.wait_phase("plain", Phase.COMPLETE)
            self.assertEqual([], site.violations())

    async def test_a_worker_that_grows_gets_more_at_once(self):
        async with open_site(workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            await self.shrink(site, worker, HALF)
            site.simulation.run_time = timedelta(seconds=20)
            await site.submit("a", Step(8, SMALL))
            await site.wait_running("a", 4)
            await trio.sleep(1)
            self.assertEqual(4, len(site.running("a")))
            worker.resize(CAPACITY)
            site.register(worker)
            await site.wait_running("a", 8, within=2)
            self.assertEqual([], site.violations())

    # Guards against victims that are stopped for an urgent gang on workers that no longer hold it.
    async def test_an_urgent_gang_preempts_by_the_present_capacity(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=15)
            await site.submit("low", Step(16, SMALL), queue=2)
            await site.wait_running("low", 16)
            await self.shrink(site, site.simulation.workers_by_id["w0"], HALF)
            await site.submit("urgent", Step(2, WIDE, gang=True), queue=0)
            await trio.sleep(3)
            self.assertEqual([], site.runs("urgent"))
            self.assertEqual(16, len(site.running("low")))
            self.assertEqual([], site.violations())

    # Guards against the capacity of the stored roster, which is older than the change.
    async def test_a_new_owner_goes_by_the_present_capacity(self):
        async with open_site(workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            await self.shrink(site, worker, HALF)
            site.simulation.run_time = timedelta(seconds=20)
            site.owner.kill()
            await site.submit("a", Step(8, SMALL))
            await site.wait_running("a", 4)
            await trio.sleep(3)
            self.assertEqual(4, len(site.running("a")))
            self.assertEqual([], site.violations())
