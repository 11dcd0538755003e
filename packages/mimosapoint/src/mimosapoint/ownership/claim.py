"""Claim of an availability zone: raise the epoch, then fence every bucket with it."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.codec import decode, encode
from mimosapoint.errors import CompareFailed, NewerFormat, StaleEpoch, StoreTimeout
from mimosapoint.jobs import Bucket, JobTable, decode_bucket
from mimosapoint.ports import ABSENT, Clock, Store
from mimosapoint.resilience import RateLimiter

__all__ = [
    "OWNER_FORMAT",
    "ClaimContext",
    "OwnerRecord",
    "ZoneClaim",
    "claim_zone",
    "read_owner",
]

OWNER_FORMAT = 1
"""Version of the stored format; a record of a higher version is never overwritten."""

RETRY_DELAY = timedelta(milliseconds=100)
MAX_CONCURRENT_FENCES = 4
"""Buckets that are transferred at a time; each gets a quarter of a slow link, which the store's
client allows for."""


@attrs.frozen
class OwnerRecord:
    """Stored record of the owner of an availability zone.

    :param zone: id of the availability zone.
    :param epoch: number of the ownership, incremented by each claim.
    :param node: id of the node.
    :param writer: id of the node and its incarnation.
    :param buckets: number of buckets of the zone.
    :param format: version of the stored format.
    """

    zone: str
    epoch: int
    node: str
    writer: str
    buckets: int
    format: int = OWNER_FORMAT


@attrs.frozen
class ClaimContext:
    """Identity of the claiming node and its adapters.

    :param node: id of the node.
    :param writer: id of the node and its incarnation.
    :param write_limiter: rate limiter of this node's store writes.
    """

    node: str
    writer: str
    store: Store
    clock: Clock
    write_limiter: RateLimiter


def owner_key(zone: str) -> str:
    """Return the store key of a zone's owner record."""
    return f"zones/{zone}/owner"


async def read_owner(store: Store, zone: str) -> tuple[OwnerRecord | None, int]:
    """Return the owner record and its revision.

    :raises NewerFormat: the record was written by a newer version of the program.
    """
    entry = await store.get(owner_key(zone))
    if entry is None:
        return None, ABSENT
    record = decode(entry.value, OwnerRecord)
    if record.format > OWNER_FORMAT:
        raise NewerFormat(record.format)
    return record, entry.revision


async def _raise_epoch(context: ClaimContext, zone: str, buckets: int) -> OwnerRecord:
    """Write an owner record with the next epoch.

    :raises StaleEpoch: another node has written the record concurrently.
    """
    previous, revision = await read_owner(context.store, zone)
    epoch = previous.epoch + 1 if previous else 1
    count = previous.buckets if previous else buckets
    record = OwnerRecord(zone, epoch, context.node, context.writer, count)
    try:
        await context.store.compare_and_swap(owner_key(zone), encode(record), revision)
    except CompareFailed as error:
        raise StaleEpoch(epoch) from error
    except StoreTimeout:
        found, _ = await read_owner(context.store, zone)
        if found != record:
            raise
    return record


class ZoneClaim:
    """Claim of a zone by this node; a repeated run goes on with the buckets not fenced yet.

    :param zone: id of the zone.
    :param buckets: number of buckets if the zone was never claimed before.
    """

    def __init__(self, context: ClaimContext, zone: str, buckets: int):
        self._context = context
        self._zone = zone
        self._bucket_count = buckets
        self._record: OwnerRecord | None = None
        self._table: JobTable | None = None
        self._not_fenced: list[Bucket] = []
        self._running = False
        self._transfers = 0

    @property
    def progress(self) -> int | None:
        """Number of transfers that have ended, or ``None`` while the claim does not run."""
        return self._transfers if self._running else None

    async def run(self) -> tuple[JobTable, int]:
        """Make this node the owner of the zone.

        Afterwards every write of an earlier owner fails, because each bucket carries the new epoch
        at a new revision.

        :returns: the job table and the epoch.
        :raises StaleEpoch: another node claimed the zone concurrently.
        """
        self._running = True
        try:
            if not await self._still_recorded():
                await self._begin()
            limiter = trio.CapacityLimiter(MAX_CONCURRENT_FENCES)
            async with trio.open_nursery() as nursery:
                for bucket in self._not_fenced:
                    nursery.start_soon(self._fence, bucket, limiter)
        finally:
            self._running = False
        return self._table, self._record.epoch

    async def _still_recorded(self) -> bool:
        """Return whether an earlier run wrote the owner record, and no claim has followed it."""
        if self._record is None:
            return False
        found, _ = await read_owner(self._context.store, self._zone)
        return found == self._record

    async def _begin(self) -> None:
        self._record = None
        self._record = await _raise_epoch(self._context, self._zone, self._bucket_count)
        self._table = JobTable(self._zone, self._record.buckets)
        self._not_fenced = list(self._table.buckets)

    async def _fence(self, bucket: Bucket, limiter: trio.CapacityLimiter) -> None:
        """Load a bucket and write it back with the new epoch.

        This is retried if an earlier owner writes the bucket.
        """
        async with limiter:
            while not await self._fence_once(bucket):
                await self._context.clock.sleep(RETRY_DELAY)
        self._not_fenced.remove(bucket)

    async def _fence_once(self, bucket: Bucket) -> bool:
        """Try to fence a bucket once; return whether it carries the epoch.

        :raises StaleEpoch: a newer owner has fenced the bucket.
        """
        context, table, epoch = self._context, self._table, self._record.epoch
        try:
            entry = await context.store.get(bucket.key)
        except StoreTimeout:
            return False
        self._transfers += 1
        records = []
        if entry is not None:
            header, records = decode_bucket(entry.value)
            if header.epoch > epoch:
                raise StaleEpoch(header.epoch)
            if header.epoch == epoch and header.writer == context.writer:
                table.load(bucket, records, entry.revision)
                return True
        table.load(bucket, records, entry.revision if entry else ABSENT)
        await context.write_limiter.acquire()
        try:
            data = bucket.encode(epoch, context.writer)
            revision = await context.store.compare_and_swap(bucket.key, data, bucket.revision)
        except (CompareFailed, StoreTimeout):
            return False
        bucket.revision = revision
        self._transfers += 1
        return True


async def claim_zone(context: ClaimContext, zone: str, buckets: int) -> tuple[JobTable, int]:
    """Make this node the owner of a zone; see :class:`ZoneClaim`."""
    return await ZoneClaim(context, zone, buckets).run()
