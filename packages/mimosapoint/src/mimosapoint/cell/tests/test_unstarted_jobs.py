"""Tests of what callers and operators are told of jobs whose starts had no effect."""

from datetime import timedelta
from unittest import mock

import trio

from mimosapoint.cell.keys import BACKLOG_KEY, progress_key
from mimosapoint.cell.report import CellReport
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.cell.worker_orders import WorkerOrders
from mimosapoint.codec import decode, encode
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import JobProgress, Phase, Step

JOBS = ("a", "b", "c")

TOLD_SECONDS = 5.0
"""Time after which the users compare the count with the jobs that have begun."""


class UnstartedJobTest(TrioTestCase):
    mock_clock = True

    def faults(self, site):
        return site.workers.network_faults_by_address.values()

    async def assert_told(self, site, waiting):
        """Assert what all nodes tell of the jobs, whose queue is ``normal``."""
        counts = decode(site.store.peek(BACKLOG_KEY), dict[str, int])
        self.assertEqual(waiting, counts.get("normal", 0))
        expected = Phase.QUEUED if waiting else Phase.RUNNING
        report = CellReport(site.owner.cell)
        for job in JOBS:
            for node in site.live_nodes:
                self.assertIs(expected, await node.cell.gateway.phase("t", job))
            self.assertEqual(expected.value, report.job(job).phase)
        queue = next(each for each in report.queues() if each.name == "normal")
        self.assertEqual(waiting, queue.unstarted)

    async def submit_all(self, site):
        site.simulation.run_time = timedelta(seconds=60)
        for job in JOBS:
            await site.submit(job, Step(1, SMALL))
        await trio.sleep(TOLD_SECONDS)

    # Guards against jobs that are left out of the count of waiting ones, and shown as running,
    # although each start was refused, was not sent, came too late or was lost.
    async def test_jobs_whose_starts_had_no_effect_are_told_as_waiting(self):
        not_sent = mock.patch.object(WorkerOrders, "_may_order_start", lambda *_: False)
        for name, value in (("refuse_starts", True), ("lost_starts", 1000), ("", None)):
            with self.subTest(fault=name or "not sent"):
                async with open_site(workers=2) as site:
                    with not_sent if not name else mock.MagicMock():
                        for faults in self.faults(site) if name else ():
                            setattr(faults, name, value)
                        await self.submit_all(site)
                        self.assertEqual([], site.simulation.history)
                        await self.assert_told(site, len(JOBS))
                        # The next owner tells the same.
                        site.owner.kill()
                        await trio.sleep(TOLD_SECONDS)
                        await self.assert_told(site, len(JOBS))
                    for faults in self.faults(site):
                        faults.refuse_starts, faults.lost_starts = False, 0
                    await trio.sleep(TOLD_SECONDS)
                    self.assertEqual(len(JOBS), len(site.simulation.history))
                    await self.assert_told(site, 0)

    # Guards against a job that is told as waiting although it runs: under the owner that started
    # it, under the next one, and after an owner of an earlier version wrote its progress.
    async def test_jobs_that_run_are_told_as_running(self):
        async with open_site(workers=4) as site:
            await self.submit_all(site)
            await self.assert_told(site, 0)
            site.owner.kill()
            await trio.sleep(TOLD_SECONDS)
            await self.assert_told(site, 0)
            site.owner.kill()
            site.add_node()
            for job in JOBS:
                progress = decode(site.store.peek(progress_key(job)), JobProgress)
                progress.has_begun = None
                site.store.put(progress_key(job), encode(progress))
            await trio.sleep(TOLD_SECONDS)
            await self.assert_told(site, 0)

    # Guards against a job that is lost with its worker before it began, and is told as running.
    async def test_a_job_whose_start_was_lost_with_its_worker_is_told_as_waiting(self):
        async with open_site(workers=1) as site:
            for faults in self.faults(site):
                faults.lost_starts = 1000
            worker = site.simulation.workers_by_id["w0"]
            for job in JOBS:
                await site.submit(job, Step(1, SMALL))
            await trio.sleep(0.5)
            site.unregister(worker)
            worker.is_down = True
            worker.restart(worker.born + 1)
            await trio.sleep(15)
            await self.assert_told(site, len(JOBS))

    # Guards against an operator who is shown that a job waits, and a caller who is told it runs.
    async def test_the_report_and_callers_tell_the_same_at_each_moment(self):
        async with open_site(workers=1) as site:
            site.simulation.run_time = timedelta(seconds=2)
            (faults,) = self.faults(site)
            faults.lost_starts = 1000
            await site.submit("a", Step(1, SMALL))
            report = CellReport(site.owner.cell)
            told = []
            with trio.move_on_after(12):
                while Phase.COMPLETE not in told:
                    await trio.sleep(0.01)
                    reported = Phase(report.job("a").phase)
                    phases = {await node.cell.gateway.phase("t", "a") for node in site.live_nodes}
                    if reported is Phase(report.job("a").phase):
                        self.assertEqual({reported}, phases, f"after {told}")
                        told += [reported] if told[-1:] != [reported] else []
                    if told[-2:] == [Phase.RUNNING, Phase.QUEUED]:
                        faults.lost_starts = 0
            expected = [Phase.RUNNING, Phase.QUEUED, Phase.RUNNING, Phase.COMPLETE]
            self.assertEqual(expected, told[-4:])

    # Guards against one more write for each job, whose first start usually takes effect.
    async def test_a_start_that_takes_effect_is_stored_once(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=10)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            await trio.sleep(1)
            commits = site.store.counts["commit"]
            await trio.sleep(5)
            self.assertEqual(commits, site.store.counts["commit"])
