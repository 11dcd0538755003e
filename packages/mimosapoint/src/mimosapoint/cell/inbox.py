"""Inbox of the owner: jobs and cancellations that the gateways store."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.cell.cancellations import is_cancelled_by
from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import (
    CANCEL_PREFIX,
    EPOCH_KEY,
    INBOX_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    cancel_key,
    job_key,
    progress_key,
)
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.codec import decode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    ChangeBatch,
    Entry,
    HistoryLost,
    Removal,
    ScanResult,
    Telemetry,
    TransactionConflict,
    TransactionStore,
)
from mimosapoint.workload import AcceptedJob, JobProgress, check_job, check_progress

__all__ = ["Inbox", "LoadedJobs", "add_stored_job", "load_jobs"]


@attrs.frozen
class LoadedJobs:
    """Result of loading the jobs.

    :param revision: revision from which to watch the inbox.
    :param has_unreadable: whether a job or its progress could not be read.
    """

    revision: int
    has_unreadable: bool


async def load_jobs(
    store: TransactionStore, job_table: CellJobTable, telemetry: Telemetry
) -> LoadedJobs:
    """Load the jobs from the store, and record in the table which ones cannot be read."""
    scans_by_prefix: dict[str, ScanResult] = {}

    async def read(prefix: str) -> None:
        scans_by_prefix[prefix] = await store.scan(prefix)

    async with trio.open_nursery() as nursery:
        for prefix in (INBOX_PREFIX, PROGRESS_PREFIX):
            nursery.start_soon(read, prefix)
    accepted, stored = scans_by_prefix[INBOX_PREFIX], scans_by_prefix[PROGRESS_PREFIX]
    progress_by_job = {entry.key.removeprefix(PROGRESS_PREFIX): entry for entry in stored.entries}
    for entry in accepted.entries:
        # A recovery that takes long must not keep the ownership from being renewed.
        await trio.lowlevel.checkpoint()
        if entry.key.startswith(JOB_PREFIX):
            job_id = entry.key.removeprefix(JOB_PREFIX)
            if not add_stored_job(entry, progress_by_job.pop(job_id, None), job_table, telemetry):
                job_table.unreadable_ids.add(job_id)
    # Progress without a job is that of a job which is not known; it may have runs, too.
    job_table.unreadable_ids.update(progress_by_job)
    for entry in accepted.entries:
        if entry.key.startswith(CANCEL_PREFIX):
            job = job_table.jobs_by_id.get(entry.key.removeprefix(CANCEL_PREFIX))
            if job is None:
                job_table.early_cancellations.add(entry)
            elif is_cancelled_by(job.record, entry):
                job_table.cancel(job)
    return LoadedJobs(accepted.revision, bool(job_table.unreadable_ids))


def add_stored_job(
    entry: Entry, progress_entry: Entry | None, job_table: CellJobTable, telemetry: Telemetry
) -> bool:
    """Add a job to the table; return whether it could be read."""
    try:
        record = decode(entry.value, AcceptedJob)
        check_job(record)
        if job_key(record.id) != entry.key:
            raise CodecError(f"the job of another key, {record.id}")
        if progress_entry is None:
            job_table.add(record, entry.revision)
        else:
            progress = decode(progress_entry.value, JobProgress)
            check_progress(record, progress)
            job_table.add(record, entry.revision, progress, progress_entry.revision)
    except CodecError as error:
        telemetry.event("job-unreadable", key=entry.key, error=str(error))
        telemetry.count("cell_unreadable_entries", prefix=JOB_PREFIX)
        return False
    return True


def _remaining_entries(batch: ChangeBatch) -> tuple[Entry, ...]:
    """Return the entries that a batch of changes leaves, without those that it also removes.

    A removed job and its cancellation say nothing about a job accepted later under the same id.
    """
    newest_by_key = {change.key: change for change in batch.changes}
    return tuple(change for change in newest_by_key.values() if isinstance(change, Entry))


class Inbox:
    """Watches the inbox, and removes ended jobs once their retention time is over.

    :param dependencies: dependencies of the owner.
    :param ownership: the ownership.
    :param job_table: the jobs.
    :param settings: settings of the cell.
    :param cancel: cancels a job.
    :param on_changed: called after entries were applied.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        ownership: Ownership,
        job_table: CellJobTable,
        settings: CellSettings,
        cancel: Callable[[Job], None],
        on_changed: Callable[[], None],
    ):
        self._store = dependencies.store
        self._telemetry = dependencies.telemetry
        self._clock = dependencies.clock
        self._ownership = ownership
        self._job_table = job_table
        self._settings = settings
        self._cancel = cancel
        self._on_changed = on_changed
        self._freshness = Freshness(dependencies.clock, settings)
        self._availability = StoreAvailability("inbox", dependencies.telemetry)

    def is_fresh(self) -> bool:
        """Return whether the inbox was read within the freshness bound."""
        return self._freshness.is_fresh()

    async def run(self, revision: int) -> None:
        """Watch the inbox until cancelled.

        :param revision: revision up to which the inbox is loaded.
        """
        while True:
            try:
                revision = await self._watch(revision)
                self._availability.record_success()
                await self._remove_expired_job()
            except HistoryLost as error:
                self._telemetry.event("watch-reset", prefix=INBOX_PREFIX, error=error.code)
                revision = await self._rescan(revision)
            except (StoreUnavailable, StoreTimeout) as error:
                self._availability.record_failure(error, revision=revision)
                await trio.sleep(self._settings.retry_delay.total_seconds())

    async def _watch(self, revision: int) -> int:
        # Nothing starts before the inbox is confirmed, so the first watch, and that after a failure
        # or a long transfer, is answered at once.
        is_confirmed = self._availability.is_available and self._freshness.is_fresh()
        timeout = self._settings.watch_timeout if is_confirmed else timedelta(0)
        await self._availability.wait_reply(self._store, self._settings)
        requested_at = self._clock.now()
        changes = await self._store.watch(INBOX_PREFIX, revision, timeout)
        self._job_table.early_cancellations.remove(
            change for change in changes.changes if isinstance(change, Removal)
        )
        self._apply(_remaining_entries(changes))
        self._freshness.confirm_watched(requested_at, changes.transfer_time)
        return changes.revision

    async def _rescan(self, revision: int) -> int:
        try:
            await self._availability.wait_reply(self._store, self._settings)
            requested_at = self._clock.now()
            scan = await self._store.scan(INBOX_PREFIX)
        except (StoreUnavailable, StoreTimeout) as error:
            self._availability.record_failure(error, revision=revision)
            await trio.sleep(self._settings.retry_delay.total_seconds())
            return revision
        self._job_table.early_cancellations.clear()
        self._apply(scan.entries)
        self._freshness.confirm(requested_at)
        return scan.revision

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.key.startswith(JOB_PREFIX):
                self._add_job(entry)
        for entry in entries:
            if entry.key.startswith(CANCEL_PREFIX):
                job = self._job_table.jobs_by_id.get(entry.key.removeprefix(CANCEL_PREFIX))
                if job is None:
                    self._job_table.early_cancellations.add(entry)
                elif is_cancelled_by(job.record, entry):
                    self._cancel_job(job, entry.revision)
        if entries:
            self._on_changed()

    def _cancel_job(self, job: Job, revision: int) -> None:
        """Cancel a job, unless it is cancelled already.

        :param revision: revision of the cancellation, or of a job that was cancelled before.
        """
        if not job.cancelled:
            self._telemetry.event("job-cancelled", job=job.record.id, revision=revision)
            self._cancel(job)

    def _add_job(self, entry: Entry) -> None:
        job_id = entry.key.removeprefix(JOB_PREFIX)
        unreadable_ids = self._job_table.unreadable_ids
        # One that could not be read may have progress, with which it is read again.
        if job_id in unreadable_ids:
            return
        is_read = add_stored_job(entry, None, self._job_table, self._telemetry)
        job = self._job_table.jobs_by_id.get(job_id)
        if job is None:
            if not is_read:
                unreadable_ids.add(job_id)
        elif self._job_table.early_cancellations.includes(job.record):
            self._cancel_job(job, entry.revision)

    async def _remove_expired_job(self) -> None:
        """Remove one job whose retention time is over, with all its entries in the store.

        A job stays while its progress is not stored or one of its runs is still on a worker. The
        next owner reads jobs and progress one after the other, so that an earlier owner must not
        remove a job in between, which would look like one that has not started.

        :raises StaleEpoch: another node has claimed the cell.
        """
        limit = self._clock.now() - self._settings.retention
        for job in self._job_table.jobs_by_id.values():
            if (
                job.ended_at is None
                or job.ended_at > limit
                or job.stored_progress_version < job.progress_version
            ):
                continue
            if any(unit.task_runs_by_task for unit in job.units_by_id.values()):
                continue
            job_id = job.record.id
            keys = [job_key(job_id), cancel_key(job_id), progress_key(job_id)]
            conditions = {
                EPOCH_KEY: self._ownership.epoch_rev,
                progress_key(job_id): job.progress_rev,
            }
            try:
                await self._store.commit(conditions, (), keys)
            except TransactionConflict as conflict:
                self._ownership.raise_if_fenced(conflict)
                self._telemetry.event("job-not-removed", job=job_id, error=conflict.code)
                if progress_key(job_id) in conflict.entries_by_key:
                    self._job_table.unreadable_ids.add(job_id)
            self._job_table.remove(job)
            return
