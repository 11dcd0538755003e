"""Claim of an availability zone: raise the epoch, then fence every bucket with it."""

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
"""Version of the stored format; a record of a higher version is never overwritten."""

RETRY_DELAY = timedelta(milliseconds=100)
MAX_CONCURRENT_FENCES = 8


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


async def claim_zone(context: ClaimContext, zone: str, buckets: int) -> tuple[JobTable, int]:
    """Make this node the owner of a zone.

    Afterwards every write of an earlier owner fails, because each bucket carries the new epoch at
    a new revision.

    :param buckets: number of buckets if the zone was never claimed before.
    :returns: the job table and the epoch.
    :raises StaleEpoch: another node claimed the zone concurrently.
    """
    record = await _raise_epoch(context, zone, buckets)
    table = JobTable(zone, record.buckets)
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_FENCES)
    async with trio.open_nursery() as nursery:
        for bucket in table.buckets:
            nursery.start_soon(_fence, context, table, bucket, record.epoch, limiter)
    return table, record.epoch


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


async def _fence(
    context: ClaimContext,
    table: JobTable,
    bucket: Bucket,
    epoch: int,
    limiter: trio.CapacityLimiter,
) -> None:
    """Load a bucket and write it back with the new epoch; retry if an earlier owner writes it."""
    async with limiter:
        while not await _fence_once(context, table, bucket, epoch):
            await context.clock.sleep(RETRY_DELAY)


async def _fence_once(context: ClaimContext, table: JobTable, bucket: Bucket, epoch: int) -> bool:
    """Try to fence a bucket once; return whether it carries the epoch.

    :raises StaleEpoch: a newer owner has fenced the bucket.
    """
    try:
        entry = await context.store.get(bucket.key)
    except StoreTimeout:
        return False
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
        bucket.revision = await context.store.compare_and_swap(bucket.key, data, bucket.revision)
    except (CompareFailed, StoreTimeout):
        return False
    return True
