"""The owner of one availability zone: the single writer of its jobs and placements."""

from datetime import timedelta

import trio

from mimosapoint.configuration import ZoneMode
from mimosapoint.errors import NotOwner
from mimosapoint.jobs import Bucket, JobReply, JobTable, JobTableCommitter
from mimosapoint.model import JobRecord, JobRequest, JobState, JobView, Outcome
from mimosapoint.placement.attempt_manager import AttemptManager
from mimosapoint.placement.commands import GangCommands
from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.job_mover import JobMover
from mimosapoint.placement.job_notifier import JobNotifier
from mimosapoint.placement.lease_manager import LeaseManager
from mimosapoint.placement.lease_renewer import LeaseHolder
from mimosapoint.placement.pause_detector import PauseDetector
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.request_handler import JobRequestHandler
from mimosapoint.placement.scheduler import Scheduler
from mimosapoint.placement.start_gate import StartGate
from mimosapoint.placement.worker_inventory import WorkerInventory
from mimosapoint.placement.zone_status import ZoneStatus
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZoneOwner"]

MAINTENANCE_INTERVAL = timedelta(seconds=5)
FLUSH_TIMEOUT_SECONDS = 3.0


class ZoneOwner:
    """Accepts, places, runs and ends the jobs of one availability zone.

    :param table: job table, fenced with the epoch.
    :param holder: node, zone and epoch of this owner.
    :param writer: id of the node and its incarnation.
    """

    def __init__(
        self, table: JobTable, holder: LeaseHolder, writer: str, parts: ZoneOwnerDependencies
    ):
        self.zone = holder.zone
        self.epoch = holder.epoch
        self.dependencies = parts
        self._writer = writer
        self._table = table
        self._closing = False
        self._nursery: trio.Nursery | None = None
        self._notifier = JobNotifier(parts.peers, parts.clock)
        self.indexed_table = self._make_ledger()
        self.report_cache = ReportCache()
        self.worker_inventory = WorkerInventory()
        self.start_gate = StartGate(self.zone, parts.configuration, parts.clock)
        self.mover = self._make_mover()
        self._pause_detector = PauseDetector(
            parts.store, table.buckets[0].key, self.epoch, parts.clock
        )
        self._leases = LeaseManager(
            holder, parts, self.report_cache, self.worker_inventory, self._wake_scheduler
        )
        self._scheduler = Scheduler(self)
        self._attempts = self._make_attempts()
        self._request_handler = JobRequestHandler(
            self.indexed_table,
            table,
            self._notifier,
            parts,
            keep_or_move=self.keep_or_move,
            end_queued=self.end_queued,
            stop_job=self.stop_job,
        )

    def _make_ledger(self) -> IndexedJobTable:
        return IndexedJobTable(
            self._table,
            clock=self.dependencies.clock,
            telemetry=self.dependencies.telemetry,
            on_change=self._wake_scheduler,
            on_ended=self._notifier.notify,
        )

    def _make_mover(self) -> JobMover:
        return JobMover(
            self.indexed_table,
            self.dependencies.peers,
            clock=self.dependencies.clock,
            telemetry=self.dependencies.telemetry,
            address_of=self.dependencies.address_of,
            on_moved=self._notifier.notify,
        )

    def _make_attempts(self) -> AttemptManager:
        parts = self.dependencies
        commands = GangCommands(
            parts.workers, self.report_cache, self.worker_inventory, parts.clock, self.epoch
        )
        return AttemptManager(
            parts,
            ledger=self.indexed_table,
            commands=commands,
            board=self.report_cache,
            roster=self.worker_inventory,
            permit=self.start_gate,
            pauses=self._pause_detector,
            on_ended=self._scheduler.on_job_ended,
            on_change=self._wake_scheduler,
        )

    # Requests of callers, which any node may pass on.

    def _require_request_handler(self) -> JobRequestHandler:
        """Return the requests' side.

        :raises NotOwner: the owner closes, or cannot know whether it still owns the zone.
        """
        if self._closing or self._nursery is None or self._pause_detector.ownership_uncertain():
            raise NotOwner(self.zone)
        return self._request_handler

    async def submit(self, job_id: str, request: JobRequest, trace: str | None = None) -> JobReply:
        """Accept a job; see :meth:`JobRequestHandler.submit`."""
        return await self._require_request_handler().submit(job_id, request, trace)

    def get(self, workspace: str, job_id: str) -> JobReply:
        """Return a job; see :meth:`JobRequestHandler.get`."""
        return self._require_request_handler().get(workspace, job_id)

    def watch(self, workspace: str, job_id: str, address: str) -> JobReply:
        """Return a job, and tell the address when it ends."""
        return self._require_request_handler().watch(workspace, job_id, address)

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; see :meth:`JobRequestHandler.cancel`."""
        return await self._require_request_handler().cancel(workspace, job_id)

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs that this zone has of a workspace, oldest first."""
        return self._require_request_handler().jobs(workspace)

    async def adopt(self, record: JobRecord) -> None:
        """Take over a job that has moved here; see :meth:`JobRequestHandler.adopt`."""
        await self._require_request_handler().adopt(record)

    # The owner's work.

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Own the zone until cancelled or closed.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        async with trio.open_nursery() as nursery:
            for bucket in self._table.buckets:
                nursery.start_soon(self._committer(bucket).run)
            await nursery.start(self._leases.run)
            await nursery.start(self._attempts.run)
            nursery.start_soon(self._notifier.run)
            nursery.start_soon(self.mover.run)
            nursery.start_soon(self._run_maintenance)
            nursery.start_soon(self._pause_detector.run)
            nursery.start_soon(self._scheduler.run)
            self._nursery = nursery
            task_status.started()

    async def close(self) -> None:
        """Refuse requests, flush the table for a bounded time and stop working."""
        self._closing = True
        with trio.move_on_after(FLUSH_TIMEOUT_SECONDS):
            for bucket in self._table.buckets:
                await bucket.wait_durable(bucket.change_count)
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _committer(self, bucket: Bucket) -> JobTableCommitter:
        parts = self.dependencies
        return JobTableCommitter(
            parts.store,
            bucket,
            self.epoch,
            self._writer,
            clock=parts.clock,
            telemetry=parts.telemetry,
            interval=parts.settings.commit_interval,
            write_limiter=parts.write_limiter,
            random=parts.random,
        )

    def _wake_scheduler(self) -> None:
        if self._nursery is not None:
            self._scheduler.wake()

    # What the scheduler and requests ask for.

    def start_attempt(self, record: JobRecord) -> None:
        """Run the gang of a record that has just been placed, if it may run in this zone."""
        if self.keep_or_move(record):
            self._attempts.start(record)

    def stop_job(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Ask the attempt of a job to stop its gang."""
        self._attempts.stop(job_id, reason, grace)

    def end_queued(self, job_id: str, outcome: Outcome) -> None:
        """End a waiting job without making the scheduler wait for the store."""
        self.indexed_table.set_outcome(job_id, outcome)
        self._nursery.start_soon(self.indexed_table.notify_when_durable, job_id)

    def keep_or_move(self, record: JobRecord) -> bool:
        """Move a job on that may not run in this zone; tell whether it may."""
        allowed = self.dependencies.configuration.current.allowed_zones(record.request)
        if self.zone in allowed:
            return True
        in_service = [id for id, zone in allowed.items() if zone.mode is ZoneMode.IN_SERVICE]
        if in_service:
            self.mover.move(record.id, max(sorted(in_service), key=self._free_slots))
        return False

    def _free_slots(self, zone: str) -> int:
        """Return the slots that another zone last told to be free."""
        summary = self.dependencies.summaries_by_zone().get(zone)
        return summary.free_slots if summary else 0

    # Upkeep.

    async def _run_maintenance(self) -> None:
        """Drop ended jobs after their retention and watches that have run out."""
        while True:
            await self.dependencies.clock.sleep(MAINTENANCE_INTERVAL)
            self._notifier.expire_watches()
            for record in self.indexed_table.queued():
                self.keep_or_move(record)
            for record in self.indexed_table.records():
                if self._retention_over(record):
                    self.indexed_table.remove(record.id)

    def _retention_over(self, record: JobRecord) -> bool:
        """Whether nobody may ask for a record any more."""
        retention = self.dependencies.settings.ended_retention
        oldest = self.dependencies.clock.now() - retention
        if record.state is JobState.ENDED:
            return record.ended_at < oldest
        if record.state is JobState.MOVED and record.adopted:
            return record.moved_at < oldest - retention
        return False

    def status(self) -> ZoneStatus:
        """Return what other nodes should know of the zone."""
        return ZoneStatus(self.epoch, self._scheduler.summary)

    def summary(self) -> ZoneSummary | None:
        """Return the last summary with its age, or ``None`` before the first decision."""
        return self._scheduler.summary_with_age()
