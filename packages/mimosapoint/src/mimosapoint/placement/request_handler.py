"""Handler of requests about the jobs of one availability zone."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import IdempotencyConflict, JobNotFound, OutcomeUnknown, Overloaded
from mimosapoint.jobs import Change, JobReply, JobTable
from mimosapoint.jobs.table import PLACEMENT_BYTES_PER_TASK
from mimosapoint.model import Cancelled, JobRecord, JobRequest, JobState, JobView, Outcome
from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.job_notifier import JobNotifier

__all__ = ["JobRequestHandler"]

CANCEL_RETRY_AFTER = timedelta(seconds=2)
QUEUE_RETRY_AFTER = timedelta(seconds=5)


class JobRequestHandler:
    """Handles submissions, queries, cancellations and adoptions for the owner of a zone.

    :param keep_or_move: moves a job that may not run in this zone; returns whether it may.
    :param end_queued: ends a queued job.
    :param stop_job: asks the attempt of a job to stop its gang.
    """

    def __init__(
        self,
        indexed_table: IndexedJobTable,
        table: JobTable,
        notifier: JobNotifier,
        dependencies: ZoneOwnerDependencies,
        *,
        keep_or_move: Callable[[JobRecord], bool],
        end_queued: Callable[[str, Outcome], None],
        stop_job: Callable[[str, str, timedelta], None],
    ):
        self._indexed_table = indexed_table
        self._table = table
        self._notifier = notifier
        self._dependencies = dependencies
        self._keep_or_move = keep_or_move
        self._end_queued = end_queued
        self._stop_job = stop_job

    async def submit(self, job_id: str, request: JobRequest, trace: str | None = None) -> JobReply:
        """Accept a job once per id; wait ``durability_timeout`` at most for it to be durable.

        :raises IdempotencyConflict: the id was used for another request.
        :raises Overloaded: the workspace's queue or the table is full.
        """
        record = self._indexed_table.find(job_id)
        if record is None:
            self._accept(job_id, request, trace)
        elif record.request != request:
            raise IdempotencyConflict("the idempotency key was used for another request")
        with trio.move_on_after(self._dependencies.settings.durability_timeout.total_seconds()):
            await self._indexed_table.latest_change(job_id).wait_durable()
        return self._reply(self._indexed_table.get(job_id))

    def _accept(self, job_id: str, request: JobRequest, trace: str | None) -> None:
        self._check_queue_limit(request.workspace)
        self._check_bucket_size(job_id, request.gang)
        now = self._dependencies.clock.now()
        record = JobRecord(job_id, request, JobState.QUEUED, now, trace=trace)
        self._indexed_table.put(record)
        self._dependencies.telemetry.event(
            "job-accepted",
            job=job_id,
            version=self._dependencies.configuration.current.version,
            trace=trace or "",
        )
        self._keep_or_move(record)

    def _check_queue_limit(self, workspace: str) -> None:
        """Refuse a job at admission when the workspace has reached its limit of queued jobs.

        :raises Overloaded: the limit is reached.
        """
        existing = self._dependencies.configuration.current.workspaces_by_id.get(workspace)
        limit = existing.queue_limit if existing else 0
        if self._indexed_table.queued_count(workspace) >= limit:
            raise Overloaded("the workspace's queue is full", retry_after=QUEUE_RETRY_AFTER)

    def _check_bucket_size(self, job_id: str, gang: int) -> None:
        """Refuse a job whose placement may not fit into its bucket of the job table.

        :raises Overloaded: the bucket is too large.
        """
        size = self._table.bucket_of(job_id).size_bytes + gang * PLACEMENT_BYTES_PER_TASK
        if size > self._dependencies.settings.admission_bucket_bytes_limit:
            raise Overloaded(
                "the job table is full", retry_after=self._dependencies.settings.ended_retention
            )

    def get(self, workspace: str, job_id: str) -> JobReply:
        """Return a job of the workspace.

        :raises JobNotFound: the workspace has no such job.
        """
        return self._reply(self._get_in_workspace(workspace, job_id))

    def watch(self, workspace: str, job_id: str, address: str) -> JobReply:
        """Return a job, and notify the address when it ends or moves."""
        reply = self.get(workspace, job_id)
        if reply.view.outcome is None and reply.moved_to is None:
            self._notifier.watch(job_id, address)
        return reply

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; an ended or moved one is left unchanged.

        :raises JobNotFound: the workspace has no such job.
        :raises OutcomeUnknown: the store has not confirmed the change in time.
        """
        record = self._get_in_workspace(workspace, job_id)
        if record.state is JobState.QUEUED:
            self._end_queued(job_id, Cancelled(started=record.ever_started))
        elif record.live and not record.cancel_requested:
            self._indexed_table.put(attrs.evolve(record, cancel_requested=True))
            self._stop_job(job_id, "cancel", timedelta(0))
        await self._require_durable(self._indexed_table.latest_change(job_id))
        return self._reply(self._indexed_table.get(job_id))

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the workspace's jobs in this zone, oldest first."""
        records = [r for r in self._indexed_table.records() if r.request.workspace == workspace]
        here = [record for record in records if record.state is not JobState.MOVED]
        return tuple(
            self._indexed_table.view(r) for r in sorted(here, key=lambda r: r.submitted_at)
        )

    async def adopt(self, record: JobRecord) -> None:
        """Adopt a job that was moved to this zone, once per move number.

        :raises Overloaded: the bucket of the job table is too large, or the move is so old that
            the job may already have been adopted, ended and removed here.
        :raises OutcomeUnknown: the store has not confirmed the record in time.
        """
        existing = self._indexed_table.find(record.id)
        if existing is None or existing.moves < record.moves:
            age = self._dependencies.clock.now() - record.moved_at
            if age > self._dependencies.settings.ended_retention / 2:
                raise Overloaded("the move is too old to be adopted")
            self._check_bucket_size(record.id, record.request.gang)
            self._indexed_table.put(record)
        await self._require_durable(self._indexed_table.latest_change(record.id))

    async def _require_durable(self, change: Change) -> None:
        """Wait ``durability_timeout`` at most until a change is durable.

        :raises OutcomeUnknown: the store has not confirmed the change in time.
        """
        with trio.move_on_after(self._dependencies.settings.durability_timeout.total_seconds()):
            await change.wait_durable()
        if not change.durable:
            raise OutcomeUnknown("the store is out of reach", retry_after=CANCEL_RETRY_AFTER)

    def _get_in_workspace(self, workspace: str, job_id: str) -> JobRecord:
        record = self._indexed_table.get(job_id)
        if record.request.workspace != workspace:
            raise JobNotFound(f"no job {job_id}")
        return record

    def _reply(self, record: JobRecord) -> JobReply:
        return JobReply(self._indexed_table.view(record), record.moved_to)
