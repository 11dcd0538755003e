"""Tests of workers that start again under their ids: what was meant for the incarnation before."""

from datetime import timedelta

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

SETTINGS = CellSettings(worker_lease=timedelta(seconds=5.5))
DOWNTIME = timedelta(milliseconds=500)


class RestartedWorkerTest(TrioTestCase):
    mock_clock = True

    async def run_early_jobs(self, site):
        """Let the worker's clock and its count of ends exceed those of the next incarnation."""
        site.simulation.run_time = timedelta(milliseconds=50)
        for number in range(3):
            await site.submit(f"early-{number}", Step(1, SMALL))
            await site.wait_phase(f"early-{number}", Phase.COMPLETE)
        await trio.sleep(20)

    def cut(self, site):
        site.workers.network_faults_by_address["10.0.0.0:1"].partitioned = True

    async def send_start_to_next_incarnation(self, site):
        """Order a start that arrives after a restart of which the owner does not know."""
        faults = site.workers.network_faults_by_address["10.0.0.0:1"]
        faults.start_delay = timedelta(milliseconds=1200)
        await site.submit("a", Step(1, SMALL))
        owner = site.owner.cell.owner
        with trio.fail_after(5):
            while not owner.fleet.sessions_by_id["w0"].task_runs_by_key:
                await trio.sleep(0.01)
        await trio.sleep(0.05)
        self.cut(site)
        await site.simulation.workers_by_id["w0"].crash(DOWNTIME)
        await site.wait_running("a")

    # Guards against a task that is started again while its first run works on behind a cut, as the
    # new incarnation has got a longer lease from a deadline that was meant for the one before.
    async def test_a_deadline_for_an_earlier_incarnation_lets_no_task_run_twice(self):
        async with open_site(nodes=2, workers=1, settings=SETTINGS) as site:
            await self.run_early_jobs(site)
            site.simulation.run_time = timedelta(seconds=60)
            await site.simulation.workers_by_id["w0"].crash(DOWNTIME)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            self.cut(site)
            site.add_worker(1)
            await trio.sleep(15)
            self.assertEqual(2, len(site.runs("a")))
            self.assertEqual([], site.violations())

    # Guards against the same where the owner never hears of the restart.
    async def test_a_start_that_reaches_the_next_incarnation_lets_no_task_run_twice(self):
        async with open_site(nodes=2, workers=1, settings=SETTINGS) as site:
            await self.run_early_jobs(site)
            site.simulation.run_time = timedelta(seconds=60)
            await self.send_start_to_next_incarnation(site)
            site.add_worker(1)
            await trio.sleep(15)
            self.assertEqual(2, len(site.runs("a")))
            self.assertEqual([], site.violations())

    # Guards against an end that is lost, and a task that runs again after it was done, as the
    # number that acknowledges the ends of the incarnation before was sent to the new one.
    async def test_an_acknowledgement_for_an_earlier_incarnation_drops_no_end(self):
        async with open_site(nodes=2, workers=1, settings=SETTINGS) as site:
            await self.run_early_jobs(site)
            await self.send_start_to_next_incarnation(site)
            await trio.sleep(0.5)
            site.workers.network_faults_by_address["10.0.0.0:1"].partitioned = False
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])

    # Guards against a recovery that takes longer for all, because of the few that restart.
    async def test_the_lease_of_a_worker_that_did_not_restart_ends_as_before(self):
        async with open_site(nodes=2, workers=1, settings=SETTINGS) as site:
            await self.run_early_jobs(site)
            site.simulation.run_time = timedelta(seconds=60)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            await trio.sleep(2)
            self.cut(site)
            cut_at = trio.current_time()
            site.add_worker(1)
            with trio.fail_after(10):
                while len(site.runs("a")) < 2:
                    await trio.sleep(0.02)
            # The lease, the renewal that was in flight, its timeout and the expiry slack.
            self.assertLess(trio.current_time() - cut_at, 5.5 * 1.02 + 1 + 0.5 + 0.8)
