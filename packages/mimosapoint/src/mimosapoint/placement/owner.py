"""The owner of one availability zone: the single writer of its jobs and placements."""

from datetime import timedelta

import trio

from mimosapoint.configuration import ZoneMode
from mimosapoint.errors import NotOwner
from mimosapoint.jobs import Bucket, Committer, JobReply, JobTable
from mimosapoint.model import JobRecord, JobRequest, JobState, JobView, Outcome
from mimosapoint.placement.attempts import Attempts
from mimosapoint.placement.board import TaskBoard
from mimosapoint.placement.commands import GangCommands
from mimosapoint.placement.digest import ZoneDigest
from mimosapoint.placement.ledger import Ledger
from mimosapoint.placement.link import Holder
from mimosapoint.placement.links import WorkerLinks
from mimosapoint.placement.mover import Mover
from mimosapoint.placement.parts import OwnerParts
from mimosapoint.placement.pauses import PauseWatch
from mimosapoint.placement.permit import StartPermit
from mimosapoint.placement.requests import JobRequests
from mimosapoint.placement.roster import Roster
from mimosapoint.placement.scheduler import Scheduler
from mimosapoint.placement.watchers import Watchers
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZoneOwner"]

COMPACT_INTERVAL = timedelta(seconds=5)
FLUSH_BOUND_SECONDS = 3.0


class ZoneOwner:
    """Accepts, places, runs and ends the jobs of one availability zone.

    :param table: job table, fenced with the epoch.
    :param holder: node, zone and epoch of this owner.
    :param writer: id of the node and its incarnation.
    """

    def __init__(self, table: JobTable, holder: Holder, writer: str, parts: OwnerParts):
        self.zone = holder.zone
        self.epoch = holder.epoch
        self.parts = parts
        self._writer = writer
        self._table = table
        self._closing = False
        self._nursery: trio.Nursery | None = None
        self._watchers = Watchers(parts.peers, parts.clock)
        self.ledger = self._make_ledger()
        self.board = TaskBoard()
        self.roster = Roster()
        self.permit = StartPermit(self.zone, parts.configuration, parts.clock)
        self.mover = self._make_mover()
        self._pauses = PauseWatch(parts.store, table.buckets[0].key, self.epoch, parts.clock)
        self._links = WorkerLinks(holder, parts, self.board, self.roster, self._wake)
        self._scheduler = Scheduler(self)
        self._attempts = self._make_attempts()
        self._requests = JobRequests(
            self.ledger,
            table,
            self._watchers,
            parts,
            keep_or_send=self.keep_or_send,
            end_waiting=self.end_waiting,
            stop_job=self.stop_job,
        )

    def _make_ledger(self) -> Ledger:
        return Ledger(
            self._table,
            clock=self.parts.clock,
            telemetry=self.parts.telemetry,
            on_change=self._wake,
            on_ended=self._watchers.changed,
        )

    def _make_mover(self) -> Mover:
        return Mover(
            self.ledger,
            self.parts.peers,
            clock=self.parts.clock,
            telemetry=self.parts.telemetry,
            address_of=self.parts.address_of,
            on_moved=self._watchers.changed,
        )

    def _make_attempts(self) -> Attempts:
        parts = self.parts
        commands = GangCommands(parts.workers, self.board, self.roster, parts.clock, self.epoch)
        return Attempts(
            parts,
            ledger=self.ledger,
            commands=commands,
            board=self.board,
            roster=self.roster,
            permit=self.permit,
            pauses=self._pauses,
            on_ended=self._scheduler.ended,
            on_change=self._wake,
        )

    # Requests of callers, which any node may pass on.

    def _open_requests(self) -> JobRequests:
        """Return the requests' side.

        :raises NotOwner: the owner closes, or cannot know whether it still owns the zone.
        """
        if self._closing or self._nursery is None or self._pauses.doubtful():
            raise NotOwner(self.zone)
        return self._requests

    async def submit(self, job_id: str, request: JobRequest, trace: str | None = None) -> JobReply:
        """Accept a job; see :meth:`JobRequests.submit`."""
        return await self._open_requests().submit(job_id, request, trace)

    def get(self, workspace: str, job_id: str) -> JobReply:
        """Return a job; see :meth:`JobRequests.get`."""
        return self._open_requests().get(workspace, job_id)

    def watch(self, workspace: str, job_id: str, address: str) -> JobReply:
        """Return a job, and tell the address when it ends."""
        return self._open_requests().watch(workspace, job_id, address)

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; see :meth:`JobRequests.cancel`."""
        return await self._open_requests().cancel(workspace, job_id)

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs that this zone has of a workspace, oldest first."""
        return self._open_requests().jobs(workspace)

    async def adopt(self, record: JobRecord) -> None:
        """Take over a job that has moved here; see :meth:`JobRequests.adopt`."""
        await self._open_requests().adopt(record)

    # The owner's work.

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Own the zone until cancelled or closed.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        async with trio.open_nursery() as nursery:
            for bucket in self._table.buckets:
                nursery.start_soon(self._committer(bucket).run)
            await nursery.start(self._links.run)
            await nursery.start(self._attempts.run)
            nursery.start_soon(self._watchers.run)
            nursery.start_soon(self.mover.run)
            nursery.start_soon(self._compact)
            nursery.start_soon(self._pauses.run)
            nursery.start_soon(self._scheduler.run)
            self._nursery = nursery
            task_status.started()

    async def close(self) -> None:
        """Refuse requests, flush the table for a bounded time and stop working."""
        self._closing = True
        with trio.move_on_after(FLUSH_BOUND_SECONDS):
            for bucket in self._table.buckets:
                await bucket.wait_durable(bucket.changes)
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _committer(self, bucket: Bucket) -> Committer:
        parts = self.parts
        return Committer(
            parts.store,
            bucket,
            self.epoch,
            self._writer,
            clock=parts.clock,
            telemetry=parts.telemetry,
            interval=parts.settings.commit_interval,
            budget=parts.budget,
            random=parts.random,
        )

    def _wake(self) -> None:
        if self._nursery is not None:
            self._scheduler.wake()

    # What the scheduler and requests ask for.

    def start_attempt(self, record: JobRecord) -> None:
        """Run the gang of a record that has just been placed, if it may run in this zone."""
        if self.keep_or_send(record):
            self._attempts.start(record)

    def stop_job(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Ask the attempt of a job to stop its gang."""
        self._attempts.stop(job_id, reason, grace)

    def end_waiting(self, job_id: str, outcome: Outcome) -> None:
        """End a waiting job without making the scheduler wait for the store."""
        self.ledger.set_outcome(job_id, outcome)
        self._nursery.start_soon(self.ledger.tell, job_id)

    def keep_or_send(self, record: JobRecord) -> bool:
        """Move a job on that may not run in this zone; tell whether it may."""
        allowed = self.parts.configuration.current.allowed_zones(record.request)
        if self.zone in allowed:
            return True
        in_service = [id for id, zone in allowed.items() if zone.mode is ZoneMode.IN_SERVICE]
        if in_service:
            self.mover.move(record.id, max(sorted(in_service), key=self._free_slots))
        return False

    def _free_slots(self, zone: str) -> int:
        """Return the slots that another zone last told to be free."""
        summary = self.parts.summaries_by_zone().get(zone)
        return summary.free_slots if summary else 0

    # Upkeep.

    async def _compact(self) -> None:
        """Drop ended jobs after their retention and watches that have run out."""
        while True:
            await self.parts.clock.sleep(COMPACT_INTERVAL)
            self._watchers.expire()
            for record in self.ledger.queued():
                self.keep_or_send(record)
            for record in self.ledger.records():
                if self._may_be_dropped(record):
                    self.ledger.remove(record.id)

    def _may_be_dropped(self, record: JobRecord) -> bool:
        """Whether nobody may ask for a record any more."""
        retention = self.parts.settings.retention
        oldest = self.parts.clock.now() - retention
        if record.state is JobState.ENDED:
            return record.ended_at < oldest
        if record.state is JobState.MOVED and record.adopted:
            return record.moved_at < oldest - retention
        return False

    def digest(self) -> ZoneDigest:
        """Return what other nodes should know of the zone."""
        return ZoneDigest(self.epoch, self._scheduler.summary)

    def summary(self) -> ZoneSummary | None:
        """Return the last summary with its age, or ``None`` before the first decision."""
        return self._scheduler.aged_summary()
