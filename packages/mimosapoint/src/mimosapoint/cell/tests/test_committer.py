"""Tests of the commits of progress, on a store whose replies the test chooses."""

from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import EPOCH_KEY, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import QUEUES, SMALL
from mimosapoint.codec import encode
from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.memory import TrioClock
from mimosapoint.ports import Entry, TransactionConflict
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import AcceptedJob, JobProgress, Phase, Step, TaskId

EPOCH_REV = 3
PROGRESS_REV = 7


class ScriptedStore:
    """Store that gives one reply after the other to commits, and then refuses them."""

    def __init__(self, replies):
        self.replies = list(replies)

    async def get(self, key):
        raise StoreUnavailable("refused")

    async def commit(self, conditions, writes, removals=()):
        await trio.lowlevel.checkpoint()
        reply = self.replies.pop(0) if self.replies else StoreUnavailable("refused")
        if isinstance(reply, Exception):
            raise reply
        return reply


class CommitterTest(TrioTestCase):
    mock_clock = True

    def make_job(self):
        queue = QUEUES[0]
        record = AcceptedJob(
            id="a",
            queue=queue.name,
            tenant="t",
            pool=queue.pool,
            spec="spec",
            steps=(Step(1, SMALL),),
            priority=0,
            max_attempts=1,
            slack_factor=1.0,
            target=timedelta(seconds=1),
            accepted_at=datetime(2026, 1, 1, tzinfo=timezone.utc),
        )
        job = self.job_table.add(record, 1)
        self.job_table.give_up(job, TaskId(record.id, 0, 0, 0))
        return job

    async def commit_end(self, *replies):
        """Commit the end of a job, to a store that gives these replies, and return the job."""
        self.telemetry = MemoryTelemetry()
        self.job_table = CellJobTable(TrioClock(), self.telemetry)
        job = self.make_job()
        await self.commit(*replies)
        return job

    async def commit(self, *replies):
        clock = TrioClock()
        committer = ProgressCommitter(
            ScriptedStore(replies),
            self.job_table,
            Ownership(1, EPOCH_REV, 0, clock.now() + timedelta(hours=1)),
            CellSettings(),
            self.telemetry,
            lambda: None,
        )
        committer.wake()
        with trio.move_on_after(5):
            await committer.run()

    def conflict(self, progress):
        entries = {EPOCH_KEY: Entry(EPOCH_KEY, b"1", EPOCH_REV)}
        if progress is not None:
            key = progress_key("a")
            entries[key] = Entry(key, encode(progress), PROGRESS_REV)
        return TransactionConflict(entries)

    async def test_an_end_is_stored_when_the_store_has_taken_it(self):
        job = await self.commit_end(StoreTimeout("no reply"), PROGRESS_REV)
        self.assertIs(Phase.FAILED, job.stored_phase)
        self.assertEqual(PROGRESS_REV, job.progress_rev)

    async def test_an_end_is_not_stored_while_no_write_has_a_reply(self):
        job = await self.commit_end(StoreTimeout("no reply"))
        self.assertIs(Phase.QUEUED, job.stored_phase)

    # Guards against a stored end that counts as not stored, as its write got no reply and the
    # progress has changed since.
    async def test_an_end_of_an_earlier_version_that_the_store_has_is_stored(self):
        earlier = JobProgress(phase=Phase.FAILED, checkpoints={"0.0.0": "earlier"})
        job = await self.commit_end(StoreTimeout("no reply"), self.conflict(earlier))
        self.assertIs(Phase.FAILED, job.stored_phase)
        self.assertEqual(PROGRESS_REV, job.progress_rev)
        self.assertIn("a", self.job_table.uncommitted_by_id)

    # Guards against an end that counts as stored although its entry is gone.
    async def test_an_end_whose_entry_has_disappeared_is_not_stored(self):
        job = await self.commit_end(PROGRESS_REV)
        self.assertIs(Phase.FAILED, job.stored_phase)
        self.job_table.uncommitted_by_id["a"] = job
        await self.commit(self.conflict(None))
        self.assertIs(Phase.QUEUED, job.stored_phase)
