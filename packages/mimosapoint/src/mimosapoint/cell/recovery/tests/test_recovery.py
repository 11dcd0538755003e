"""Tests of recovery on a cell in memory: one silent worker of many, and owners in a row."""

from datetime import timedelta
from unittest import mock

import trio

from mimosapoint.cell.decisions.quotas import PossibleUse
from mimosapoint.cell.recovery import Recovery
from mimosapoint.cell.report import CellReport
from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.cell.tests.test_quotas import ONE, PAIR, open_quota_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

CLAIM_SECONDS = 1.2
"""Longest time from the end of an owner to the claim of the next one."""

START_SECONDS = 0.5
"""Time from the claim within which work starts that no silent worker concerns."""

LEASE_SECONDS = 15


def silence(quotas, job):
    """Cut off the worker of a job's first run; return its number."""
    number = int(quotas.site.running(job)[0].worker[1:])
    quotas.faults[number].partitioned = True
    return number


class SilentWorkerTest(TrioTestCase):
    mock_clock = True

    async def test_one_silent_worker_of_many_delays_no_other_workspace(self):
        """Pattern: all nodes are restarted while one worker is out of touch, all workspaces capped.

        Every workspace waited 9 s for the lease of that one worker.
        """
        async with open_quota_site(workers=24, a=16, b=16, c=16) as (site, quotas):
            silent = await quotas.submit_running("a", ONE)
            for workspace in "bc":
                await quotas.submit_running(workspace, ONE)
            silence(quotas, silent)
            other = site.other
            site.owner.kill()
            jobs = [await quotas.submit(each, ONE, node=other) for each in "abc"]
            for job in jobs:
                await site.wait_running(job, within=CLAIM_SECONDS + START_SECONDS)
            above = await quotas.submit("a", ONE, node=other)
            await trio.sleep(1)
            self.assertEqual([], site.runs(above))
            owner = site.owner.cell
            reasons = CellReport(owner).job(above).steps[0].waiting
            self.assertIn("quota", next(iter(reasons)))
            self.assertEqual([], quotas.violations())

    async def test_jobs_of_an_earlier_owner_wait_only_for_their_own_workers(self):
        """Pattern: a job of many tasks goes on while the worker of one of them is out of touch."""
        async with open_quota_site(workers=6, run_seconds=6) as (site, quotas):
            job = await quotas.submit_running("a", Step(60, SMALL))
            await trio.sleep(1)
            silence(quotas, job)
            started = len(site.runs(job))
            site.owner.kill()
            await trio.sleep(CLAIM_SECONDS + 6 + START_SECONDS)
            self.assertLess(started, len(site.runs(job)))
            waits = site.owner.cell.owner.recovery.waits()
            self.assertEqual([8], [wait.units for wait in waits])
            with trio.fail_after(30):
                await site.wait_phase(job, Phase.COMPLETE, within=30)
            self.assertEqual([], quotas.violations())

    # Guards against a second start of which the log does not tell why the first run was over.
    async def test_the_log_tells_why_the_runs_of_a_silent_worker_count_as_over(self):
        async with open_quota_site(workers=2) as (site, quotas):
            job = await quotas.submit_running("a", ONE)
            worker = f"w{silence(quotas, job)}"
            site.owner.kill()
            await trio.sleep(CLAIM_SECONDS + LEASE_SECONDS)
            events = [(each.name, each.fields) for each in site.owner.telemetry.events]
            known = [fields for name, fields in events if name == "worker-known-unheard"]
            over = [fields for name, fields in events if name == "earlier-start-over"]
            self.assertEqual([(worker, "lease-over")], [(e["worker"], e["reason"]) for e in known])
            self.assertEqual([(job, worker)], [(e["unit"].job, e["workers"]) for e in over])

    async def test_a_gang_that_misses_a_member_ends_when_its_worker_is_known(self):
        async with open_quota_site(workers=4) as (site, quotas):
            job = await quotas.submit_running("a", PAIR)
            silence(quotas, job)
            site.owner.kill()
            await trio.sleep(CLAIM_SECONDS + LEASE_SECONDS)
            self.assertEqual(2, len(site.running(job)))
            self.assertEqual([], quotas.violations())


class RecordedStartTest(TrioTestCase):
    mock_clock = True

    async def test_a_newer_run_begins_only_once_the_failure_before_it_is_stored(self):
        """A next owner that does not know of the failure would allow one attempt too many."""
        async with open_site(workers=2) as site:
            site.simulation.run_time = timedelta(seconds=6)
            site.simulation.failing_workers = {"w0"}
            await site.submit("a", Step(1, WIDE, gang=True))
            with trio.fail_after(1):
                while not site.runs("a"):
                    await trio.sleep(0.001)
            site.owner.store.fault = "silent"
            await trio.sleep(0.8)  # less than the time of an ownership
            self.assertEqual(1, len(site.runs("a")))
            with trio.fail_after(20):
                while not any(run.worker == "w1" for run in site.running("a")):
                    await trio.sleep(0.01)
            owners = [node.cell.owner for node in site.nodes if node.store.fault == ""]
            job_table = next(owner.job_table for owner in owners if owner is not None)
            failed = job_table.jobs_by_id["a"].progress.failed_runs
            ends = [record.end for record in site.runs("a")]
            self.assertEqual([ends.count(RunEnd.FAILED)], [len(runs) for runs in failed.values()])
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual([], site.violations())


class OwnersInARowTest(TrioTestCase):
    """Each owner ends before it knows the silent worker; the next one must know of it, too."""

    mock_clock = True

    async def play(self, **caps):
        """Return the violations after three owners in a row with two silent workers."""
        async with open_quota_site(workers=6, **caps) as (site, quotas):
            silent = await quotas.submit_running("a", ONE)
            pair = await quotas.submit_running("b", PAIR)
            silence(quotas, silent)
            silence(quotas, pair)
            for _ in range(3):
                await quotas.submit("a", ONE)
                await quotas.submit("b", ONE)
                site.owner.kill()
                site.add_node()
                await trio.sleep(2)
            await trio.sleep(LEASE_SECONDS)
            return quotas.violations()

    async def test_no_owner_forgets_what_a_silent_worker_may_run(self):
        for caps in ({"a": 8, "b": 16}, {}):
            with self.subTest(caps=caps):
                self.assertEqual([], await self.play(**caps))

    async def test_the_checks_find_an_owner_that_leaves_unknown_runs_out(self):
        broken = (
            ("possible_use", lambda _: PossibleUse(), {"a": 8, "b": 16}),
            ("may_have_unknown_run", lambda *_: False, {}),
        )
        for name, function, caps in broken:
            with self.subTest(name), mock.patch.object(Recovery, name, function):
                self.assertNotEqual([], await self.play(**caps))
