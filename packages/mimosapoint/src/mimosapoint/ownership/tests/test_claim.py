"""Tests of claims: fencing, the loaded records and the number of store calls."""

import random
from datetime import datetime, timedelta, timezone

import attrs
import trio

from mimosapoint.codec import encode
from mimosapoint.errors import CodecError, NewerFormat, StaleEpoch
from mimosapoint.jobs import JobTableCommitter
from mimosapoint.jobs.bucket import bucket_key
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.model import JobRecord, JobRequest, JobState, Placement
from mimosapoint.ownership.claim import ClaimContext, OwnerRecord, claim_zone, owner_key, read_owner
from mimosapoint.resilience import RateLimiter
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
BUCKETS = 16
RUNNING_JOBS = 800
QUEUED_JOBS = 2000


class ClaimTest(TrioTestCase):
    """After a claim the table is complete and every write of an earlier owner fails."""

    mock_clock = True

    def claim_context(self, store, clock, node="n1"):
        return ClaimContext(node, f"{node}#1", store, clock, RateLimiter(clock, 25, 50))

    def committer(self, store, clock, bucket, epoch, writer):
        return JobTableCommitter(
            store,
            bucket,
            epoch,
            writer,
            clock=clock,
            telemetry=MemoryTelemetry(strict=True),
            interval=timedelta(milliseconds=10),
            write_limiter=RateLimiter(clock, 25, 50),
            random=random.Random(1),
        )

    def records(self):
        request = JobRequest("w", "s", "k", gang=4, payload={"kind": "echo", "value": "x" * 200})
        placement = Placement(1, ("a-w0",) * 4, boots=("a-w0/2026",) * 4)
        for number in range(RUNNING_JOBS + QUEUED_JOBS):
            state = JobState.RUNNING if number < RUNNING_JOBS else JobState.QUEUED
            yield JobRecord(f"a~{number}", request, state, START, placement)

    async def write_all(self, store, clock, records):
        """Claim the zone as its first owner, with epoch 1, and store the records."""
        table, epoch = await claim_zone(self.claim_context(store, clock), "a", BUCKETS)
        for record in records:
            table.put(record)
        for bucket in table.buckets:
            await self.committer(store, clock, bucket, epoch, "n1#1").commit()
        return table

    async def test_claim_of_a_large_table(self):
        clock = TrioClock(START)
        store = MemoryStore(clock)
        store.faults.delay = 0.05
        first = await self.write_all(store, clock, self.records())
        store.counts.clear()
        started_at = trio.current_time()
        table, epoch = await claim_zone(self.claim_context(store, clock, "n2"), "a", BUCKETS)
        self.assertLess(trio.current_time() - started_at, 2)
        self.assertEqual((epoch, len(table)), (2, RUNNING_JOBS + QUEUED_JOBS))
        self.assertEqual({r.id: r for r in table}, {r.id: r for r in first})
        self.assertLessEqual(store.counts["get"], BUCKETS + 1)
        self.assertLessEqual(store.counts["compare_and_swap"], BUCKETS + 1)
        for bucket in first.buckets:
            first.put(JobRecord("a~late", JobRequest("w", "s", "l"), JobState.QUEUED, START))
            with self.assertRaises(StaleEpoch):
                await self.committer(store, clock, bucket, 1, "n1#1").commit()

    async def test_faults_during_a_claim(self):
        for fault in ("reply of the owner record", "reply of a bucket", "racing owner"):
            with self.subTest(fault=fault):
                clock = TrioClock(START)
                store = MemoryStore(clock)
                first = await self.write_all(store, clock, list(self.records())[:50])
                async with trio.open_nursery() as nursery:
                    if fault == "racing owner":
                        nursery.start_soon(self.keep_writing, store, clock, first)
                    else:
                        self.lose_reply(store, 1 if "owner" in fault else 5)
                    table, epoch = await claim_zone(
                        self.claim_context(store, clock, "n2"), "a", BUCKETS
                    )
                    nursery.cancel_scope.cancel()
                self.assertEqual(epoch, 2)
                await self.assert_stored(store, table)

    async def keep_writing(self, store, clock, table):
        """Remove records as an earlier owner that does not know of the claim."""
        try:
            for number in range(50):
                table.remove(f"a~{number}")
                for bucket in table.buckets:
                    await self.committer(store, clock, bucket, 1, "n1#1").commit()
        except StaleEpoch:
            return

    def lose_reply(self, store, number):
        """Lose the reply of one write that takes effect."""
        write = store.compare_and_swap
        writes = []

        async def lossy(*args):
            writes.append(args)
            store.faults.lose_replies = int(len(writes) == number)
            return await write(*args)

        store.compare_and_swap = lossy

    async def assert_stored(self, store, table):
        """Check that the store holds exactly the records of the table."""
        stored, _ = await claim_zone(
            self.claim_context(store, TrioClock(START), "n3"), "a", BUCKETS
        )
        self.assertEqual({r.id: r for r in table}, {r.id: r for r in stored})

    async def test_newer_formats_are_never_overwritten(self):
        cases = (
            (owner_key("a"), {"format": 2, "anything": 1}, CodecError),
            (owner_key("a"), attrs.asdict(OwnerRecord("a", 1, "n", "n#1", 4, 2)), NewerFormat),
            (bucket_key("a", 1), {"format": 2, "header": {}, "jobs": []}, NewerFormat),
            (bucket_key("a", 1), ["no object"], CodecError),
        )
        for key, value, error in cases:
            with self.subTest(key=key, error=error.__name__):
                clock = TrioClock(START)
                store = MemoryStore(clock)
                await store.compare_and_swap(key, encode(value), 0)
                with self.assertRaises(error):
                    await self.claim_raising_single_error(store, clock)
                self.assertEqual((await store.get(key)).value, encode(value))

    async def claim_raising_single_error(self, store, clock):
        """Claim, and raise the first error of a group instead of the group."""
        try:
            await claim_zone(self.claim_context(store, clock), "a", 4)
        except BaseExceptionGroup as group:
            raise group.exceptions[0] from group

    async def test_two_claims_at_once(self):
        clock = TrioClock(START)
        store = MemoryStore(clock)
        results = []

        async def claim(node):
            try:
                results.append(
                    (await claim_zone(self.claim_context(store, clock, node), "a", 4))[1]
                )
            except* StaleEpoch:
                results.append(None)

        async with trio.open_nursery() as nursery:
            for node in ("n1", "n2", "n3"):
                nursery.start_soon(claim, node)
        record, _ = await read_owner(store, "a")
        self.assertEqual(results.count(record.epoch), 1)
        self.assertEqual(len([r for r in results if r == record.epoch]), 1)
