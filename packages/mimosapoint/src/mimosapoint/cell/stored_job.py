"""Reads of a job and its progress from the store, by any node."""

import trio

from mimosapoint.cell.keys import job_key, progress_key
from mimosapoint.ports import Entry, KeyRead, TransactionStore

__all__ = ["read_stored_job"]


async def read_stored_job(store: TransactionStore, job_id: str) -> tuple[KeyRead, Entry | None]:
    """Return the read of a job and the entry of its progress, ``None`` if that is absent.

    The two reads are not a snapshot: the job may be removed between them, and its id may be
    accepted again. Where the entries may be of two jobs, the one that was read too early is read
    again. A job without progress needs no second read if it was read at a later revision: it has
    been without progress at some time since the call began.

    :param store: the store.
    :param job_id: id of the job.
    :raises StoreUnavailable: the store refused a read.
    :raises StoreTimeout: the store gave no usable reply.
    """
    reads_by_key: dict[str, KeyRead] = {}

    async def read(key: str) -> None:
        reads_by_key[key] = await store.read(key)

    record_key, stored_progress_key = job_key(job_id), progress_key(job_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, record_key)
        nursery.start_soon(read, stored_progress_key)
    record = reads_by_key[record_key].entry
    progress = reads_by_key[stored_progress_key].entry
    if progress is None:
        if not _is_read_before(reads_by_key[stored_progress_key], reads_by_key[record_key]):
            await read(record_key)
    elif record is not None and progress.revision < record.revision:
        await read(stored_progress_key)
    return reads_by_key[record_key], reads_by_key[stored_progress_key].entry


def _is_read_before(first: KeyRead, second: KeyRead) -> bool:
    """Return whether the first read is known to be of the same or an earlier revision."""
    if first.revision is None or second.revision is None:
        return False
    return first.revision <= second.revision
