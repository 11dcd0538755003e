"""The owner of one availability zone: the single writer of its jobs and placements."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs
import trio

from mimosapoint.configuration import ZoneMode
from mimosapoint.errors import (
    IdempotencyConflict,
    JobNotFound,
    MimosapointError,
    NotOwner,
    OutcomeUnknown,
    Overloaded,
    StaleEpoch,
)
from mimosapoint.jobs import Change, Committer, JobReply, JobTable, decode_bucket
from mimosapoint.model import Cancelled, JobRecord, JobRequest, JobState, JobView, Outcome, Vm
from mimosapoint.placement.attempt import Attempt
from mimosapoint.placement.board import TaskBoard
from mimosapoint.placement.commands import GangCommands
from mimosapoint.placement.digest import ZoneDigest
from mimosapoint.placement.ledger import Ledger
from mimosapoint.placement.link import Holder, WorkerLink
from mimosapoint.placement.mover import Mover
from mimosapoint.placement.permit import FreshConfiguration, StartPermit
from mimosapoint.placement.roster import Roster
from mimosapoint.placement.scheduler import Scheduler
from mimosapoint.placement.settings import OwnerSettings
from mimosapoint.placement.watchers import Watchers
from mimosapoint.ports import Clock, Peers, Store, Telemetry, Workers
from mimosapoint.resilience import RateBudget
from mimosapoint.scheduling import ZoneSummary
from mimosapoint.scheduling.never_fits import allowed_zones

__all__ = ["OwnerParts", "ZoneOwner"]

FOLLOW_INTERVAL = timedelta(milliseconds=500)
COMPACT_INTERVAL = timedelta(seconds=5)
FLUSH_BOUND_SECONDS = 3.0
TASK_BYTES = 256
"""Room that a task's worker, boot and checkpoint take in a record."""
BEAT_INTERVAL = timedelta(milliseconds=500)
PAUSE_BOUND = timedelta(seconds=2)
"""Longest time without a beat after which the owner still trusts that it owns the zone."""
STEADY_GAP = timedelta(seconds=1)
"""Longest time without a beat after which the owner still starts tasks."""
STEADY_AFTER = timedelta(seconds=2)
"""Time after a pause until the list of VMs has been read anew."""
DOUBT_PAUSE = timedelta(milliseconds=300)
CANCEL_RETRY_AFTER = timedelta(seconds=2)
QUEUE_RETRY_AFTER = timedelta(seconds=5)


@attrs.frozen
class OwnerParts:
    """What an owner stands on.

    :param store: the platform's store.
    :param workers: the workers.
    :param peers: the other nodes.
    :param configuration: the configuration and its freshness.
    :param endpoints: returns the workers of the platform's list, by id.
    :param address_of: returns the peer address of a zone's owner, or ``None``.
    :param summaries_by_zone: returns what is known of every zone that has an owner.
    :param budget: store writes per second of this node.
    """

    store: Store
    workers: Workers
    peers: Peers
    configuration: FreshConfiguration
    endpoints: Callable[[], dict[str, Vm]]
    address_of: Callable[[str], str | None]
    summaries_by_zone: Callable[[], dict[str, ZoneSummary]]
    budget: RateBudget
    clock: Clock
    telemetry: Telemetry
    settings: OwnerSettings
    random: Random


class ZoneOwner:
    """Accepts, places, runs and ends the jobs of one availability zone.

    :param table: job table, fenced with the epoch.
    :param holder: node, zone and epoch of this owner.
    :param writer: id of the node and its incarnation.
    """

    def __init__(self, table: JobTable, holder: Holder, writer: str, parts: OwnerParts):
        self.zone = holder.zone
        self.epoch = holder.epoch
        self._holder = holder
        self._writer = writer
        self._table = table
        self._parts = parts
        self._closing = False
        self._beat_at = self._steady_at = parts.clock.now()
        self._watchers = Watchers(parts.peers, parts.clock)
        self._ledger = Ledger(
            table,
            clock=parts.clock,
            telemetry=parts.telemetry,
            on_change=self._wake,
            on_ended=self._watchers.ended,
        )
        self._board = TaskBoard()
        self._roster = Roster()
        self._permit = StartPermit(self.zone, parts.configuration, parts.clock)
        self._commands = GangCommands(
            parts.workers, self._board, self._roster, parts.clock, self.epoch
        )
        self._mover = Mover(
            self._ledger,
            parts.peers,
            clock=parts.clock,
            telemetry=parts.telemetry,
            address_of=parts.address_of,
        )
        self._attempts_by_job: dict[str, Attempt] = {}
        self._traces_by_job: dict[str, str | None] = {}
        self._link_scopes_by_worker: dict[str, trio.CancelScope] = {}
        self._scheduler = Scheduler(self)
        self._nursery: trio.Nursery | None = None

    # What the scheduler uses.

    @property
    def parts(self) -> OwnerParts:
        """What the owner stands on."""
        return self._parts

    @property
    def ledger(self) -> Ledger:
        """Records of the zone."""
        return self._ledger

    @property
    def roster(self) -> Roster:
        """Workers of the zone."""
        return self._roster

    @property
    def board(self) -> TaskBoard:
        """Reports of the workers."""
        return self._board

    @property
    def permit(self) -> StartPermit:
        """Permission to start tasks."""
        return self._permit

    @property
    def mover(self) -> Mover:
        """Moves jobs to other zones."""
        return self._mover

    # Requests of callers, which any node may pass on.

    async def submit(self, job_id: str, request: JobRequest, trace: str | None = None) -> JobReply:
        """Accept a job once per id.

        :raises IdempotencyConflict: the id was used for another request.
        :raises Overloaded: the workspace's queue or the table is full.
        """
        self._require_open()
        record = self._ledger.find(job_id)
        if record is None:
            self._check_room(job_id, request)
            record = JobRecord(job_id, request, JobState.QUEUED, self._parts.clock.now())
            self._traces_by_job[job_id] = trace
            self._ledger.put(record)
            self._parts.telemetry.event("job-accepted", job=job_id, trace=trace or "")
            self._keep_or_send(record)
        elif record.request != request:
            raise IdempotencyConflict("the idempotency key was used for another request")
        with trio.move_on_after(self._parts.settings.durable_wait.total_seconds()):
            await self._ledger.latest(job_id).wait_durable()
        return self._reply(self._ledger.get(job_id))

    def _check_room(self, job_id: str, request: JobRequest) -> None:
        """Refuse a job early when a bound is reached."""
        workspace = self._parts.configuration.current.workspaces_by_id.get(request.workspace)
        limit = workspace.queue_limit if workspace else 0
        if self._ledger.queued_count(request.workspace) >= limit:
            raise Overloaded("the workspace's queue is full", retry_after=QUEUE_RETRY_AFTER)
        self._check_bucket(job_id, request.gang)

    def _check_bucket(self, job_id: str, gang: int) -> None:
        """Refuse a job whose placement the table may not be able to hold."""
        size = self._table.bucket_of(job_id).size + gang * TASK_BYTES
        if size > self._parts.settings.bucket_bytes_limit:
            raise Overloaded("the job table is full", retry_after=self._parts.settings.retention)

    def get(self, workspace: str, job_id: str) -> JobReply:
        """Return a job of the workspace.

        :raises JobNotFound: the workspace has no such job.
        """
        self._require_open()
        return self._reply(self._of_workspace(workspace, job_id))

    def watch(self, workspace: str, job_id: str, address: str) -> JobReply:
        """Return a job, and tell the address when it ends."""
        reply = self.get(workspace, job_id)
        if reply.view.outcome is None and reply.moved_to is None:
            self._watchers.watch(job_id, address)
        return reply

    async def cancel(self, workspace: str, job_id: str) -> JobReply:
        """Cancel a job; an ended one stays as it is."""
        self._require_open()
        record = self._of_workspace(workspace, job_id)
        if record.state is JobState.QUEUED:
            self.end_waiting(job_id, Cancelled(started=record.ever_started))
        elif record.live and not record.cancel_requested:
            self._ledger.put(attrs.evolve(record, cancel_requested=True))
            self.stop_job(job_id, "cancel", timedelta(0))
        await self._require_durable(self._ledger.latest(job_id))
        return self._reply(self._ledger.get(job_id))

    async def _require_durable(self, change: Change) -> None:
        """Wait for a change to be durable, for a bounded time.

        :raises OutcomeUnknown: the store has not confirmed it in time.
        """
        with trio.move_on_after(self._parts.settings.durable_wait.total_seconds()):
            await change.wait_durable()
        if not change.durable:
            raise OutcomeUnknown("the store is out of reach", retry_after=CANCEL_RETRY_AFTER)

    def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs that this zone has of a workspace, oldest first."""
        self._require_open()
        records = [r for r in self._ledger.records() if r.request.workspace == workspace]
        here = [record for record in records if record.state is not JobState.MOVED]
        return tuple(self._ledger.view(r) for r in sorted(here, key=lambda r: r.submitted_at))

    async def adopt(self, record: JobRecord) -> None:
        """Take over a job that has moved here, once per move number.

        :raises Overloaded: the move is so old that the job may have ended here already.
        """
        self._require_open()
        known = self._ledger.find(record.id)
        if known is None or known.moves < record.moves:
            age = self._parts.clock.now() - record.moved_at
            if age > self._parts.settings.retention / 2:
                raise Overloaded("the move is too old to be adopted")
            self._check_bucket(record.id, record.request.gang)
            self._ledger.put(record)
        await self._require_durable(self._ledger.latest(record.id))

    def _of_workspace(self, workspace: str, job_id: str) -> JobRecord:
        record = self._ledger.get(job_id)
        if record.request.workspace != workspace:
            raise JobNotFound(f"no job {job_id}")
        return record

    def _reply(self, record: JobRecord) -> JobReply:
        return JobReply(self._ledger.view(record), record.moved_to)

    def _require_open(self) -> None:
        if self._closing or self._nursery is None or self._doubtful():
            raise NotOwner(self.zone)

    def _doubtful(self) -> bool:
        """Whether the process was paused for so long that another node may own the zone."""
        return self._parts.clock.now() - self._beat_at > PAUSE_BOUND

    # The owner's work.

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Own the zone until cancelled or closed.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for bucket in self._table.buckets:
                nursery.start_soon(self._committer(bucket).run)
            self._follow_list()
            self._resume_attempts()
            nursery.start_soon(self._follow_endpoints)
            nursery.start_soon(self._watchers.run)
            nursery.start_soon(self._mover.run)
            nursery.start_soon(self._compact)
            nursery.start_soon(self._beat)
            nursery.start_soon(self._scheduler.run)
            task_status.started()

    async def _beat(self) -> None:
        """Notice pauses; after one, serve nobody until the store shows no newer owner.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        while True:
            await self._parts.clock.sleep(BEAT_INTERVAL)
            if self._parts.clock.now() - self._beat_at > STEADY_GAP:
                self._steady_at = self._parts.clock.now() + STEADY_AFTER
            while self._doubtful() and not await self._still_owner():
                await self._parts.clock.sleep(DOUBT_PAUSE)
            self._beat_at = self._parts.clock.now()

    def _steady(self) -> bool:
        """Whether the list of VMs was followed without a pause."""
        now = self._parts.clock.now()
        return now >= self._steady_at and now - self._beat_at <= STEADY_GAP

    async def _still_owner(self) -> bool:
        """Whether the store could be asked, and this owner's fence is the newest.

        :raises StaleEpoch: it is not.
        """
        try:
            entry = await self._parts.store.get(self._table.buckets[0].key)
        except MimosapointError:
            return False
        if entry is not None:
            header, _ = decode_bucket(entry.value)
            if header.epoch > self.epoch:
                raise StaleEpoch(header.epoch)
        return True

    async def close(self) -> None:
        """Refuse requests, flush the table for a bounded time and stop working."""
        self._closing = True
        with trio.move_on_after(FLUSH_BOUND_SECONDS):
            for bucket in self._table.buckets:
                await bucket.wait_durable(bucket.changes)
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _committer(self, bucket: object) -> Committer:
        parts = self._parts
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

    # Attempts.

    def _resume_attempts(self) -> None:
        """Go on with the gangs that an earlier owner placed."""
        placed = (JobState.PLACED, JobState.RUNNING, JobState.STOPPING)
        for record in self._ledger.records():
            if record.state in placed:
                self._spawn_attempt(record, resumed=True)

    def start_attempt(self, record: JobRecord) -> None:
        """Run the gang of a record that has just been placed, if it may run in this zone."""
        if not self._keep_or_send(record):
            return
        self._ledger.put(record)
        self._spawn_attempt(record, resumed=False)

    def _keep_or_send(self, record: JobRecord) -> bool:
        """Move a job on that may not run in this zone; tell whether it may."""
        allowed = allowed_zones(record.request, self._parts.configuration.current)
        if self.zone not in allowed:
            self._send_away(record)
        return self.zone in allowed

    def _send_away(self, record: JobRecord) -> None:
        """Move a waiting job to a zone that it may run in, if one is in service."""
        configuration = self._parts.configuration.current
        allowed = sorted(allowed_zones(record.request, configuration))
        zones = configuration.zones_by_id
        in_service = [id for id in allowed if zones[id].mode is ZoneMode.IN_SERVICE]
        if in_service:
            self._mover.move(record.id, max(in_service, key=self._free_slots))

    def _free_slots(self, zone: str) -> int:
        """Return the slots that another zone last told to be free."""
        summary = self._parts.summaries_by_zone().get(zone)
        return summary.free_slots if summary else 0

    def _spawn_attempt(self, record: JobRecord, *, resumed: bool) -> None:
        self._roster.hold(record)
        attempt = Attempt(
            record.id,
            ledger=self._ledger,
            commands=self._commands,
            board=self._board,
            permit=self._permit,
            clock=self._parts.clock,
            telemetry=self._parts.telemetry,
            settings=self._parts.settings,
            steady=self._steady,
            resumed=resumed,
            trace=self._traces_by_job.get(record.id),
        )
        self._attempts_by_job[record.id] = attempt
        for worker in set(record.placement.workers):
            if self._roster.address(worker) is None:
                self._nursery.start_soon(self._let_unlisted_lapse, worker)
        self._nursery.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        job_id = attempt.record.id
        try:
            await attempt.run()
        finally:
            self._attempts_by_job.pop(job_id, None)
            self._roster.release(job_id)
        record = self._ledger.find(job_id)
        if record is not None and record.live:
            self._nursery.start_soon(attempt.forget)
        else:
            self._traces_by_job.pop(job_id, None)
            if record is not None:
                self._scheduler.ended(record)
        self._wake()

    async def _let_unlisted_lapse(self, worker: str) -> None:
        """Declare a worker lost that the list does not have, once its lease has lapsed."""
        settings = self._parts.settings
        await self._parts.clock.sleep(settings.lease_ttl + settings.call_timeout)
        if self._roster.address(worker) is None:
            self._board.mark_lost(worker)

    def end_waiting(self, job_id: str, outcome: Outcome) -> None:
        """End a waiting job without making the scheduler wait for the store."""
        self._ledger.set_outcome(job_id, outcome)
        self._nursery.start_soon(self._ledger.tell, job_id)

    def stop_job(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Ask the attempt of a job to stop its gang."""
        attempt = self._attempts_by_job.get(job_id)
        if attempt is not None:
            attempt.stop(reason, grace)

    # Workers.

    async def _follow_endpoints(self) -> None:
        """Keep a link to each worker of the zone."""
        while True:
            await self._parts.clock.sleep(FOLLOW_INTERVAL)
            self._follow_list()

    def _follow_list(self) -> None:
        listed = {vm.id: vm for vm in self._parts.endpoints().values() if vm.zone == self.zone}
        for vm in listed.values():
            self._roster.list_vm(vm)
            if vm.id not in self._link_scopes_by_worker:
                self._add_link(vm.id)
        for worker in set(self._link_scopes_by_worker) - set(listed):
            self._retire(worker)

    def _add_link(self, worker: str) -> None:
        scope = self._link_scopes_by_worker[worker] = trio.CancelScope()
        self._nursery.start_soon(self._run_link, worker, scope)

    def _retire(self, worker: str) -> None:
        """Give a worker that left the list no new work; drop it when nothing runs there."""
        self._roster.mark_leaving(worker)
        if self._board.lost(worker) or not self._roster.holds_any(worker):
            self._link_scopes_by_worker.pop(worker).cancel()
            self._board.mark_lost(worker)
            self._roster.drop_vm(worker)

    async def _run_link(self, worker: str, scope: trio.CancelScope) -> None:
        parts = self._parts
        link = WorkerLink(
            worker,
            self._holder,
            workers=parts.workers,
            board=self._board,
            roster=self._roster,
            clock=parts.clock,
            telemetry=parts.telemetry,
            settings=parts.settings,
            on_report=self._wake,
        )
        with scope:
            await link.run()

    # Upkeep.

    async def _compact(self) -> None:
        """Drop ended jobs after their retention and watches that have run out."""
        while True:
            await self._parts.clock.sleep(COMPACT_INTERVAL)
            self._watchers.expire()
            self._drop_traces()
            for record in self._ledger.queued():
                self._keep_or_send(record)
            oldest = self._parts.clock.now() - self._parts.settings.retention
            for record in self._ledger.records():
                if record.state is JobState.ENDED and record.ended_at < oldest:
                    self._ledger.remove(record.id)
                elif record.state is JobState.MOVED and record.adopted:
                    if record.moved_at < oldest - self._parts.settings.retention:
                        self._ledger.remove(record.id)

    def _drop_traces(self) -> None:
        """Forget the trace contexts of jobs that ended or moved without an attempt."""
        for job_id in list(self._traces_by_job):
            record = self._ledger.find(job_id)
            if record is None or not record.live:
                del self._traces_by_job[job_id]

    def digest(self) -> ZoneDigest:
        """Return what other nodes should know of the zone."""
        return ZoneDigest(self.epoch, self._scheduler.summary)

    def summary(self) -> ZoneSummary | None:
        """Return the last summary with its age, or ``None`` before the first decision."""
        return self._scheduler.aged_summary()
