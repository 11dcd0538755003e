"""Group commit of a bucket to the store, fenced by the owner's epoch."""

from datetime import timedelta
from random import Random

from mimosapoint.errors import (
    CompareFailed,
    StaleEpoch,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.jobs.bucket import Bucket, BucketHeader, read_header
from mimosapoint.ports import ABSENT, Clock, Store, Telemetry
from mimosapoint.resilience import Backoff, RateLimiter

__all__ = ["JobTableCommitter"]

INITIAL_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)


class JobTableCommitter:
    """Writes the changes of one bucket to the store.

    Changes within the interval share one write. After a write with unknown outcome the bucket is
    read back: the epoch, writer and sequence in the stored header show whether it took effect.

    :param store: the platform's key-value store.
    :param bucket: bucket to write.
    :param epoch: epoch of the owner.
    :param writer: id of the node and its incarnation.
    :param interval: time for which changes are collected into one write.
    :param write_limiter: rate limiter of the writes of all buckets of the node.
    """

    def __init__(
        self,
        store: Store,
        bucket: Bucket,
        epoch: int,
        writer: str,
        *,
        clock: Clock,
        telemetry: Telemetry,
        interval: timedelta,
        write_limiter: RateLimiter,
        random: Random,
    ):
        self._store = store
        self._bucket = bucket
        self._epoch = epoch
        self._writer = writer
        self._clock = clock
        self._telemetry = telemetry
        self._interval = interval
        self._write_limiter = write_limiter
        self._backoff = Backoff(random, INITIAL_BACKOFF, MAX_BACKOFF)

    async def run(self) -> None:
        """Write changes until cancelled.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        while True:
            await self._bucket.wait_changed()
            await self._clock.sleep(self._interval)
            await self.commit()

    async def commit(self) -> None:
        """Write the current state of the bucket; retry with backoff until it is durable.

        A bucket over the store's limit is tried again after its next change only.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        self._backoff.reset()
        await self._write_limiter.acquire()
        while not await self._commit_or_wait():
            await self._write_limiter.acquire()

    async def _commit_or_wait(self) -> bool:
        """Write the bucket once; after a failure wait until another write may succeed."""
        changes = self._bucket.change_count
        try:
            if await self._try_commit():
                return True
        except ValueTooLarge:
            self._telemetry.event(
                "bucket-too-large", bucket=self._bucket.key, size=self._bucket.size_bytes
            )
            self._bucket.writes_failing = False
            await self._bucket.wait_change_after(changes)
            await self._clock.sleep(self._interval)
            return False
        self._bucket.writes_failing = True
        await self._clock.sleep(self._backoff.next_delay())
        return False

    async def _try_commit(self) -> bool:
        """Write the bucket once; return whether its changes are durable.

        :raises ValueTooLarge: the bucket is over the store's limit.
        """
        bucket = self._bucket
        changes = bucket.change_count
        data = bucket.encode(self._epoch, self._writer)
        try:
            revision = await self._store.compare_and_swap(bucket.key, data, bucket.revision)
        except StoreUnavailable:
            return False
        except (StoreTimeout, CompareFailed):
            return await self._resolve_unknown_outcome(changes)
        self._telemetry.observe("commit_bytes", len(data))
        bucket.mark_durable(changes, revision)
        return True

    async def _resolve_unknown_outcome(self, changes: int) -> bool:
        """Read the bucket back after a write with unknown outcome; return whether it took effect.

        Also takes over the stored revision, so that the next write compares with it.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        bucket = self._bucket
        try:
            entry = await self._store.get(bucket.key)
        except (StoreUnavailable, StoreTimeout):
            return False
        if entry is None:
            bucket.revision = ABSENT
            return False
        header = read_header(entry.value)
        if header is None:
            return False
        if header.epoch > self._epoch:
            raise StaleEpoch(header.epoch)
        bucket.revision = entry.revision
        if header.epoch == self._epoch and self._is_own_last_write(header):
            self._telemetry.count("commits_settled_total")
            bucket.mark_durable(changes, entry.revision)
            return True
        return False

    def _is_own_last_write(self, header: BucketHeader) -> bool:
        """Return whether a header has the writer and sequence of the last write."""
        return header.writer == self._writer and header.sequence == self._bucket.sequence
