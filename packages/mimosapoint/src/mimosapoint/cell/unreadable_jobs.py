"""Stored jobs that the owner cannot read, until it can."""

from collections.abc import Callable

import trio

from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.inbox import add_stored_job
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import cancel_key, job_key, progress_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.ports import Entry

__all__ = ["UnreadableJobs"]


class UnreadableJobs:
    """Reads the jobs again that could not be read, one after the other.

    An earlier owner may have started them, so that a job is added with its stored progress only.

    :param dependencies: store and telemetry of the owner.
    :param job_table: the jobs.
    :param settings: interval between two reads.
    :param cancel: cancels a job.
    :param on_read: called with each job that was added, before anything else uses it.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        job_table: CellJobTable,
        settings: CellSettings,
        cancel: Callable[[Job], None],
        on_read: Callable[[Job], None],
    ):
        self._store = dependencies.store
        self._telemetry = dependencies.telemetry
        self._job_table = job_table
        self._settings = settings
        self._cancel = cancel
        self._on_read = on_read
        self._availability = StoreAvailability("unreadable-jobs", dependencies.telemetry)
        self._revisions_by_id: dict[str, tuple[int, int]] = {}

    async def run(self) -> None:
        """Read one of the jobs in each interval until cancelled."""
        while True:
            for job_id in sorted(self._job_table.unreadable_ids):
                await trio.sleep(self._settings.watch_timeout.total_seconds())
                try:
                    await self._read(job_id)
                    self._availability.record_success()
                except (StoreUnavailable, StoreTimeout) as error:
                    self._availability.record_failure(error, job=job_id)
            await trio.sleep(self._settings.watch_timeout.total_seconds())

    async def _read(self, job_id: str) -> None:
        record = await self._store.get(job_key(job_id))
        progress = await self._store.get(progress_key(job_id))
        if record is None and progress is None:
            self._forget(job_id)
            return
        revisions = (_revision(record), _revision(progress))
        if record is None or self._revisions_by_id.get(job_id) == revisions:
            return
        self._revisions_by_id[job_id] = revisions
        if not add_stored_job(record, progress, self._job_table, self._telemetry):
            return
        self._forget(job_id)
        job = self._job_table.jobs_by_id[job_id]
        self._on_read(job)
        await self._read_cancellation(job)

    async def _read_cancellation(self, job: Job) -> None:
        """Read whether a job was cancelled before the watch of the inbox knew it."""
        while True:
            try:
                if await self._store.get(cancel_key(job.record.id)) is not None:
                    self._cancel(job)
                return
            except (StoreUnavailable, StoreTimeout) as error:
                self._availability.record_failure(error, job=job.record.id)
                await trio.sleep(self._settings.retry_delay.total_seconds())

    def _forget(self, job_id: str) -> None:
        self._job_table.unreadable_ids.discard(job_id)
        self._revisions_by_id.pop(job_id, None)


def _revision(entry: Entry | None) -> int:
    return entry.revision if entry is not None else 0
