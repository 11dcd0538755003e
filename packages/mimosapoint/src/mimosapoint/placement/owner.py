"""Owner of one availability zone: the only writer of its jobs and placements."""

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
        self, table: JobTable, holder: LeaseHolder, writer: str, dependencies: ZoneOwnerDependencies
    ):
        self.zone = holder.zone
        self.epoch = holder.epoch
        self.dependencies = dependencies
        self._writer = writer
        self._table = table
        self._closing = False
        self._nursery: trio.Nursery | None = None
        self._notifier = JobNotifier(dependencies.peers, dependencies.clock)
        self.indexed_table = self._make_indexed_table()
        self.report_cache = ReportCache()
        self.worker_inventory = WorkerInventory()
        self.start_gate = StartGate(self.zone, dependencies.configuration, dependencies.clock)
        self.mover = self._make_mover()
        self._pause_detector = PauseDetector(
            dependencies.store, table.buckets[0].key, self.epoch, dependencies.clock
        )
        self._leases = LeaseManager(
            holder, dependencies, self.report_cache, self.worker_inventory, self._wake_scheduler
        )
        self._scheduler = Scheduler(self)
        self._attempts = self._make_attempts()
        self._request_handler = JobRequestHandler(
            self.indexed_table,
            table,
            self._notifier,
            dependencies,
            keep_or_move=self.keep_or_move,
            end_queued=self.end_queued,
            stop_job=self.stop_job,
        )

    def _make_indexed_table(self) -> IndexedJobTable:
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
        dependencies = self.dependencies
        commands = GangCommands(
            dependencies.workers,
            self.report_cache,
            self.worker_inventory,
            dependencies.clock,
            self.epoch,
        )
        return AttemptManager(
            dependencies,
            indexed_table=self.indexed_table,
            commands=commands,
            report_cache=self.report_cache,
            inventory=self.worker_inventory,
            start_gate=self.start_gate,
            pause_detector=self._pause_detector,
            on_ended=self._scheduler.on_job_ended,
            on_change=self._wake_scheduler,
        )

    # Requests of callers, which any node may forward.

    def _require_request_handler(self) -> JobRequestHandler:
        """Return the request handler.

        :raises NotOwner: the owner is not running, is closing, or may have lost the ownership.
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
        """Return a job, and notify the address when it ends or moves."""
        return self._require_request_handler().watch(workspace, job_id, address)

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; see :meth:`JobRequestHandler.cancel`."""
        return await self._require_request_handler().cancel(workspace, job_id)

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the workspace's jobs in this zone, oldest first."""
        return self._require_request_handler().jobs(workspace)

    async def adopt(self, record: JobRecord) -> None:
        """Adopt a job that was moved to this zone; see :meth:`JobRequestHandler.adopt`."""
        await self._require_request_handler().adopt(record)

    # Lifecycle.

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the owner until cancelled or closed.

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
        """Refuse requests, flush the table for ``FLUSH_TIMEOUT_SECONDS`` at most, then stop."""
        self._closing = True
        with trio.move_on_after(FLUSH_TIMEOUT_SECONDS):
            for bucket in self._table.buckets:
                await bucket.wait_durable(bucket.change_count)
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _committer(self, bucket: Bucket) -> JobTableCommitter:
        dependencies = self.dependencies
        return JobTableCommitter(
            dependencies.store,
            bucket,
            self.epoch,
            self._writer,
            clock=dependencies.clock,
            telemetry=dependencies.telemetry,
            interval=dependencies.settings.commit_interval,
            write_limiter=dependencies.write_limiter,
            random=dependencies.random,
        )

    def _wake_scheduler(self) -> None:
        if self._nursery is not None:
            self._scheduler.wake()

    # Operations used by the scheduler and the request handler.

    def start_attempt(self, record: JobRecord) -> None:
        """Start the attempt of a placed job if the job may run in this zone."""
        if self.keep_or_move(record):
            self._attempts.start(record)

    def stop_job(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Request the stop of a job's attempt."""
        self._attempts.stop(job_id, reason, grace)

    def end_queued(self, job_id: str, outcome: Outcome) -> None:
        """End a queued job.

        Watchers are notified in the background once that is durable, so that the scheduler does
        not wait for the store.
        """
        self.indexed_table.set_outcome(job_id, outcome)
        self._nursery.start_soon(self.indexed_table.notify_when_durable, job_id)

    def keep_or_move(self, record: JobRecord) -> bool:
        """Return whether a job may run in this zone; if not, move it.

        The job moves to the allowed zone in service with the most free slots, if there is one.
        """
        allowed = self.dependencies.configuration.current.allowed_zones(record.request)
        if self.zone in allowed:
            return True
        in_service = [id for id, zone in allowed.items() if zone.mode is ZoneMode.IN_SERVICE]
        if in_service:
            self.mover.move(record.id, max(sorted(in_service), key=self._free_slots))
        return False

    def _free_slots(self, zone: str) -> int:
        """Return the free slots in the known summary of a zone, or 0 if there is none."""
        summary = self.dependencies.summaries_by_zone().get(zone)
        return summary.free_slots if summary else 0

    # Maintenance and status.

    async def _run_maintenance(self) -> None:
        """Remove expired records and watches, and move queued jobs that may not run here."""
        while True:
            await self.dependencies.clock.sleep(MAINTENANCE_INTERVAL)
            self._notifier.expire_watches()
            for record in self.indexed_table.queued():
                self.keep_or_move(record)
            for record in self.indexed_table.records():
                if self._retention_over(record):
                    self.indexed_table.remove(record.id)

    def _retention_over(self, record: JobRecord) -> bool:
        """Return whether the retention of a record is over.

        Records of ended jobs are kept for ``ended_retention``, those of moved and adopted jobs
        twice as long, and all others without limit.
        """
        retention = self.dependencies.settings.ended_retention
        oldest = self.dependencies.clock.now() - retention
        if record.state is JobState.ENDED:
            return record.ended_at < oldest
        if record.state is JobState.MOVED and record.adopted:
            return record.moved_at < oldest - retention
        return False

    def status(self) -> ZoneStatus:
        """Return the zone's status for the gossip."""
        return ZoneStatus(self.epoch, self._scheduler.summary)

    def summary(self) -> ZoneSummary | None:
        """Return the last summary with its age, or ``None`` before the first one."""
        return self._scheduler.summary_with_age()
