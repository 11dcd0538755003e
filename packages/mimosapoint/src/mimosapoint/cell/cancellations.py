"""Cancellations as nodes store them, also of jobs whose submission has not taken effect yet."""

from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.cell.keys import CANCEL_PREFIX, cancel_key, job_key
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError
from mimosapoint.ports import Entry, Removal, Write
from mimosapoint.workload import AcceptedJob

__all__ = ["Cancellation", "EarlyCancellations", "is_cancelled_by", "submission_transaction"]


@attrs.frozen
class Cancellation:
    """Content of the entry that cancels a job.

    :param workspace: workspace of the caller; ``None`` if the job was stored, so that the gateway
        has checked that the caller may cancel it. Earlier versions write no other.
    """

    workspace: str | None = None


def is_cancelled_by(record: AcceptedJob, entry: Entry) -> bool:
    """Return whether an entry under the job's cancellation key applies to the job.

    An id that another workspace has cancelled before any job had it is free for this workspace.

    :param record: the job.
    :param entry: the entry.
    """
    try:
        workspace = decode(entry.value, Cancellation).workspace
    except CodecError:
        return True
    return workspace is None or workspace == record.tenant


def submission_transaction(
    record: AcceptedJob, mark: Mapping[str, int], cancellation: Entry | None
) -> tuple[dict[str, int], list[Write], list[str]]:
    """Return the conditions, writes and removals that store a submitted job.

    :param record: the job.
    :param mark: condition on the mark of refusals.
    :param cancellation: entry that cancels the id; ``None`` if there is none.
    """
    write, key = Write(job_key(record.id), encode(record)), cancel_key(record.id)
    conditions = {write.key: 0, key: cancellation.revision if cancellation is not None else 0}
    if cancellation is not None and is_cancelled_by(record, cancellation):
        # The entry loses its lease, so that it lasts as long as the job. Refusals do not matter,
        # as the job never runs.
        return conditions, [write, Write(key, encode(Cancellation()))], []
    return {**conditions, **mark}, [write], [key] if cancellation is not None else []


class EarlyCancellations:
    """Cancellations that the owner has read of jobs that it has not."""

    def __init__(self) -> None:
        self._entries_by_job: dict[str, Entry] = {}

    def add(self, entry: Entry) -> None:
        """Add a cancellation of a job that is not known."""
        self._entries_by_job[entry.key.removeprefix(CANCEL_PREFIX)] = entry

    def includes(self, record: AcceptedJob) -> bool:
        """Return whether a job was cancelled before it was known."""
        entry = self._entries_by_job.get(record.id)
        return entry is not None and is_cancelled_by(record, entry)

    def remove(self, removals: Iterable[Removal]) -> None:
        """Remove cancellations whose entries have been removed from the store."""
        for removal in removals:
            if removal.key.startswith(CANCEL_PREFIX):
                self._entries_by_job.pop(removal.key.removeprefix(CANCEL_PREFIX), None)

    def clear(self) -> None:
        """Remove all, before the inbox is read anew."""
        self._entries_by_job.clear()
