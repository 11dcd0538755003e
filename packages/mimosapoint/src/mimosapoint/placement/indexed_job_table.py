"""Job table of an owner with indexes by state and notifications of ended jobs."""

from collections.abc import Callable
from datetime import datetime

import attrs

from mimosapoint.codec import encode
from mimosapoint.jobs import Change, JobTable, job_view
from mimosapoint.model import Failed, JobRecord, JobState, JobView, Outcome
from mimosapoint.ports import Clock, Telemetry

__all__ = ["IndexedJobTable"]

ALLOCATED_STATES = (JobState.PLACED, JobState.RUNNING, JobState.STOPPING)


class IndexedJobTable:
    """Job table that indexes queued and allocated jobs and reports changes and ended jobs.

    :param table: the durable job table.
    :param on_change: called after each change that the scheduler should take into account.
    :param on_ended: called with each ended job once its outcome is durable.
    """

    def __init__(
        self,
        table: JobTable,
        *,
        clock: Clock,
        telemetry: Telemetry,
        on_change: Callable[[], None],
        on_ended: Callable[[JobView], None],
    ):
        self._table = table
        self._clock = clock
        self._telemetry = telemetry
        self._on_change = on_change
        self._on_ended = on_ended
        self._queued_by_id: dict[str, JobRecord] = {}
        self._allocated_by_id: dict[str, JobRecord] = {}
        for record in sorted(table, key=lambda record: record.submitted_at):
            self._index(record)

    @property
    def zone(self) -> str:
        """Id of the availability zone."""
        return self._table.zone

    @property
    def writes_failing(self) -> bool:
        """Whether a write of some bucket has failed and has not succeeded since."""
        return self._table.writes_failing

    def find(self, job_id: str) -> JobRecord | None:
        """Return the record of a job, or ``None`` if the table has no such job."""
        return self._table.find(job_id)

    def get(self, job_id: str) -> JobRecord:
        """Return the record of a job.

        :raises JobNotFound: the table has no such job.
        """
        return self._table.get(job_id)

    def latest_change(self, job_id: str) -> Change:
        """Return the latest change of the job's record."""
        return self._table.latest_change(job_id)

    def records(self) -> list[JobRecord]:
        """Return all records."""
        return list(self._table)

    def put(self, record: JobRecord) -> Change:
        """Insert or replace a record, and report the change."""
        change = self._table.put(record)
        self._index(record)
        self._on_change()
        return change

    def remove(self, job_id: str) -> None:
        """Remove a record; this is not reported as a change."""
        self._table.remove(job_id)
        self._queued_by_id.pop(job_id, None)
        self._allocated_by_id.pop(job_id, None)

    def _index(self, record: JobRecord) -> None:
        if record.state is JobState.QUEUED:
            self._queued_by_id[record.id] = record
        else:
            self._queued_by_id.pop(record.id, None)
        if record.state in ALLOCATED_STATES:
            self._allocated_by_id[record.id] = record
        else:
            self._allocated_by_id.pop(record.id, None)

    def allocated(self) -> dict[str, JobRecord]:
        """Return the jobs that have resources allocated on workers, by id."""
        return dict(self._allocated_by_id)

    def queued(self) -> list[JobRecord]:
        """Return the queued jobs, oldest first."""
        return sorted(self._queued_by_id.values(), key=lambda record: record.submitted_at)

    def placeable(self) -> list[JobRecord]:
        """Return the queued jobs whose placement fits into their buckets, oldest first."""
        queued = self.queued()
        if not self._table.any_bucket_half_full:
            return queued
        return [record for record in queued if self.has_space_for_placement(record)]

    def has_space_for_placement(self, record: JobRecord) -> bool:
        """Return whether the placement of a job fits into its bucket."""
        return self._table.has_space_for_placement(record.id, record.request.gang)

    def past_start_deadline(self, now: datetime) -> list[JobRecord]:
        """Return the queued jobs whose start deadline has passed, in no particular order."""
        return [record for record in self._queued_by_id.values() if record.missed_start_by(now)]

    def queued_count(self, workspace: str | None = None) -> int:
        """Return the number of queued jobs of one workspace, or of all workspaces."""
        if workspace is None:
            return len(self._queued_by_id)
        waiting = self._queued_by_id.values()
        return sum(record.request.workspace == workspace for record in waiting)

    def view(self, record: JobRecord) -> JobView:
        """Return the callers' view of a job."""
        durable = self._table.latest_change(record.id).durable
        return job_view(record, self._table.zone, durable)

    async def end(self, job_id: str, outcome: Outcome) -> None:
        """Record the outcome of a job, and report the end once it is durable."""
        self.set_outcome(job_id, outcome)
        await self.notify_when_durable(job_id)

    def set_outcome(self, job_id: str, outcome: Outcome) -> None:
        """Record the outcome of a job, or a failure if its bucket has no space for the outcome."""
        if not self._table.has_space_for_outcome(job_id, len(encode(outcome))):
            outcome = Failed("answer-too-large", "the job table has no room for the answer")
        record = attrs.evolve(
            self.get(job_id),
            state=JobState.ENDED,
            ended_at=self._clock.now(),
            stop_reason=None,
            outcome=outcome,
        )
        self.put(record)

    async def notify_when_durable(self, job_id: str) -> None:
        """Wait until the outcome of a job is durable, then report the end."""
        record = self.get(job_id)
        await self.latest_change(job_id).wait_durable()
        self._notify_ended(record)

    def _notify_ended(self, record: JobRecord) -> None:
        outcome_name = type(record.outcome).__name__
        duration_seconds = (record.ended_at - record.submitted_at).total_seconds()
        self._telemetry.count("jobs_ended_total", outcome=outcome_name)
        self._telemetry.observe(
            "completion_seconds", duration_seconds, job_class=record.request.job_class.value
        )
        self._telemetry.event(
            "job-ended", job=record.id, outcome=outcome_name, seconds=round(duration_seconds, 3)
        )
        self._on_ended(job_view(record, self._table.zone, True))
