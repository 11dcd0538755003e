"""Tests of the time from the return of a silent store until ends are stored and can be read."""

from datetime import timedelta
from itertools import product

import trio

from mimosapoint.cell.keys import PROGRESS_PREFIX, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.errors import MimosapointError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import TransactionConflict
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, ResourceAmounts, Step

SETTINGS = CellSettings(ownership_ttl=timedelta(seconds=20))
"""Leases of a store that is away may pause, so that the owner keeps the cell. With the default they
expire, and the next owner learns the ends from the workers."""

RETURN_SECONDS = 0.4
"""An interval of the probes, and some replies."""

LIGHT = ResourceAmounts(1000, 1000, 0)


def set_fault(site, fault):
    """Set the fault between every node and the store."""
    for node in site.nodes:
        node.store.fault = fault


def record_commits(node):
    """Return a list that receives the jobs whose progress each commit of a node writes."""
    commits, commit = [], node.store.commit

    async def record(conditions, writes=(), removals=()):
        keys = [write.key for write in writes if write.key.startswith(PROGRESS_PREFIX)]
        if keys:
            commits.append([key.removeprefix(PROGRESS_PREFIX) for key in keys])
        return await commit(conditions, writes, removals)

    node.store.commit = record
    return commits


def lose_commit_reply(site, node, delay):
    """Lose the reply to the next commit of a node that writes progress.

    :param delay: time after which the commit takes effect, in seconds.
    :return: list that receives whether its conditions no longer held then.
    """
    late, sent, commit = [], [], node.store.commit

    async def apply_late(*arguments):
        await trio.sleep(delay)
        try:
            site.store.apply(*arguments)
        except TransactionConflict:
            late.append(True)
        else:
            late.append(False)

    async def lose_reply(conditions, writes=(), removals=()):
        if sent or not any(write.key.startswith(PROGRESS_PREFIX) for write in writes):
            return await commit(conditions, writes, removals)
        sent.append(writes)
        site.nursery.start_soon(apply_late, conditions, writes, removals)
        raise StoreTimeout("the reply was lost")

    node.store.commit = lose_reply
    return late


class StoreRegainedTest(TrioTestCase):
    """Tasks end while the store is away, and callers ask for their jobs after its return."""

    mock_clock = True

    async def start_job(self, site, count=2, run_seconds=1.0):
        site.simulation.run_time = timedelta(seconds=run_seconds)
        await site.submit("a", Step(count, SMALL))
        await site.wait_running("a", count)

    async def is_served_as_complete(self, node):
        """Return whether a node tells a caller that the job is complete."""
        try:
            node.cell.gateway.find_queue("h", "/normal/a")
            return await node.cell.gateway.phase("t", "a") is Phase.COMPLETE
        except MimosapointError:
            return False

    async def seconds_by_part(self, site):
        """Return the time of each part from now until every node serves the end of the job."""
        begun_at, seconds = trio.current_time(), {}

        def note(part, is_over):
            if is_over:
                seconds.setdefault(part, round(trio.current_time() - begun_at, 2))

        with trio.move_on_after(3):
            while "read" not in seconds:
                await trio.sleep(0.01)
                views = [node.cell.view for node in site.nodes]
                note("configuration", all(view.is_fresh() for view in views))
                note("outage over", not any(view.is_store_outage for view in views))
                note("stored", site.phase("a") is Phase.COMPLETE)
                served = [await self.is_served_as_complete(node) for node in site.nodes]
                note("read", all(served))
        return seconds

    # Guards against an owner that notices the return of the store up to the timeout of a commit
    # late, while callers wait for ends that it knows.
    async def test_ends_of_a_silent_outage_are_stored_and_read_soon_after_it(self):
        outages = (2.0, 2.15, 2.3, 2.45, 2.6, 2.75, 2.9, 3.05)
        for settings, outage in product((SETTINGS, CellSettings()), outages):
            with self.subTest(ownership_ttl=settings.ownership_ttl, outage=outage):
                async with open_site(workers=3, settings=settings) as site:
                    await self.start_job(site)
                    await trio.sleep(0.5)
                    set_fault(site, "silent")
                    await trio.sleep(outage)
                    self.assertIsNot(Phase.COMPLETE, site.phase("a"))
                    set_fault(site, "")
                    seconds = await self.seconds_by_part(site)
                    self.assertLessEqual(seconds.get("stored", 9), RETURN_SECONDS, seconds)
                    self.assertLessEqual(seconds.get("read", 9), RETURN_SECONDS, seconds)
                    self.assertEqual(2, len(site.runs("a")))

    # Guards against a first commit that is sent to a store known to be away, and ends with its
    # timeout after the return.
    async def test_an_end_shortly_before_the_return_is_stored_soon_after_it(self):
        for left in (0.1, 0.25, 0.4, 0.55, 0.7, 0.85):
            with self.subTest(left=left):
                async with open_site(workers=3, settings=SETTINGS) as site:
                    await self.start_job(site, run_seconds=3)
                    set_fault(site, "silent")
                    with trio.fail_after(4):
                        while site.running("a"):
                            await trio.sleep(0.01)
                    await trio.sleep(left)
                    set_fault(site, "")
                    seconds = await self.seconds_by_part(site)
                    self.assertLessEqual(seconds.get("read", 9), RETURN_SECONDS, seconds)

    # Guards against an end that waits behind the progress of many open jobs.
    async def test_the_first_commit_after_an_outage_has_the_ends(self):
        async with open_site(workers=3, settings=SETTINGS) as site:
            site.simulation.run_time = timedelta(seconds=1.5)
            for number in range(40):
                await site.submit(f"open{number}", Step(1, LIGHT), Step(1, LIGHT, after=(0,)))
            await site.wait_running("open39")
            await site.submit("a", Step(1, LIGHT))
            await site.wait_running("a")
            site.store.faults.refuse = True
            await trio.sleep(3)
            uncommitted = list(site.owner.cell.owner.job_table.uncommitted_by_id)
            self.assertGreater(uncommitted.index("a"), 30)
            commits = record_commits(site.owner)
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)
            await site.wait_phase("open39", Phase.COMPLETE)
            self.assertEqual("a", commits[0][0])
            self.assertLessEqual(max(len(commit) for commit in commits), 15)

    # Guards against progress that is not stored while the store refuses reads only, as at its
    # limit of reads after an outage.
    async def test_ends_are_stored_while_reads_are_refused(self):
        async with open_site(workers=3, settings=SETTINGS) as site:
            await self.start_job(site)

            async def refuse(key):
                raise StoreUnavailable("429")

            node = site.owner
            late = lose_commit_reply(site, node, delay=5)
            node.store.get = refuse
            await site.wait_phase("a", Phase.COMPLETE, within=3)
            self.assertEqual([], late)

    # Guards against a higher rate of writes to a store that refuses all calls.
    async def test_a_store_that_refuses_gets_no_more_commits_than_before(self):
        async with open_site(workers=3, settings=SETTINGS) as site:
            await self.start_job(site)
            commits = record_commits(site.owner)
            site.store.faults.refuse = True
            await trio.sleep(5)
            self.assertLessEqual(len(commits), 5 / SETTINGS.retry_delay.total_seconds())
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE, within=RETURN_SECONDS)

    # Guards against a task that starts again because the repetition of a commit, which is sent as
    # soon as the store replies, and the commit itself both take effect.
    async def test_a_commit_without_reply_takes_effect_before_or_after_its_repetition(self):
        for delay, is_refused in ((0.05, False), (0.5, True)):
            with self.subTest(delay=delay):
                async with open_site(workers=3, settings=SETTINGS) as site:
                    await self.start_job(site)
                    node = site.owner
                    late = lose_commit_reply(site, node, delay)
                    await site.wait_phase("a", Phase.COMPLETE)
                    await trio.sleep(1)
                    self.assertEqual([is_refused], late)
                    job = node.cell.owner.job_table.jobs_by_id["a"]
                    self.assertEqual(job.progress_version, job.stored_progress_version)
                    node.kill()
                    await trio.sleep(5)
                    self.assertEqual(2, len(site.runs("a")))
                    self.assertEqual([], site.violations())

    # Guards against an owner that alone is cut off, and stores progress after its successor.
    async def test_an_owner_that_is_cut_off_stores_nothing_after_its_successor(self):
        async with open_site(workers=3) as site:
            await self.start_job(site)
            cut = site.owner
            cut.store.fault = "silent"
            await site.wait_phase("a", Phase.COMPLETE)
            stored = site.store.peek(progress_key("a"))
            await trio.sleep(2)
            cut.store.fault = ""
            await trio.sleep(2)
            self.assertEqual(stored, site.store.peek(progress_key("a")))
            stored_by_cut = [
                event for event in cut.telemetry.events if event.name == "job-end-stored"
            ]
            self.assertEqual([], stored_by_cut)
            self.assertIn("cell-given-up", [event.name for event in cut.telemetry.events])
            self.assertEqual(2, len(site.runs("a")))
            self.assertEqual([], site.violations())
