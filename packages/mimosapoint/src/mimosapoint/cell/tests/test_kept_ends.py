"""Tests of ends whose jobs the owner cannot read."""

from datetime import timedelta
from unittest.mock import patch

import trio

from mimosapoint.cell.kept_ends import KeptEnds
from mimosapoint.cell.keys import KEPT_END_PREFIX, OWNER_KEY, job_key, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import QUEUES, SMALL, WIDE, open_site
from mimosapoint.ports import EndedRun
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import CellConfiguration, CellWorkspace, Phase, RunEnd, Step, TaskId

OTHER_FORM = b"of another form"
MANY_ENDS = 500


async def ignore(*args):
    """Do what a version without kept ends does."""


class KeptEndTest(TrioTestCase):
    mock_clock = True

    async def hide_job(self, site, make_key=job_key, tasks=1, run_seconds=0.3):
        """Kill the owner while a job runs, and make the job unreadable; return what was stored."""
        site.simulation.run_time = timedelta(seconds=run_seconds)
        await site.submit("a", Step(tasks, SMALL))
        await site.wait_running("a", tasks)
        site.owner.kill()
        value = site.store.peek(make_key("a"))
        site.store.put(make_key("a"), OTHER_FORM)
        await trio.sleep(6)
        return value

    async def kept(self, site):
        return [entry.key for entry in (await site.store.scan(KEPT_END_PREFIX)).entries]

    def assert_ends(self, site, *ends):
        self.assertEqual(list(ends), [each.end for each in site.runs("a")])
        self.assertEqual([], site.violations())

    async def assert_completed_once(self, site, tasks=1):
        await site.wait_phase("a", Phase.COMPLETE)
        self.assert_ends(site, *[RunEnd.DONE] * tasks)
        await trio.sleep(2)
        self.assertEqual([], await self.kept(site))

    async def test_the_end_of_a_job_with_unreadable_progress_is_kept(self):
        async with open_site(nodes=3, workers=2) as site:
            progress = await self.hide_job(site, progress_key)
            site.owner.kill()
            site.store.put(progress_key("a"), progress)
            await self.assert_completed_once(site)

    async def test_the_end_is_applied_when_the_same_owner_can_read_the_job(self):
        for make_key in (job_key, progress_key):
            with self.subTest(key=make_key("a")):
                async with open_site(nodes=2, workers=2) as site:
                    value = await self.hide_job(site, make_key)
                    site.store.put(make_key("a"), value)
                    await self.assert_completed_once(site)

    async def test_more_ends_than_one_transaction_holds_are_kept(self):
        async with open_site(nodes=3, workers=5) as site:
            workspaces = (CellWorkspace("t", frozenset()),)
            site.put_configuration(CellConfiguration(2, QUEUES, workspaces))
            record = await self.hide_job(site, tasks=40)
            self.assertEqual(40, len(await self.kept(site)))
            site.owner.kill()
            site.store.put(job_key("a"), record)
            await self.assert_completed_once(site, tasks=40)

    # Guards against failed runs that do not count as attempts.
    async def test_failures_are_kept(self):
        async with open_site(nodes=3, workers=2) as site:
            record = await self.hide_job(site, run_seconds=30)
            worker = site.simulation.workers_by_id[site.runs("a")[0].worker]
            number, run = worker.acknowledged + 1, site.runs("a")[0].run + 1
            worker.ended += [
                EndedRun(number + later, TaskId("a", 0, 0, 0), run + later, RunEnd.FAILED)
                for later in range(2)
            ]
            await trio.sleep(3)
            site.owner.kill()
            site.simulation.failing_jobs.add("a")
            site.store.put(job_key("a"), record)
            await site.wait_phase("a", Phase.FAILED)
            self.assert_ends(site, RunEnd.STOPPED, RunEnd.FAILED)

    # Guards against a worker of no use behind an end that stays unapplied.
    async def test_ends_after_the_kept_one_are_acknowledged(self):
        async with open_site(nodes=3, workers=1) as site:
            await self.hide_job(site)
            worker = site.simulation.workers_by_id["w0"]
            first = worker.acknowledged + 1
            numbers = range(first, first + MANY_ENDS)
            tasks = [TaskId("a", 0, 0, number) for number in numbers]
            worker.ended += [
                EndedRun(number, task, 1, RunEnd.DONE)
                for number, task in zip(numbers, tasks, strict=True)
            ]
            await trio.sleep(4)
            self.assertEqual(numbers[-1], worker.acknowledged)
            self.assertEqual(MANY_ENDS + 1, len(await self.kept(site)))
            await site.submit("b", Step(1, SMALL))
            await site.wait_running("b", within=5)

    async def test_nothing_is_acknowledged_before_it_is_kept(self):
        async with open_site(nodes=2, workers=1) as site:
            await self.hide_job(site)
            worker = site.simulation.workers_by_id["w0"]
            number = worker.acknowledged + 1
            for node in site.nodes:
                node.store.fault = "refused"
            worker.ended.append(EndedRun(number, TaskId("a", 0, 0, 0), 1, RunEnd.DONE))
            await trio.sleep(3)
            self.assertEqual(number - 1, worker.acknowledged)
            for node in site.nodes:
                node.store.fault = ""
            await trio.sleep(3)
            self.assertEqual(number, worker.acknowledged)
            self.assertEqual(2, len(await self.kept(site)))

    async def test_an_end_of_a_removed_job_is_acknowledged_and_not_kept(self):
        async with open_site(nodes=3, workers=2) as site:
            await self.hide_job(site)
            self.assertEqual(1, len(await self.kept(site)))
            site.store.apply({}, (), [job_key("a"), progress_key("a")])
            await trio.sleep(3)
            self.assertEqual([], await self.kept(site))
            worker = site.simulation.workers_by_id[site.runs("a")[0].worker]
            number = worker.acknowledged + 1
            worker.ended.append(EndedRun(number, TaskId("a", 0, 0, 0), 1, RunEnd.DONE))
            await trio.sleep(3)
            self.assertEqual(number, worker.acknowledged)
            self.assertEqual([], await self.kept(site))

    # Guards against a job that counts as complete by the end of an earlier one of the same id.
    async def test_an_end_is_not_applied_to_a_later_job_of_the_same_id(self):
        settings = CellSettings(retention=timedelta(seconds=10))
        async with open_site(nodes=4, workers=2, settings=settings) as site:
            await self.hide_job(site)
            # An earlier version may remove the job and leave the end.
            with patch.object(KeptEnds, "run", ignore):
                site.store.apply({}, (), [job_key("a"), progress_key("a")])
                site.owner.kill()
                await trio.sleep(12)
                self.assertEqual(1, len(await self.kept(site)))
                site.simulation.run_time = timedelta(seconds=8)
                await site.submit("a", Step(1, WIDE))
                await site.wait_running("a")
                site.owner.kill()
                await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([RunEnd.DONE] * 2, [each.end for each in site.runs("a")])

    # Guards against ends that are lost when the next owner is of an earlier version, and cannot
    # read the job either.
    async def test_an_owner_of_an_earlier_version_leaves_the_ends(self):
        async with open_site(nodes=4, workers=2) as site:
            record = await self.hide_job(site)
            with (
                patch.object(KeptEnds, "load", ignore),
                patch.object(KeptEnds, "keep", ignore),
                patch.object(KeptEnds, "run", ignore),
            ):
                site.owner.kill()
                await trio.sleep(6)
                site.owner.kill()
            site.store.put(job_key("a"), record)
            await self.assert_completed_once(site)

    async def read_at_return(self, site, seconds):
        """Repair a job whose run ended in a silent outage, and end the outage."""
        site.simulation.run_time = timedelta(seconds=6)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        record = site.store.peek(job_key("a"))
        for worker in site.workers.workers_by_address.values():
            worker.stop = lambda order: None
        site.owner.kill()
        site.store.put(job_key("a"), OTHER_FORM)
        site.store.apply({}, (), [OWNER_KEY])
        await trio.sleep(3.5)
        for node in site.nodes:
            node.store.fault = "silent"
        await trio.sleep(2.6 + seconds)
        self.assertEqual([], site.running("a"))
        site.store.put(job_key("a"), record)
        for node in site.nodes:
            node.store.fault = ""

    # Guards against a job that is read after an outage, and starts again before the end that its
    # worker has reported meanwhile is kept.
    async def test_a_job_that_is_read_before_its_end_is_kept_does_not_start_again(self):
        settings = CellSettings(ownership_ttl=timedelta(seconds=20))
        for seconds in (0.0, 0.15, 0.35, 0.5):
            with self.subTest(seconds=seconds):
                async with open_site(nodes=2, workers=2, settings=settings) as site:
                    await self.read_at_return(site, seconds)
                    await site.wait_phase("a", Phase.COMPLETE)
                    await trio.sleep(8)
                    self.assert_ends(site, RunEnd.DONE)
