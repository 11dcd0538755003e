"""Taking over an availability zone: raise the epoch, then fence every bucket with it."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.codec import decode, encode
from mimosapoint.errors import CompareFailed, NewerFormat, StaleEpoch, StoreTimeout
from mimosapoint.jobs import Bucket, JobTable, decode_bucket
from mimosapoint.ports import ABSENT, Clock, Store
from mimosapoint.resilience import RateLimiter

__all__ = ["OWNER_FORMAT", "ClaimContext", "OwnerRecord", "claim_zone", "read_owner"]

OWNER_FORMAT = 1
"""Number of the stored form; a higher one is never overwritten."""

RETRY_DELAY = timedelta(milliseconds=100)
MAX_CONCURRENT_FENCES = 8


@attrs.frozen
class OwnerRecord:
    """Who owns an availability zone.

    :param zone: id of the availability zone.
    :param epoch: number of the ownership, rising with each claim.
    :param node: id of the node.
    :param writer: id of the node and its incarnation.
    :param buckets: number of buckets of the zone.
    :param format: number of the stored form.
    """

    zone: str
    epoch: int
    node: str
    writer: str
    buckets: int
    format: int = OWNER_FORMAT


@attrs.frozen
class ClaimContext:
    """Who claims, and what with.

    :param node: id of the node.
    :param writer: id of the node and its incarnation.
    :param budget: store writes per second of this node.
    """

    node: str
    writer: str
    store: Store
    clock: Clock
    budget: RateLimiter


def owner_key(zone: str) -> str:
    """Return the store key of a zone's owner record."""
    return f"zones/{zone}/owner"


async def read_owner(store: Store, zone: str) -> tuple[OwnerRecord | None, int]:
    """Return the owner record and its revision.

    :raises NewerFormat: the record was written by a newer program.
    """
    entry = await store.get(owner_key(zone))
    if entry is None:
        return None, ABSENT
    record = decode(entry.value, OwnerRecord)
    if record.format > OWNER_FORMAT:
        raise NewerFormat(record.format)
    return record, entry.revision


async def claim_zone(claimant: ClaimContext, zone: str, buckets: int) -> tuple[JobTable, int]:
    """Become the owner of a zone.

    After this returns every write of an earlier owner fails, because each bucket carries the new
    epoch at a new revision.

    :param buckets: number of buckets if the zone was never owned.
    :returns: the job table and the epoch.
    :raises StaleEpoch: another node claimed at the same time.
    """
    record = await _raise_epoch(claimant, zone, buckets)
    table = JobTable(zone, record.buckets)
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_FENCES)
    async with trio.open_nursery() as nursery:
        for bucket in table.buckets:
            nursery.start_soon(_fence, claimant, table, bucket, record.epoch, limiter)
    return table, record.epoch


async def _raise_epoch(claimant: ClaimContext, zone: str, buckets: int) -> OwnerRecord:
    """Write an owner record with the next epoch.

    :raises StaleEpoch: another node was faster.
    """
    known, revision = await read_owner(claimant.store, zone)
    epoch = known.epoch + 1 if known else 1
    count = known.buckets if known else buckets
    record = OwnerRecord(zone, epoch, claimant.node, claimant.writer, count)
    try:
        await claimant.store.compare_and_swap(owner_key(zone), encode(record), revision)
    except CompareFailed as error:
        raise StaleEpoch(epoch) from error
    except StoreTimeout:
        found, _ = await read_owner(claimant.store, zone)
        if found != record:
            raise
    return record


async def _fence(
    claimant: ClaimContext,
    table: JobTable,
    bucket: Bucket,
    epoch: int,
    limiter: trio.CapacityLimiter,
) -> None:
    """Load a bucket and write it back with the new epoch, whatever the earlier owner writes."""
    async with limiter:
        while not await _fence_once(claimant, table, bucket, epoch):
            await claimant.clock.sleep(RETRY_DELAY)


async def _fence_once(claimant: ClaimContext, table: JobTable, bucket: Bucket, epoch: int) -> bool:
    """Try once; tell whether the bucket carries the epoch.

    :raises StaleEpoch: a newer owner has fenced the bucket.
    """
    try:
        entry = await claimant.store.get(bucket.key)
    except StoreTimeout:
        return False
    records = []
    if entry is not None:
        header, records = decode_bucket(entry.value)
        if header.epoch > epoch:
            raise StaleEpoch(header.epoch)
        if header.epoch == epoch and header.writer == claimant.writer:
            table.load(bucket, records, entry.revision)
            return True
    table.load(bucket, records, entry.revision if entry else ABSENT)
    await claimant.budget.acquire()
    try:
        data = bucket.encode(epoch, claimant.writer)
        bucket.revision = await claimant.store.compare_and_swap(bucket.key, data, bucket.revision)
    except (CompareFailed, StoreTimeout):
        return False
    return True
