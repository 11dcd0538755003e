"""Tests that what callers and operators are told is stored, and that later owners read it."""

from contextlib import nullcontext
from datetime import timedelta

import attrs
import trio

from mimosapoint.cell import CellReport, CellSettings
from mimosapoint.cell.keys import cancel_key, job_key, progress_key
from mimosapoint.cell.tests._site import QUEUES, SMALL, open_site
from mimosapoint.errors import JobNotFound
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

RUN_TIME = timedelta(seconds=2)
RETENTION = timedelta(seconds=2)


class ReportedPhaseTest(TrioTestCase):
    mock_clock = True

    # Guards against an operator who is shown an end that the next owner may not find.
    async def test_the_report_shows_the_stored_phase(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = RUN_TIME
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            report = CellReport(site.owner.cell)
            site.store.faults.refuse = True
            await trio.sleep(3)
            self.assertIs(RunEnd.DONE, site.runs("a")[0].end)
            self.assertEqual("running", report.job("a").phase)
            self.assertEqual(1, report.status().jobs)
            self.assertEqual(1, sum(queue.jobs for queue in report.queues()))
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)


class NotFoundTest(TrioTestCase):
    mock_clock = True

    async def test_the_log_says_why_a_job_is_not_found(self):
        async with open_site(workers=2) as site:
            await site.submit("a", Step(1, SMALL))
            revision = await site.store.commit({}, [])
            node = site.other
            for call in (node.cell.gateway.phase, node.cell.gateway.cancel):
                for workspace, job, reason, owner in (
                    ("t", "b", "absent", ""),
                    ("u", "a", "workspace", "t"),
                ):
                    with self.subTest(call=call, reason=reason):
                        node.telemetry.events.clear()
                        with self.assertRaises(JobNotFound):
                            await call(workspace, job)
                        (fields,) = [
                            event.fields
                            for event in node.telemetry.events
                            if event.name == "job-not-found"
                        ]
                        self.assertEqual(
                            (job, workspace, reason, owner),
                            tuple(fields[name] for name in ("job", "workspace", "reason", "owner")),
                        )
                        self.assertGreaterEqual(fields["revision"], revision)


class PublicQueueTest(TrioTestCase):
    mock_clock = True

    # Guards against an accepted job that its callers are told does not exist, as its queue has
    # become public, or has ceased to be.
    async def test_a_job_is_found_after_its_queue_has_changed(self):
        async with open_site(workers=2) as site:
            gateway = site.other.cell.gateway
            await site.submit("private", Step(1, SMALL))
            await site.submit("public", Step(1, SMALL), workspace="")
            queue, other = QUEUES[1], QUEUES[0]
            cases = (
                ("private", "", attrs.evolve(queue, public=True), True),
                ("public", "t", queue, True),
                ("private", "u", queue, False),
                ("private", "", attrs.evolve(other, public=True), False),
                ("public", "t", other, False),
            )
            for job, workspace, named, is_found in cases:
                for call in (gateway.phase, gateway.cancel):
                    with self.subTest(job=job, queue=named, call=call):
                        is_allowed = is_found and not (call == gateway.cancel and named.public)
                        refusal = nullcontext() if is_allowed else self.assertRaises(JobNotFound)
                        with refusal:
                            await call(workspace, job, queue=named)


class RemovedJobTest(TrioTestCase):
    mock_clock = True

    def delay_progress(self, get):
        """Return a read that takes longer than the retention time if the key is of progress."""

        async def delayed(key):
            if key == progress_key("a"):
                await trio.sleep(2 * RETENTION.total_seconds())
            return await get(key)

        return delayed

    # Guards against a job that is shown as queued after it was shown as complete, as it was removed
    # between the reads of the job and of its progress.
    async def test_a_job_that_is_being_removed_is_not_shown_as_queued(self):
        async with open_site(workers=2, settings=CellSettings(retention=RETENTION)) as site:
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            gateway = site.other.cell.gateway
            self.assertIs(Phase.COMPLETE, await gateway.phase("t", "a"))
            site.store.get = self.delay_progress(site.store.get)
            with self.assertRaises(JobNotFound):
                await gateway.phase("t", "a", timedelta(seconds=10))

    def cancel_and_repeat(self, site):
        """Return a commit that, around a removal, cancels the job and accepts its id again."""
        commit, record = site.store.commit, site.store.peek(job_key("a"))

        async def commit_with_repeat(conditions, writes=(), removals=()):
            if job_key("a") in removals:
                site.store.put(cancel_key("a"), b"{}")
            revision = await commit(conditions, writes, removals)
            if job_key("a") in removals:
                site.store.put(job_key("a"), record)
            return revision

        return commit_with_repeat

    # Guards against a job that is cancelled though nobody asked for it, as the id is that of a job
    # that was cancelled just before its removal.
    async def test_a_cancellation_does_not_apply_to_a_later_job_of_the_same_id(self):
        async with open_site(workers=2, settings=CellSettings(retention=RETENTION)) as site:
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            site.store.commit = self.cancel_and_repeat(site)
            await trio.sleep(RETENTION.total_seconds() + 1)
            self.assertIsNone(site.store.peek(cancel_key("a")))
            self.assertEqual(2, len(site.runs("a")))
