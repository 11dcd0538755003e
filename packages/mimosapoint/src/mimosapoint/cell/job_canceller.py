"""Cancellation of jobs, by any node."""

from mimosapoint.cell.admission_gate import AdmissionGate
from mimosapoint.cell.cancellations import Cancellation
from mimosapoint.cell.job_lookup import JobLookup
from mimosapoint.cell.keys import cancel_key, job_key
from mimosapoint.codec import encode
from mimosapoint.errors import StoreUnavailable
from mimosapoint.ports import KeyRead, Telemetry, TransactionConflict, TransactionStore, Write
from mimosapoint.workload import Queue

__all__ = ["JobCanceller"]


class JobCanceller:
    """Cancels jobs, also those whose submission has not taken effect yet.

    :param store: the store.
    :param lookup: checks that a job belongs to a caller.
    :param admission: keeps submissions that have begun from taking effect.
    :param telemetry: receives an event for each cancelled job.
    """

    def __init__(
        self,
        store: TransactionStore,
        lookup: JobLookup,
        admission: AdmissionGate,
        telemetry: Telemetry,
    ):
        self._store = store
        self._lookup = lookup
        self._admission = admission
        self._telemetry = telemetry

    async def cancel(self, workspace: str, job_id: str, queue: Queue | None) -> None:
        """Cancel a job; has no effect on an ended one.

        :param workspace: workspace of the caller.
        :param queue: queue that the caller names; ``None`` if it names none.
        :raises JobNotFound: the workspace has no such job; none with this id will run.
        :raises StoreUnavailable: the job was not cancelled.
        :raises StoreTimeout: the job may have been cancelled.
        """
        while True:
            found = await self._store.read(job_key(job_id))
            if found.entry is not None:
                await self._cancel_stored(found, workspace, job_id, queue)
                self._telemetry.event("cancel-accepted", job=job_id, workspace=workspace)
                return
            if await self._admission.cancel_unstored(job_id, workspace):
                raise self._lookup.not_found(job_id, workspace, "absent", found.revision)

    async def _cancel_stored(
        self, found: KeyRead, workspace: str, job_id: str, queue: Queue | None
    ) -> None:
        """Cancel a job that is stored.

        :raises JobNotFound: it is another workspace's, or was removed since it was read.
        :raises StoreUnavailable: another job has its id.
        """
        # Anyone may ask for jobs of a public queue, but only their workspaces may cancel them.
        named = None if queue is not None and queue.public else queue
        entry = self._lookup.require(found, workspace, job_id, named)
        write, known_rev = Write(cancel_key(job_id), encode(Cancellation())), 0
        while True:
            try:
                conditions = {entry.key: entry.revision, write.key: known_rev}
                await self._store.commit(conditions, [write])
                return
            except TransactionConflict as conflict:
                stored = conflict.entries_by_key.get(entry.key)
                if stored is None:
                    raise self._lookup.not_found(
                        job_id, workspace, "removed", entry.revision
                    ) from conflict
                if stored.revision != entry.revision:
                    # The job was removed, and its id accepted again, since it was read.
                    raise StoreUnavailable("the job was accepted anew") from conflict
                known = conflict.entries_by_key.get(write.key)
                if known is None or known.value == write.value:
                    return
                # A cancellation from before a node of an earlier version stored the job.
                known_rev = known.revision
