"""Reads of a job and its progress from the store, by any node."""

import trio

from mimosapoint.cell.keys import job_key, progress_key
from mimosapoint.ports import Entry, TransactionStore

__all__ = ["read_stored_job"]


async def read_stored_job(
    store: TransactionStore, job_id: str
) -> tuple[Entry | None, Entry | None]:
    """Return the entries of a job and of its progress; ``None`` for one that is absent.

    The two reads are not a snapshot: the job may be removed between them, and its id may be
    accepted again. Where the entries may be of two jobs, the one that was read too early is read
    again.

    :param store: the store.
    :param job_id: id of the job.
    :raises StoreUnavailable: the store refused a read.
    :raises StoreTimeout: the store gave no usable reply.
    """
    entries_by_key: dict[str, Entry | None] = {}

    async def read(key: str) -> None:
        entries_by_key[key] = await store.get(key)

    record_key, stored_progress_key = job_key(job_id), progress_key(job_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, record_key)
        nursery.start_soon(read, stored_progress_key)
    record, progress = entries_by_key[record_key], entries_by_key[stored_progress_key]
    if progress is None:
        await read(record_key)
    elif record is not None and progress.revision < record.revision:
        await read(stored_progress_key)
    return entries_by_key[record_key], entries_by_key[stored_progress_key]
