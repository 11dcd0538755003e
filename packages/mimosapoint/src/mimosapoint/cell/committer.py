"""Group commit of progress, fenced by the epoch of the cell."""

from collections.abc import Callable, Iterable

import trio

from mimosapoint.cell.book import JobBook
from mimosapoint.cell.claim import Claim
from mimosapoint.cell.keys import EPOCH_KEY, progress_key
from mimosapoint.cell.reach import Reach
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.units import Job
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Conflict, Telemetry, TransactionStore, Write
from mimosapoint.workload import JobProgress

__all__ = ["Committer"]

JOBS_PER_COMMIT = 15
"""Most jobs in one transaction: the store takes 32 entries, two for each job and the epoch."""


class Committer:
    """Writes changed progress to the store, many jobs in one transaction.

    :param store: the store.
    :param book: the jobs.
    :param claim: the ownership.
    :param settings: times.
    :param telemetry: told of commits that fail.
    :param on_stored: called after each commit.
    """

    def __init__(
        self,
        store: TransactionStore,
        book: JobBook,
        claim: Claim,
        settings: CellSettings,
        telemetry: Telemetry,
        on_stored: Callable[[], None],
    ):
        self._on_stored = on_stored
        self._store = store
        self._book = book
        self._claim = claim
        self._settings = settings
        self._telemetry = telemetry
        self._reach = Reach("commits", telemetry)
        self._wanted = trio.Event()
        self._stored = trio.Event()

    def wake(self) -> None:
        """Commit soon, if something has changed."""
        if self._book.changed_by_id:
            self._wanted.set()

    async def wait_stored(self, jobs: Iterable[Job]) -> None:
        """Return when the progress of the jobs, as it is now, is stored."""
        wanted = [(job, job.version) for job in jobs]
        self.wake()
        while any(job.stored_version < version for job, version in wanted):
            await self._stored.wait()

    async def run(self) -> None:
        """Commit until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            while self._book.changed_by_id:
                batch = list(self._book.changed_by_id.values())[:JOBS_PER_COMMIT]
                await self._commit(batch)

    async def _commit(self, batch: list[Job]) -> None:
        versions = [(job, job.version) for job in batch]
        conditions = {EPOCH_KEY: self._claim.epoch_rev}
        writes = []
        for job in batch:
            key = progress_key(job.record.id)
            conditions[key] = job.progress_rev
            writes.append(Write(key, encode(job.progress)))
        try:
            revision = await self._store.commit(conditions, writes)
        except Conflict as conflict:
            self._settle(conflict, batch)
        except (StoreUnavailable, StoreTimeout) as error:
            self._reach.lost(error, epoch=self._claim.epoch, jobs=len(batch))
            await trio.sleep(self._settings.retry_pause.total_seconds())
        else:
            self._reach.regained()
            for job, version in versions:
                self._mark_stored(job, version, revision)
            self._announce()

    def _settle(self, conflict: Conflict, batch: list[Job]) -> None:
        """Take over the revisions of writes whose answers were lost.

        :raises StaleEpoch: another node has claimed the cell.
        """
        self._claim.check(conflict)
        stored = conflict.entries_by_key
        for job in batch:
            entry = stored.get(progress_key(job.record.id))
            if entry is None or entry.revision == job.progress_rev:
                continue
            self._telemetry.count("cell_commits_settled")
            job.progress_rev = entry.revision
            if _decoded(entry.value) == job.progress:
                self._mark_stored(job, job.version, entry.revision)
        self._announce()

    def _mark_stored(self, job: Job, version: int, revision: int) -> None:
        job.progress_rev = revision
        job.stored_version = version
        if job.version == version:
            self._book.changed_by_id.pop(job.record.id, None)

    def _announce(self) -> None:
        self._stored.set()
        self._stored = trio.Event()
        self._on_stored()


def _decoded(value: bytes) -> JobProgress | None:
    try:
        return decode(value, JobProgress)
    except CodecError:
        return None
