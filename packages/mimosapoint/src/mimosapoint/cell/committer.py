"""Group commit of job progress, fenced by the epoch of the cell."""

from collections.abc import Callable, Iterable

import trio

from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import EPOCH_KEY, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Telemetry, TransactionConflict, TransactionStore, Write
from mimosapoint.workload import JobProgress, Phase

__all__ = ["ProgressCommitter"]

JOBS_PER_COMMIT = 15
"""Most jobs in one transaction: the store takes 32 conditions and writes, two of them for each job
and one for the epoch."""


class ProgressCommitter:
    """Writes changed progress to the store, many jobs in one transaction.

    :param store: the store.
    :param job_table: the jobs.
    :param ownership: the ownership.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    :param on_stored: called after each commit and after each resolved conflict.
    """

    def __init__(
        self,
        store: TransactionStore,
        job_table: CellJobTable,
        ownership: Ownership,
        settings: CellSettings,
        telemetry: Telemetry,
        on_stored: Callable[[], None],
    ):
        self._on_stored = on_stored
        self._store = store
        self._job_table = job_table
        self._ownership = ownership
        self._settings = settings
        self._telemetry = telemetry
        self._availability = StoreAvailability("commits", telemetry)
        self._commit_requested = trio.Event()
        self._stored = trio.Event()

    def wake(self) -> None:
        """Request a commit if progress has changed."""
        if self._job_table.uncommitted_by_id:
            self._commit_requested.set()

    async def wait_stored(self, jobs: Iterable[Job]) -> None:
        """Wait until the current progress of the jobs is stored."""
        wanted = [(job, job.progress_version) for job in jobs]
        self.wake()
        while any(job.stored_progress_version < version for job, version in wanted):
            await self._stored.wait()

    async def run(self) -> None:
        """Commit until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        while True:
            await self._commit_requested.wait()
            self._commit_requested = trio.Event()
            while self._job_table.uncommitted_by_id:
                batch = list(self._job_table.uncommitted_by_id.values())[:JOBS_PER_COMMIT]
                await self._commit(batch)

    async def _commit(self, batch: list[Job]) -> None:
        contents = [(job, job.progress_version, job.progress.shown_phase) for job in batch]
        conditions = {EPOCH_KEY: self._ownership.epoch_rev}
        writes = []
        for job in batch:
            key = progress_key(job.record.id)
            conditions[key] = job.progress_rev
            writes.append(Write(key, encode(job.progress)))
        try:
            revision = await self._store.commit(conditions, writes)
        except TransactionConflict as conflict:
            if not self._resolve_conflict(conflict, batch):
                await trio.sleep(self._settings.retry_delay.total_seconds())
        except (StoreUnavailable, StoreTimeout) as error:
            self._availability.record_failure(error, epoch=self._ownership.epoch, jobs=len(batch))
            await trio.sleep(self._settings.retry_delay.total_seconds())
        else:
            self._availability.record_success()
            for job, version, phase in contents:
                self._mark_stored(job, version, phase, revision)
            self._notify_stored()

    def _resolve_conflict(self, conflict: TransactionConflict, batch: list[Job]) -> bool:
        """Resolve unknown outcomes: take over the revisions of writes whose replies were lost.

        Progress that has disappeared is stored again.

        :return: whether a revision has changed, so that the commit can be repeated at once.
        :raises StaleEpoch: another node has claimed the cell.
        """
        self._ownership.raise_if_fenced(conflict)
        is_resolved = False
        for job in batch:
            entry = conflict.entries_by_key.get(progress_key(job.record.id))
            revision = entry.revision if entry else 0
            if revision == job.progress_rev:
                continue
            is_resolved = True
            self._telemetry.count("cell_commits_settled")
            progress = _decode_progress(entry.value) if entry is not None else None
            if progress is not None and progress == job.progress:
                self._mark_stored(job, job.progress_version, progress.shown_phase, revision)
            else:
                phase = progress.shown_phase if progress is not None else Phase.QUEUED
                self._set_stored(job, phase, revision)
        self._notify_stored()
        return is_resolved

    def _mark_stored(self, job: Job, version: int, phase: Phase, revision: int) -> None:
        """Record that a version of the progress, which shows this phase, is stored."""
        self._set_stored(job, phase, revision)
        job.stored_progress_version = version
        uncommitted = self._job_table.uncommitted_by_id
        if uncommitted.pop(job.record.id, None) and job.progress_version != version:
            # At the end, as jobs that change all the time would otherwise fill every batch.
            uncommitted[job.record.id] = job

    def _set_stored(self, job: Job, phase: Phase, revision: int) -> None:
        """Record the revision and the shown phase of the progress that is stored."""
        if phase.ended and not job.stored_phase.ended:
            self._telemetry.event(
                "job-end-stored",
                job=job.record.id,
                phase=phase,
                revision=revision,
                epoch=self._ownership.epoch,
            )
        job.progress_rev = revision
        job.stored_phase = phase

    def _notify_stored(self) -> None:
        self._stored.set()
        self._stored = trio.Event()
        self._on_stored()


def _decode_progress(value: bytes) -> JobProgress | None:
    try:
        return decode(value, JobProgress)
    except CodecError:
        return None
