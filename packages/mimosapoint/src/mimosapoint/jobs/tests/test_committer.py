"""Tests of the group commit, the durability of records, job views and job ids."""

import random
from datetime import datetime, timedelta, timezone

import attrs
import trio

from mimosapoint.errors import JobNotFound, StaleEpoch
from mimosapoint.jobs import (
    JobTable,
    JobTableCommitter,
    decode_bucket,
    home_zone_of_job,
    job_view,
    make_job_id,
)
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.model import (
    Cancelled,
    Failed,
    JobRecord,
    JobRequest,
    JobState,
    MayHaveRun,
    NotRun,
    Succeeded,
)
from mimosapoint.ports import ABSENT
from mimosapoint.resilience import RateLimiter
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)


def record(key="k", state=JobState.QUEUED, payload=None, **fields):
    request = JobRequest("w", "s", key, payload=payload)
    return JobRecord(f"a~{key}", request, state, START, **fields)


class CommitterTest(TrioTestCase):
    """Changes become durable despite lost or unreadable replies, and only in the owner's epoch."""

    mock_clock = True

    def set_up_store(self):
        self.clock = TrioClock(START)
        self.store = MemoryStore(self.clock)
        self.telemetry = MemoryTelemetry(strict=True)
        self.table = JobTable("a", 1)
        self.bucket = self.table.buckets[0]

    def committer(self, epoch=1, writer="n1#1", rate=25.0):
        return JobTableCommitter(
            self.store,
            self.bucket,
            epoch,
            writer,
            clock=self.clock,
            telemetry=self.telemetry,
            interval=timedelta(milliseconds=10),
            write_limiter=RateLimiter(self.clock, rate, rate),
            random=random.Random(1),
        )

    async def stored(self):
        header, records = decode_bucket((await self.store.get(self.bucket.key)).value)
        return header.sequence, [r.id for r in records]

    async def test_unreadable_reply_is_read_again(self):
        self.set_up_store()
        self.table.put(record())
        self.store.faults.lose_replies = 1
        read, garbled = self.store.get, [b"", b"<html>", b'{"header": 1}']

        async def get(key):
            entry = await read(key)
            return attrs.evolve(entry, value=garbled.pop()) if garbled else entry

        self.store.get = get
        await self.committer().commit()
        self.assertEqual(garbled, [])
        self.assertTrue(self.table.latest_change("a~k").durable)

    async def test_lost_replies(self):
        for lost, writes in ((1, 1), (2, 3), (3, 4)):
            with self.subTest(lost=lost):
                self.set_up_store()
                self.table.put(record())
                self.store.faults.lose_replies = lost
                await self.committer().commit()
                self.assertTrue(self.table.latest_change("a~k").durable)
                self.assertEqual((await self.stored())[1], ["a~k"])
                self.assertEqual(self.store.counts["compare_and_swap"], writes)

    async def test_delayed_write_of_the_same_committer(self):
        """A write that timed out takes effect after the read back and before the retry."""
        self.set_up_store()
        self.table.put(record("first"))
        data = self.bucket.encode(1, "n1#1")
        self.table.put(record("second"))
        await self.store.compare_and_swap(self.bucket.key, data, ABSENT)
        await self.committer().commit()
        self.assertEqual(await self.stored(), (3, ["a~first", "a~second"]))

    async def test_same_sequence_of_an_earlier_epoch_is_not_taken_for_own_write(self):
        self.set_up_store()
        self.table.put(record("old"))
        await self.committer(epoch=1).commit()
        self.bucket.sequence = 0
        self.bucket.revision = ABSENT
        self.table.put(record("new"))
        await self.committer(epoch=2).commit()
        self.assertEqual((await self.stored())[1], ["a~old", "a~new"])

    async def test_newer_epoch_fences_writes(self):
        self.set_up_store()
        self.table.put(record())
        await self.committer(epoch=2, writer="n2#1").commit()
        self.bucket.revision = ABSENT
        with self.assertRaises(StaleEpoch):
            await self.committer(epoch=1).commit()

    async def test_writes_back_off_during_an_outage(self):
        self.set_up_store()
        self.table.put(record())
        self.store.faults.refuse = True
        with trio.move_on_after(60):
            await self.committer().commit()
        self.assertLess(self.store.counts["compare_and_swap"], 80)
        self.store.faults.refuse = False
        with trio.fail_after(3):
            await self.committer().commit()

    async def test_commit_succeeds_once_an_oversized_record_is_removed(self):
        self.set_up_store()
        self.table.put(record("big", payload="x" * 1_000_001))
        with trio.move_on_after(10):
            await self.committer().commit()
        self.assertIn("bucket-too-large", self.telemetry.event_names())
        self.table.remove("a~big")
        with trio.fail_after(3):
            await self.committer().commit()

    # Guards against a bucket over the store's limit that passes for an outage of the store and
    # takes the permits of the other buckets.
    async def test_an_oversized_bucket_is_tried_again_only_after_a_change(self):
        self.set_up_store()
        self.table.put(record("big", payload="x" * 1_000_001))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.committer().run)
            await trio.sleep(60)
            self.assertEqual(1, self.telemetry.event_names().count("bucket-too-large"))
            self.assertFalse(self.table.writes_failing)
            change = self.table.put(record("small"))
            await trio.sleep(1)
            self.assertEqual(2, self.telemetry.event_names().count("bucket-too-large"))
            self.table.remove("a~big")
            with trio.fail_after(3):
                await change.wait_durable()
            nursery.cancel_scope.cancel()

    async def test_changes_share_a_write(self):
        self.set_up_store()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.committer().run)
            for number in range(500):
                self.table.put(record(f"k{number}"))
            await self.table.latest_change("a~k499").wait_durable()
            nursery.cancel_scope.cancel()
        self.assertEqual(self.store.counts["compare_and_swap"], 1)

    async def test_durability_is_per_record(self):
        self.set_up_store()
        self.table.put(record("one"))
        await self.committer().commit()
        self.table.put(record("other"))
        self.assertTrue(self.table.latest_change("a~one").durable)
        self.assertFalse(self.table.latest_change("a~other").durable)

    async def test_reload_drops_records_missing_from_the_store(self):
        self.set_up_store()
        self.table.load(self.bucket, [record("gone"), record("kept")], 1)
        self.table.load(self.bucket, [record("kept")], 2)
        self.assertEqual([r.id for r in self.table], ["a~kept"])


class ViewTest(TrioTestCase):
    """An outcome that another owner could still change is hidden until it is durable."""

    def test_outcomes(self):
        cases = (
            (Succeeded(("x",)), JobState.RUNNING),
            (NotRun("late"), JobState.QUEUED),
            (Cancelled(False), JobState.QUEUED),
            (Failed("task-failed"), JobState.QUEUED),
            (MayHaveRun("worker-lost"), JobState.QUEUED),
        )
        for outcome, early_state in cases:
            with self.subTest(outcome=outcome):
                ended = record(state=JobState.ENDED, outcome=outcome, ended_at=START)
                self.assertEqual(job_view(ended, "a", True).outcome, outcome)
                early = job_view(ended, "a", False)
                self.assertEqual(
                    (None, early_state, None), (early.outcome, early.state, early.ended_at)
                )


class IdTest(TrioTestCase):
    """Job ids contain the home zone and differ for different workspaces and keys."""

    def test_ids(self):
        zones = ("a", "b", "c")
        ids = {make_job_id("w", f"k{n}", zones) for n in range(300)}
        self.assertEqual(len(ids), 300)
        self.assertEqual({home_zone_of_job(id) for id in ids}, set(zones))
        self.assertNotEqual(make_job_id("ab", "c", zones), make_job_id("a", "bc", zones))
        self.assertEqual(make_job_id("w", "k", zones), make_job_id("w", "k", reversed(zones)))

    def test_malformed(self):
        for bad in ("", "a", "a~", "~x"):
            with self.subTest(id=bad), self.assertRaises(JobNotFound):
                home_zone_of_job(bad)
