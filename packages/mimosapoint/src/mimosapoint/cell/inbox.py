"""Jobs and cancellations that entries have stored for the owner."""

from collections.abc import Callable

import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import (
    CANCEL_PREFIX,
    INBOX_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    cancel_key,
    job_key,
    progress_key,
)
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.cell.units import Job
from mimosapoint.codec import decode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Entry,
    HistoryLost,
    ScanResult,
    Telemetry,
    TransactionConflict,
    TransactionStore,
)
from mimosapoint.workload import AcceptedJob, JobProgress

__all__ = ["Inbox", "load_jobs"]


async def load_jobs(store: TransactionStore, book: CellJobTable, telemetry: Telemetry) -> int:
    """Fill the book from the store and return the revision to follow the inbox from."""
    scans_by_prefix: dict[str, ScanResult] = {}

    async def read(prefix: str) -> None:
        scans_by_prefix[prefix] = await store.scan(prefix)

    async with trio.open_nursery() as nursery:
        for prefix in (INBOX_PREFIX, PROGRESS_PREFIX):
            nursery.start_soon(read, prefix)
    accepted, stored = scans_by_prefix[INBOX_PREFIX], scans_by_prefix[PROGRESS_PREFIX]
    progress_by_job = {entry.key.removeprefix(PROGRESS_PREFIX): entry for entry in stored.entries}
    for entry in accepted.entries:
        if entry.key.startswith(JOB_PREFIX):
            stored_progress = progress_by_job.get(entry.key.removeprefix(JOB_PREFIX))
            _add_job(entry, stored_progress, book, telemetry)
    for entry in accepted.entries:
        if entry.key.startswith(CANCEL_PREFIX):
            job = book.jobs_by_id.get(entry.key.removeprefix(CANCEL_PREFIX))
            if job is not None:
                book.cancel(job)
    return accepted.revision


def _add_job(
    entry: Entry, progress_entry: Entry | None, book: CellJobTable, telemetry: Telemetry
) -> None:
    try:
        record = decode(entry.value, AcceptedJob)
        if progress_entry is None:
            book.add(record, entry.revision)
        else:
            progress = decode(progress_entry.value, JobProgress)
            book.add(record, entry.revision, progress, progress_entry.revision)
    except CodecError as error:
        telemetry.event("job-unreadable", key=entry.key, error=str(error))
        telemetry.count("cell_unreadable_entries", prefix=JOB_PREFIX)


class Inbox:
    """Follows what entries store, and removes what has been kept long enough.

    :param ports: what the owner stands on.
    :param book: the jobs.
    :param settings: times.
    :param cancel: cancels a job.
    :param changed: called after each change.
    """

    def __init__(
        self,
        ports: CellOwnerDependencies,
        book: CellJobTable,
        settings: CellSettings,
        cancel: Callable[[Job], None],
        changed: Callable[[], None],
    ):
        self._store = ports.store
        self._telemetry = ports.telemetry
        self._clock = ports.clock
        self._book = book
        self._settings = settings
        self._cancel = cancel
        self._changed = changed
        self._freshness = Freshness(ports.clock, settings)
        self._reach = StoreAvailability("inbox", ports.telemetry)

    def is_fresh(self) -> bool:
        """Tell whether the inbox was read lately."""
        return self._freshness.is_fresh()

    async def run(self, revision: int) -> None:
        """Follow the inbox until cancelled.

        :param revision: revision up to which the book is filled.
        """
        self._freshness.confirm(self._clock.now())
        while True:
            try:
                revision = await self._follow(revision)
                self._reach.record_success()
                await self._remove_expired_job()
            except HistoryLost as error:
                self._telemetry.event("watch-reset", prefix=INBOX_PREFIX, error=error.code)
                revision = await self._rescan(revision)
            except (StoreUnavailable, StoreTimeout) as error:
                self._reach.record_failure(error, revision=revision)
                await trio.sleep(self._settings.retry_delay.total_seconds())

    async def _follow(self, revision: int) -> int:
        changes = await self._store.watch(INBOX_PREFIX, revision, self._settings.watch_timeout)
        self._apply(changes.written)
        self._freshness.confirm(self._clock.now())
        return changes.revision

    async def _rescan(self, revision: int) -> int:
        try:
            scan = await self._store.scan(INBOX_PREFIX)
        except (StoreUnavailable, StoreTimeout) as error:
            self._reach.record_failure(error, revision=revision)
            await trio.sleep(self._settings.retry_delay.total_seconds())
            return revision
        self._apply(scan.entries)
        self._freshness.confirm(self._clock.now())
        return scan.revision

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.key.startswith(JOB_PREFIX):
                _add_job(entry, None, self._book, self._telemetry)
        for entry in entries:
            if entry.key.startswith(CANCEL_PREFIX):
                job = self._book.jobs_by_id.get(entry.key.removeprefix(CANCEL_PREFIX))
                if job is not None and not job.cancelled:
                    self._telemetry.event(
                        "job-cancelled", job=job.record.id, revision=entry.revision
                    )
                    self._cancel(job)
        if entries:
            self._changed()

    async def _remove_expired_job(self) -> None:
        """Remove one job that ended long ago, with all that is stored of it."""
        limit = self._clock.now() - self._settings.retention
        for job in self._book.jobs_by_id.values():
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
            try:
                await self._store.commit({progress_key(job_id): job.progress_rev}, (), keys)
            except TransactionConflict as conflict:
                self._telemetry.event("job-not-removed", job=job_id, error=conflict.code)
            self._book.remove(job)
            return
