"""Ends of jobs that the owner cannot read, kept in the store until an owner can."""

from collections.abc import Callable, Iterable
from datetime import datetime

import attrs
import trio

from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import EPOCH_KEY, KEPT_END_PREFIX, kept_end_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import EndedRun, TransactionConflict, Write
from mimosapoint.workload import RunEnd, TaskId

__all__ = ["KeptEnd", "KeptEnds"]

ENDS_PER_COMMIT = 31
"""Most ends in one transaction: the store takes 32 conditions, writes and removals."""


@attrs.frozen
class KeptEnd:
    """End of a run whose job was not readable when a worker reported it.

    :param task: the task.
    :param run: number of the run.
    :param end: how it ended.
    :param checkpoint: newest checkpoint; empty for none.
    :param kept_at: time at which it was stored.
    """

    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str
    kept_at: datetime


class KeptEnds:
    """Stores the ends of unreadable jobs, and applies them once the jobs are read.

    docs/design/recovery.md states what a worker may forget, and why.

    :param dependencies: store, clock and telemetry of the owner.
    :param ownership: the ownership.
    :param job_table: the jobs.
    :param committer: stores the progress that results from the ends.
    :param settings: settings of the cell.
    :param apply_end: applies the end of a run to the job; returns whether it changed a unit.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        ownership: Ownership,
        job_table: CellJobTable,
        committer: ProgressCommitter,
        settings: CellSettings,
        apply_end: Callable[[TaskId, int, RunEnd, str], bool],
    ):
        self._store = dependencies.store
        self._clock = dependencies.clock
        self._telemetry = dependencies.telemetry
        self._ownership = ownership
        self._job_table = job_table
        self._committer = committer
        self._settings = settings
        self._apply_end = apply_end
        self._availability = StoreAvailability("kept-ends", dependencies.telemetry)
        self._ends_by_key: dict[str, KeptEnd] = {}
        self._unstored_by_key: dict[str, KeptEnd] = {}

    async def load(self) -> None:
        """Load the ends that earlier owners have kept."""
        for entry in (await self._store.scan(KEPT_END_PREFIX)).entries:
            try:
                self._ends_by_key[entry.key] = decode(entry.value, KeptEnd)
            except CodecError as error:
                self._telemetry.event("kept-end-unreadable", key=entry.key, error=str(error))
                self._telemetry.count("cell_unreadable_entries", prefix=KEPT_END_PREFIX)

    def apply(self, jobs: Iterable[Job]) -> None:
        """Apply the ends of jobs that have been read, also those that are not stored yet.

        Once the job is read, its tasks may start at any time.
        """
        jobs_by_id = {job.record.id: job for job in jobs}
        ends_by_key = {**self._unstored_by_key, **self._ends_by_key}
        for kept in sorted(ends_by_key.values(), key=lambda each: each.run):
            job = jobs_by_id.get(kept.task.job)
            if job is not None and not self._is_of_earlier_job(kept, job):
                self._apply(kept)

    async def keep(self, ended: Iterable[EndedRun]) -> None:
        """Store those of the ended runs whose jobs are unreadable and that a job's progress needs.

        :raises StaleEpoch: another node has claimed the cell.
        """
        now = self._clock.now()
        new_by_key = {
            kept_end_key(each.task, each.run): KeptEnd(
                each.task, each.run, each.end, each.checkpoint, now
            )
            for each in ended
            if each.task.job in self._job_table.unreadable_ids
            and (each.end in (RunEnd.DONE, RunEnd.FAILED) or each.checkpoint)
        }
        keys = [key for key in new_by_key if key not in self._ends_by_key]
        self._unstored_by_key.update((key, new_by_key[key]) for key in keys)
        while keys:
            batch = keys[:ENDS_PER_COMMIT]
            writes = [Write(key, encode(new_by_key[key])) for key in batch]
            if not await self._commit(writes):
                continue
            del keys[: len(batch)]
            for key in batch:
                self._record_stored(key, new_by_key[key])

    async def run(self) -> None:
        """Remove ends that need not be kept any more, until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        while True:
            unreadable_ids = self._job_table.unreadable_ids
            for key, kept in list(self._unstored_by_key.items()):
                if kept.task.job not in unreadable_ids:
                    del self._unstored_by_key[key]
            ends = self._ends_by_key.items()
            removable = [key for key, kept in ends if kept.task.job not in unreadable_ids]
            removable = removable[:ENDS_PER_COMMIT]
            ids = {self._ends_by_key[key].task.job for key in removable}
            by_id = self._job_table.jobs_by_id
            await self._committer.wait_stored([by_id[each] for each in ids if each in by_id])
            if removable and await self._commit(removals=removable):
                for key in removable:
                    del self._ends_by_key[key]
                continue
            await trio.sleep(self._settings.watch_timeout.total_seconds())

    async def _commit(self, writes: Iterable[Write] = (), removals: Iterable[str] = ()) -> bool:
        """Commit and return whether that succeeded; pause if it did not."""
        conditions = {EPOCH_KEY: self._ownership.epoch_rev}
        try:
            await self._store.commit(conditions, list(writes), list(removals))
        except TransactionConflict as conflict:
            self._ownership.raise_if_fenced(conflict)
        except (StoreUnavailable, StoreTimeout) as error:
            self._availability.record_failure(error, epoch=self._ownership.epoch)
        else:
            self._availability.record_success()
            return True
        await trio.sleep(self._settings.retry_delay.total_seconds())
        return False

    def _record_stored(self, key: str, kept: KeptEnd) -> None:
        self._unstored_by_key.pop(key, None)
        self._ends_by_key[key] = kept
        self._telemetry.event(
            "end-kept", job=kept.task.job, task=kept.task, run=kept.run, end=kept.end
        )

    def _apply(self, kept: KeptEnd) -> None:
        is_changed = self._apply_end(kept.task, kept.run, kept.end, kept.checkpoint)
        self._telemetry.event(
            "kept-end-applied",
            job=kept.task.job,
            task=kept.task,
            run=kept.run,
            end=kept.end,
            changed=is_changed,
        )

    def _is_of_earlier_job(self, kept: KeptEnd, job: Job) -> bool:
        """Return whether an end is of a job that was removed before its id was accepted again.

        That is at least the retention time after the end. Half of it allows for wrong clocks.
        """
        return job.record.accepted_at >= kept.kept_at + self._settings.retention / 2
