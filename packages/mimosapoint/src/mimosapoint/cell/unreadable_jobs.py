"""Stored jobs that the owner cannot read, until it can."""

from collections.abc import Callable, Iterable

import trio

from mimosapoint.cell.cancellations import is_cancelled_by
from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.inbox import add_stored_job
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.kept_ends import KeptEnds
from mimosapoint.cell.keys import cancel_key, job_key, progress_key
from mimosapoint.cell.run_supervisor import RunSupervisor
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.ports import EndedRun, Entry

__all__ = ["UnreadableJobs"]


class UnreadableJobs:
    """Reads jobs again that could not be read or were written anew, one after the other.

    An earlier owner may have started them, so that a job is added with its stored progress only.
    The ends of their runs are kept in the store.

    :param dependencies: store, clock and telemetry of the owner.
    :param ownership: the ownership.
    :param job_table: the jobs.
    :param committer: stores the progress of jobs.
    :param settings: interval between two reads.
    :param runs: cancels jobs and applies ends.
    :param recover: follows the starts of earlier owners of a job that was read.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        ownership: Ownership,
        job_table: CellJobTable,
        committer: ProgressCommitter,
        settings: CellSettings,
        runs: RunSupervisor,
        recover: Callable[[Job], None],
    ):
        self._store = dependencies.store
        self._telemetry = dependencies.telemetry
        self._job_table = job_table
        self._settings = settings
        self._cancel = runs.cancel
        self._recover = recover
        self._kept_ends = KeptEnds(
            dependencies, ownership, job_table, committer, settings, runs.apply_found_end
        )
        self._availability = StoreAvailability("unreadable-jobs", dependencies.telemetry)
        self._revisions_by_id: dict[str, tuple[int, int]] = {}

    async def load_kept_ends(self) -> None:
        """Load the ends that earlier owners have kept."""
        await self._kept_ends.load()

    def apply_kept_ends(self) -> None:
        """Apply the kept ends of the jobs that were loaded."""
        self._kept_ends.apply(self._job_table.jobs_by_id.values())

    async def keep_ends(self, ended: Iterable[EndedRun]) -> None:
        """Store those of the ended runs that belong to unreadable jobs."""
        await self._kept_ends.keep(ended)

    async def run(self) -> None:
        """Read one of the jobs in each interval, and remove applied ends, until cancelled.

        :raises ExceptionGroup: with :class:`StaleEpoch` if another node has claimed the cell.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kept_ends.run)
            nursery.start_soon(self._read_all)

    async def _read_all(self) -> None:
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
        self._recover(job)
        self._kept_ends.apply([job])
        await self._read_cancellation(job)

    async def _read_cancellation(self, job: Job) -> None:
        """Read whether a job was cancelled before the watch of the inbox knew it."""
        while True:
            try:
                entry = await self._store.get(cancel_key(job.record.id))
                if entry is not None and is_cancelled_by(job.record, entry):
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
