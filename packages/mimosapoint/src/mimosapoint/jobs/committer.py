"""Group commit: writes a changed bucket to the store, fenced by the owner's epoch."""

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

RETRY_BASE = timedelta(milliseconds=50)
RETRY_CAP = timedelta(seconds=2)


class JobTableCommitter:
    """Keeps the store's copy of one bucket up to date.

    Changes that arrive within the interval share one write. A lost answer is settled by reading
    back: the writer and the sequence in the stored header tell whether the write took effect.

    :param store: the platform's store.
    :param bucket: bucket to write.
    :param epoch: epoch of the owner.
    :param writer: id of the node and its incarnation.
    :param interval: time for which changes are gathered.
    :param budget: limits writes per second over all buckets of the node.
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
        budget: RateLimiter,
        random: Random,
    ):
        self._store = store
        self._bucket = bucket
        self._epoch = epoch
        self._writer = writer
        self._clock = clock
        self._telemetry = telemetry
        self._interval = interval
        self._budget = budget
        self._backoff = Backoff(random, RETRY_BASE, RETRY_CAP)

    async def run(self) -> None:
        """Write changes until cancelled.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        while True:
            await self._bucket.wait_changed()
            await self._clock.sleep(self._interval)
            await self.commit()

    async def commit(self) -> None:
        """Write the bucket as it is now, however long the store is out.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        self._backoff.reset()
        await self._budget.acquire()
        while not await self._try_commit():
            self._bucket.writes_failing = True
            await self._clock.sleep(self._backoff.next_delay())
            await self._budget.acquire()

    async def _try_commit(self) -> bool:
        """Write once; tell whether the store has the change."""
        bucket = self._bucket
        changes = bucket.change_count
        data = bucket.encode(self._epoch, self._writer)
        try:
            revision = await self._store.compare_and_swap(bucket.key, data, bucket.revision)
        except StoreUnavailable:
            return False
        except ValueTooLarge:
            self._telemetry.event("bucket-too-large", bucket=bucket.key, size=len(data))
            return False
        except (StoreTimeout, CompareFailed):
            return await self._resolve_uncertain_write(changes)
        self._telemetry.observe("commit_bytes", len(data))
        bucket.mark_durable(changes, revision)
        return True

    async def _resolve_uncertain_write(self, changes: int) -> bool:
        """Read back after a doubtful write; tell whether it took effect."""
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
        """Whether a stored header is that of this committer's last write."""
        return header.writer == self._writer and header.sequence == self._bucket.sequence
