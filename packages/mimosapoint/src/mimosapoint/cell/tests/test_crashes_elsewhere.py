"""Tests that a worker which crashes without a run of a job is no reason for that job to fail."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, ResourceAmounts, RunEnd, Step


class CrashElsewhereTest(TrioTestCase):
    mock_clock = True

    # Guards against a job that is shown as failed after one crash, because other workers restart
    # after its runs there have ended, under an owner that does not know of the ends.
    async def test_workers_that_crash_after_the_end_of_a_run_are_no_evidence(self):
        async with open_site(workers=9) as site:
            site.simulation.run_time = timedelta(seconds=2)
            await site.submit("healthy", Step(1, SMALL))
            await site.wait_running("healthy")
            await self.crash(site, self.worker_of(site, "healthy"))
            await site.wait_running("healthy")
            worker = self.worker_of(site, "healthy")
            await trio.sleep(0.5)
            site.store.faults.refuse = True
            await trio.sleep(2)
            self.assertIs(RunEnd.DONE, site.runs("healthy")[-1].end)
            site.owner.kill()
            site.nursery.start_soon(self.crash, site, worker)
            site.add_node()
            await trio.sleep(0.1)
            site.store.faults.refuse = False
            await site.wait_phase("healthy", Phase.COMPLETE, within=60)

    # Guards against a job that is shown as failed because workers crash to which its start was
    # ordered, but never got there.
    async def test_workers_that_crash_without_a_start_are_no_evidence(self):
        async with open_site(workers=9) as site:
            for faults in site.workers.network_faults_by_address.values():
                faults.lost_starts = 100
            await site.submit("ordered", Step(1, SMALL))
            for count in (1, 2):
                starts = await self.wait_starts(site, count)
                await self.crash(site, site.simulation.workers_by_id[starts[-1]])
            for faults in site.workers.network_faults_by_address.values():
                faults.lost_starts = 0
            self.assertEqual([], site.runs("ordered"))
            await site.wait_phase("ordered", Phase.COMPLETE, within=60)

    # Guards against a job that is shown as failed although no worker has crashed: each one that was
    # out of sight replies again, under a new session, as it had lost its registration, too.
    async def test_workers_that_were_out_of_sight_and_reply_again_are_no_evidence(self):
        for loses_registration in (False, True):
            with self.subTest(loses_registration=loses_registration):
                async with open_site(workers=9) as site:
                    site.simulation.run_time = timedelta(seconds=5)
                    await site.submit("healthy", Step(1, SMALL))
                    for _ in range(6):
                        await site.wait_running("healthy", within=30)
                        worker = self.worker_of(site, "healthy")
                        site.nursery.start_soon(self.hide, site, worker, loses_registration)
                        with trio.fail_after(30):
                            while site.runs("healthy")[-1].worker == worker.registration.id:
                                await trio.sleep(0.05)
                    await site.wait_phase("healthy", Phase.COMPLETE, within=60)
                    self.assertEqual([], site.violations())

    async def hide(self, site, worker, loses_registration):
        """Let a worker be out of sight until its session has ended, if it is not registered."""
        faults = site.workers.network_faults_by_address[worker.registration.address]
        faults.partitioned = True
        if loses_registration:
            site.unregister(worker)
        await trio.sleep(10)
        faults.partitioned = False
        site.register(worker)

    def worker_of(self, site, job):
        return site.simulation.workers_by_id[site.running(job)[0].worker]

    async def wait_starts(self, site, count):
        """Return the workers to which starts were ordered, once there are so many."""
        with trio.fail_after(20):
            while True:
                starts = [
                    event.fields["workers"][0]
                    for event in site.owner.telemetry.events
                    if event.name == "unit-started" and event.fields["job"] == "ordered"
                ]
                if len(starts) >= count:
                    return starts
                await trio.sleep(0.01)

    async def crash(self, site, worker):
        """Let a worker crash; its next incarnation has no room for a task."""
        worker.resize(ResourceAmounts())
        site.register(worker)
        await worker.crash()
        site.register(worker, born=worker.born)
