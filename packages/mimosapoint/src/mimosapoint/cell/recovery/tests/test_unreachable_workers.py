"""Tests of the pattern "two disturbances look like a departure": runs that go on out of sight."""

from datetime import timedelta

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import RunEnd, Step

RUN_SECONDS = 9
"""Longer than the time for which the worker is out of sight."""

UNSEEN_SECONDS = 4
"""Time from the loss of the owner to the end of the disturbances."""


class UnreachableWorkerTest(TrioTestCase):
    mock_clock = True

    async def start(self, site):
        """Start a run and return its worker."""
        site.simulation.run_time = timedelta(seconds=RUN_SECONDS)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        return site.simulation.workers_by_id[site.running("a")[0].worker]

    def faults_of(self, site, worker):
        return site.workers.network_faults_by_address[worker.registration.address]

    async def assert_runs_once(self, site):
        with trio.fail_after(RUN_SECONDS + 5):
            while site.running("a"):
                await trio.sleep(0.1)
        self.assertEqual([], site.violations())
        self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("a")])

    # Guards against a task that runs twice: the next owner took a worker for gone that had lost the
    # store and whose connections were refused, while its run went on.
    async def test_a_run_goes_on_alone_on_a_worker_that_is_absent_and_refuses_connections(self):
        for settings in (CellSettings(), CellSettings(cores=0.1)):
            for delay in (0.0, 0.2, 1.0, 2.0):
                with self.subTest(cores=settings.cores, delay=delay):
                    async with open_site(nodes=6, settings=settings) as site:
                        await trio.sleep(5)
                        worker = await self.start(site)
                        site.unregister(worker)
                        self.faults_of(site, worker).not_listening = True
                        await trio.sleep(delay)
                        site.owner.kill()
                        await trio.sleep(UNSEEN_SECONDS)
                        self.faults_of(site, worker).not_listening = False
                        site.register(worker)
                        await self.assert_runs_once(site)

    # Guards against a task that runs twice: the next owner took the reply at an earlier address of
    # a worker, from the roster, for its end.
    async def test_a_run_goes_on_alone_on_a_worker_whose_earlier_address_has_another_user(self):
        async with open_site(workers=2) as site:
            for worker in site.simulation.workers_by_id.values():
                self.faults_of(site, worker).wrong_incarnation = True
                worker.restart(worker.born + 1)
                address = f"{worker.registration.address}0"
                site.workers.add_at(address, worker)
                site.register(worker, address=address, born=worker.born)
            await trio.sleep(3)
            worker = await self.start(site)
            await trio.sleep(1)
            site.unregister(worker)
            site.owner.kill()
            await trio.sleep(UNSEEN_SECONDS)
            site.register(worker)
            await self.assert_runs_once(site)
