"""Requests about the jobs of one availability zone."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import IdempotencyConflict, JobNotFound, OutcomeUnknown, Overloaded
from mimosapoint.jobs import Change, JobReply, JobTable
from mimosapoint.model import Cancelled, JobRecord, JobRequest, JobState, JobView, Outcome
from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.job_notifier import JobNotifier

__all__ = ["JobRequestHandler"]

PLACEMENT_BYTES_PER_TASK = 256
"""Room that a task's worker, boot and checkpoint take in a record."""

CANCEL_RETRY_AFTER = timedelta(seconds=2)
QUEUE_RETRY_AFTER = timedelta(seconds=5)


class JobRequestHandler:
    """Serves submissions, looks, cancellations and moves for the owner of a zone.

    :param keep_or_move: moves a job on that may not run in this zone; tells whether it may.
    :param end_queued: ends a waiting job.
    :param stop_job: asks the attempt of a job to stop its gang.
    """

    def __init__(
        self,
        ledger: IndexedJobTable,
        table: JobTable,
        watchers: JobNotifier,
        parts: ZoneOwnerDependencies,
        *,
        keep_or_move: Callable[[JobRecord], bool],
        end_queued: Callable[[str, Outcome], None],
        stop_job: Callable[[str, str, timedelta], None],
    ):
        self._ledger = ledger
        self._table = table
        self._watchers = watchers
        self._parts = parts
        self._keep_or_send = keep_or_move
        self._end_waiting = end_queued
        self._stop_job = stop_job

    async def submit(self, job_id: str, request: JobRequest, trace: str | None = None) -> JobReply:
        """Accept a job once per id.

        :raises IdempotencyConflict: the id was used for another request.
        :raises Overloaded: the workspace's queue or the table is full.
        """
        record = self._ledger.find(job_id)
        if record is None:
            self._accept(job_id, request, trace)
        elif record.request != request:
            raise IdempotencyConflict("the idempotency key was used for another request")
        with trio.move_on_after(self._parts.settings.durability_timeout.total_seconds()):
            await self._ledger.latest_change(job_id).wait_durable()
        return self._reply(self._ledger.get(job_id))

    def _accept(self, job_id: str, request: JobRequest, trace: str | None) -> None:
        self._check_queue_limit(request.workspace)
        self._check_bucket_size(job_id, request.gang)
        now = self._parts.clock.now()
        record = JobRecord(job_id, request, JobState.QUEUED, now, trace=trace)
        self._ledger.put(record)
        self._parts.telemetry.event(
            "job-accepted",
            job=job_id,
            version=self._parts.configuration.current.version,
            trace=trace or "",
        )
        self._keep_or_send(record)

    def _check_queue_limit(self, workspace: str) -> None:
        """Refuse a job early when the workspace has too many waiting."""
        known = self._parts.configuration.current.workspaces_by_id.get(workspace)
        limit = known.queue_limit if known else 0
        if self._ledger.queued_count(workspace) >= limit:
            raise Overloaded("the workspace's queue is full", retry_after=QUEUE_RETRY_AFTER)

    def _check_bucket_size(self, job_id: str, gang: int) -> None:
        """Refuse a job whose placement the table may not be able to hold."""
        size = self._table.bucket_of(job_id).size_bytes + gang * PLACEMENT_BYTES_PER_TASK
        if size > self._parts.settings.admission_bucket_bytes_limit:
            raise Overloaded(
                "the job table is full", retry_after=self._parts.settings.ended_retention
            )

    def get(self, workspace: str, job_id: str) -> JobReply:
        """Return a job of the workspace.

        :raises JobNotFound: the workspace has no such job.
        """
        return self._reply(self._get_in_workspace(workspace, job_id))

    def watch(self, workspace: str, job_id: str, address: str) -> JobReply:
        """Return a job, and tell the address when it ends."""
        reply = self.get(workspace, job_id)
        if reply.view.outcome is None and reply.moved_to is None:
            self._watchers.watch(job_id, address)
        return reply

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; an ended one stays as it is.

        :raises OutcomeUnknown: the store has not confirmed it in time.
        """
        record = self._get_in_workspace(workspace, job_id)
        if record.state is JobState.QUEUED:
            self._end_waiting(job_id, Cancelled(started=record.ever_started))
        elif record.live and not record.cancel_requested:
            self._ledger.put(attrs.evolve(record, cancel_requested=True))
            self._stop_job(job_id, "cancel", timedelta(0))
        await self._require_durable(self._ledger.latest_change(job_id))
        return self._reply(self._ledger.get(job_id))

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs that this zone has of a workspace, oldest first."""
        records = [r for r in self._ledger.records() if r.request.workspace == workspace]
        here = [record for record in records if record.state is not JobState.MOVED]
        return tuple(self._ledger.view(r) for r in sorted(here, key=lambda r: r.submitted_at))

    async def adopt(self, record: JobRecord) -> None:
        """Take over a job that has moved here, once per move number.

        :raises Overloaded: the move is so old that the job may have ended here already.
        """
        known = self._ledger.find(record.id)
        if known is None or known.moves < record.moves:
            age = self._parts.clock.now() - record.moved_at
            if age > self._parts.settings.ended_retention / 2:
                raise Overloaded("the move is too old to be adopted")
            self._check_bucket_size(record.id, record.request.gang)
            self._ledger.put(record)
        await self._require_durable(self._ledger.latest_change(record.id))

    async def _require_durable(self, change: Change) -> None:
        """Wait for a change to be durable, for a bounded time.

        :raises OutcomeUnknown: the store has not confirmed it in time.
        """
        with trio.move_on_after(self._parts.settings.durability_timeout.total_seconds()):
            await change.wait_durable()
        if not change.durable:
            raise OutcomeUnknown("the store is out of reach", retry_after=CANCEL_RETRY_AFTER)

    def _get_in_workspace(self, workspace: str, job_id: str) -> JobRecord:
        record = self._ledger.get(job_id)
        if record.request.workspace != workspace:
            raise JobNotFound(f"no job {job_id}")
        return record

    def _reply(self, record: JobRecord) -> JobReply:
        return JobReply(self._ledger.view(record), record.moved_to)
