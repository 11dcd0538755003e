"""Session of the owner with one worker: lease renewal, run reports and orders."""

from __future__ import annotations

from datetime import datetime, timedelta

import trio

from mimosapoint.cell.decisions.health import WorkerHealth
from mimosapoint.cell.decisions.units import TaskRun, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.decisions.worker_pace import WorkerPace
from mimosapoint.cell.decisions.worker_stability import WorkerStability
from mimosapoint.cell.disturbances import Disturbances
from mimosapoint.cell.order_token import OrderTokens
from mimosapoint.cell.renewal_sender import RenewalSender
from mimosapoint.cell.reported_ends import ReportedEnds
from mimosapoint.cell.run_reconciler import RunReconciler
from mimosapoint.cell.session_owner import SessionOwner
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.unexpected import format_traceback
from mimosapoint.cell.worker_lease import MILLISECOND, WorkerLease
from mimosapoint.cell.worker_loss import WorkerLossWatch
from mimosapoint.cell.worker_orders import WorkerOrders
from mimosapoint.cell.worker_presence import WorkerPresence
from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    Clock,
    RenewLeaseOrder,
    RunWorkers,
    Telemetry,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)
from mimosapoint.workload import AcceptedJob, RunEnd, TaskId

__all__ = ["WorkerSession"]

MAX_ENDS_PER_REPORT = 500
"""Most ended runs in one run report, as the platform documents; a full report may omit some."""


class WorkerSession:
    """State of one worker of the cell, and the orders to it.

    ``on_roster`` tells whether the stored roster lists the worker, and ``synced`` whether a run
    report of its present incarnation was applied. ``incarnation`` is the start of that one, in
    milliseconds of the worker's clock, or 0, and ``is_replaced`` tells whether another one replies.
    ``refusing_until`` is set after a start that the worker refused as unhealthy; ``health`` counts
    the failures of jobs on it. ``tokens`` are those of the orders.

    :param registration: the worker's registration.
    :param epoch: epoch of the ownership.
    :param workers: port to the workers.
    :param owner: receiver of changes.
    :param clock: clock of the owner.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    :param generation: first generation of the fencing token.
    """

    def __init__(
        self,
        registration: WorkerRegistration,
        epoch: int,
        workers: RunWorkers,
        owner: SessionOwner,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
        generation: int = 1,
    ):
        self.worker = Worker(registration, stability=WorkerStability(settings.worker_lease))
        self.presence = WorkerPresence(self.id, clock, settings, telemetry)
        self.on_roster = False
        self.synced = False
        self.refusing_until: datetime | None = None
        self.answered_at: datetime | None = None
        self._owner = owner
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self.tokens = OrderTokens(epoch, generation)
        self.incarnation = 0
        self._ends = ReportedEnds(self.id, epoch, telemetry)
        self.lease = WorkerLease(clock, settings, registration.born)
        self._orders = WorkerOrders(self, self.lease, workers, owner, clock, settings, telemetry)
        self.disturbances = Disturbances(self.worker, clock, telemetry)
        self.loss_watch = WorkerLossWatch(self.worker, owner, clock, settings)
        self._reconciler = RunReconciler(self, owner, clock, settings, telemetry)
        self._renewals = RenewalSender(workers, owner, clock, settings)
        self._is_reachable = True
        self.is_replaced = False

    # Interface of the planner

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.registration.id

    @property
    def registration(self) -> WorkerRegistration:
        """Newest registration of the worker."""
        return self.worker.registration

    @property
    def task_runs_by_key(self) -> dict[tuple[TaskId, int], TaskRun]:
        """Runs that exist, or may exist, on the worker, by task and run number."""
        return self.worker.task_runs_by_key

    def is_usable(self, now: datetime) -> bool:
        """Return whether the worker may get new work, zone and slowness aside."""
        return not self.unusable_reason(now)

    def unusable_reason(self, now: datetime) -> str:
        """Return why the worker may get no new work; empty if it may.

        The withdrawal of its zone and its slowness are left to the owner. "unlisted" means not
        registered, "unknown" not synced, "new" not on the roster, "put-aside" quarantined and
        "unhealthy" that it refused a start.
        """
        if not self.presence.is_registered:
            return "unlisted"
        if self.registration.draining:
            return "draining"
        if not self.synced:
            return "unknown"
        if not self.on_roster:
            return "new"
        if self.worker.health.is_quarantined(now):
            return "put-aside"
        if self.refusing_until is not None and now < self.refusing_until:
            return "unhealthy"
        is_silent = (
            not self._is_reachable
            or self.answered_at is None
            or now - self.answered_at >= self._long_poll_wait + self._settings.silent_after
        )
        return "silent" if is_silent else ""

    @property
    def _long_poll_wait(self) -> timedelta:
        return self._settings.long_poll_wait_for(self._owner.fleet_size())

    @property
    def is_reachable(self) -> bool:
        """Whether the last renewal got a reply."""
        return self._is_reachable

    def runs_known(self, now: datetime) -> bool:
        """Return whether the runs on the worker are known.

        They are known from its run reports. After a replacement, the end of its process or the
        expiry of the lease there are none.
        """
        is_over = self.is_replaced or self.presence.has_left(now) or now >= self.lease.expires_at
        return self.synced or is_over

    @property
    def is_drained(self) -> bool:
        """Whether the worker is draining and the next owner does not need its reports.

        The next owner then does not wait for this worker, which soon disappears. It does need an
        end that is not stored: without it the task would start again.
        """
        is_empty = self.synced and not self.task_runs_by_key
        return self.registration.draining and is_empty and self._ends.are_stored

    @property
    def leaves_in(self) -> timedelta | None:
        """Time until a draining worker leaves; ``None`` if not known."""
        registration = self.registration
        if not (registration.draining and registration.leaves_at_ms and self.synced):
            return None
        return (registration.leaves_at_ms - self.lease.worker_now()) * MILLISECOND

    def is_removable(self, now: datetime) -> bool:
        """Return whether the worker is not registered and the next owner does not need it."""
        if self.presence.is_registered or self.task_runs_by_key or not self.runs_known(now):
            return False
        return self._ends.are_stored or now >= self.lease.expires_at

    # Orders

    def create_task_run(self, unit: Unit, task: TaskId, run: int) -> TaskRun:
        """Create a run that is about to be started, and reserve its capacity."""
        is_resumed = bool(unit.checkpoint)
        task_run = TaskRun(task, run, self.worker, unit.step.amounts, unit, is_resumed=is_resumed)
        self.worker.add(task_run)
        unit.formed_at = None
        unit.task_runs_by_task[task] = task_run
        return task_run

    async def start(self, task_run: TaskRun, job: AcceptedJob, checkpoint: str) -> None:
        """Order a start; the worker's next run reports resolve an unknown outcome."""
        await self._orders.start(task_run, job, checkpoint)

    async def stop(self, task_run: TaskRun) -> None:
        """Repeat a stop order until the run is no longer on the worker."""
        await self._orders.stop(task_run)

    # Lease and run reports

    async def run(self) -> None:
        """Renew the lease and apply the run reports until cancelled."""
        while True:
            if not self._owner.may_renew_leases():
                await trio.sleep(self._settings.retry_delay.total_seconds())
                continue
            try:
                await self._renew_lease()
            except StaleEpoch as error:
                self._owner.on_fenced(error.current)
                # The worker may have seen a higher token of this epoch; a newer epoch stays above.
                self.tokens.advance()
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except WorkerReplaced:
                self._handle_replaced()
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except (WorkerUnreachable, WorkerRefused) as error:
                await self._handle_failed_renewal(error, error.code)
            except Exception as error:
                # One worker's messages must not end the ownership, nor that of each next owner.
                self.record_unexpected("renewal", error)
                await self._handle_failed_renewal(error, "unexpected")

    async def _handle_failed_renewal(self, error: Exception, code: str) -> None:
        self._handle_unreachable(code)
        self.presence.record_failure(error)
        if lapsed := self.lease.find_lapsed(self.task_runs_by_key.values()):
            self.loss_watch.record_lapse()
            self._remove_task_runs(lapsed, RunEnd.LAPSED, "lease-over")
        await trio.sleep(self._settings.retry_delay.total_seconds())

    def record_unexpected(self, order: str, error: Exception) -> None:
        """Log an unexpected error of a renewal or an order."""
        self._telemetry.event(
            "worker-fault", worker=self.id, order=order, trace=format_traceback(error)
        )
        self._telemetry.count("cell_unexpected_errors", part="worker")

    def update_registration(self, registration: WorkerRegistration) -> None:
        """Apply a new registration of the worker, unless an earlier incarnation wrote it late."""
        old = self.registration
        if self.lease.is_earlier(registration.born, self.incarnation or old.born):
            return
        self.worker.update_registration(registration)
        if registration.address != old.address:
            # What replied at the old address, or did not, says nothing about the worker.
            self.is_replaced = False
            self.presence.record_reachable()
        if registration.draining and not old.draining:
            self._telemetry.event(
                "worker-draining", worker=self.id, assignments=len(self.task_runs_by_key)
            )
        if registration.born and self.incarnation and registration.born > self.incarnation:
            self._handle_restart(registration.born)

    async def _renew_lease(self) -> None:
        if self._is_reachable and self._ends.last_stored:
            await self._orders.wait_answered()
        # A worker that failed to reply gets no work before it does. It may have restarted, as may
        # one not asked for a while; a deadline or the number of an end then has another meaning.
        is_immediate = not (self.synced and self._is_reachable)
        wait = timedelta(0) if is_immediate else self._long_poll_wait
        lease_until_ms = None if is_immediate else self.lease.extend(self._owner.valid_until)
        storing_time = self._settings.long_poll_wait + self._settings.renewal_reply_time
        is_recent = self.answered_at and self._clock.now() - self.answered_at < storing_time
        may_acknowledge = self._is_reachable and is_recent and not self._orders.has_unanswered_start
        acknowledged = self._ends.acknowledge(self.tokens) if may_acknowledge else 0
        order = RenewLeaseOrder(self.tokens.current, lease_until_ms, acknowledged, wait)
        ends, registration = self._ends, self.registration
        try:
            report = await self._renewals.send(registration, order)
        except WorkerReplaced:
            if registration.address != self.registration.address:
                return
            raise
        except StaleEpoch:
            # An order of this owner may have brought the token that it raised in the meantime.
            if order.token != self.tokens.current:
                return
            raise
        if ends is self._ends:
            await self._apply_report(report)

    async def _apply_report(self, report: WorkerRunReport) -> None:
        if report.born and self.incarnation and report.born != self.incarnation:
            if self.lease.is_earlier(report.born, self.incarnation):
                raise WorkerUnreachable("an earlier incarnation replied")
            self._handle_restart(report.born)
            return
        self.incarnation = report.born or self.incarnation
        self.is_replaced = False
        self.loss_watch.record_reply(self.incarnation)
        is_first = not self.synced
        self._record_reply(report)
        ends = self._ends
        for ended in ends.record(report):
            self._reconciler.handle_end(ended)
        # A full report omits further ends, of which a task that ended must not be started again.
        is_complete = len(report.ended) < MAX_ENDS_PER_REPORT
        self._reconciler.reconcile(report, is_first, is_complete)
        if is_first and is_complete:
            self._telemetry.event(
                "worker-synced",
                worker=self.id,
                born=self.incarnation,
                running=len(report.running),
                ended=len(report.ended),
                epoch=self.tokens.epoch,
            )
        self.synced = self.synced or is_complete
        if is_first and is_complete:
            self._owner.request_decision()
        if report.ended:
            with trio.move_on_after(self._settings.long_poll_wait.total_seconds()):
                await self._owner.wait_ends_stored(report.ended)
                # Not those of the session: the worker may have restarted in the meantime.
                ends.record_stored(report)

    def _record_reply(self, report: WorkerRunReport) -> None:
        self.lease.record_clock(report.clock_ms, report.born)
        self.answered_at = self._clock.now()
        self.presence.record_reachable()
        if not self._is_reachable:
            self._is_reachable = True
            self.disturbances.record_return()
            self._telemetry.event("worker-heard-again", worker=self.id)
            self._owner.request_decision()

    def _handle_restart(self, born: int) -> None:
        """Reset the state for a new incarnation; its first run report shows which runs it has.

        Orders may have reached it before this session knew of it. The raised fencing token makes
        the worker refuse orders still in flight, so a run missing from the first report is lost.
        """
        self._telemetry.event(
            "worker-reborn", worker=self.id, born=born, assignments=len(self.task_runs_by_key)
        )
        if not self.is_replaced:
            self.disturbances.record("restart")
        self.loss_watch.record_restart()
        self.tokens.advance()
        self.incarnation = born
        self.worker.health = WorkerHealth()
        self.worker.pace = WorkerPace()
        self._ends = ReportedEnds(self.id, self.tokens.epoch, self._telemetry)
        self.lease.reset()
        self.synced = False

    def _handle_replaced(self) -> None:
        """Count all runs as lost: another worker or incarnation replies at this one's address.

        No run of this worker is left then. The raised fencing token invalidates the orders
        still in flight.
        """
        if self.is_replaced:
            return
        self._telemetry.event(
            "worker-replaced", worker=self.id, assignments=len(self.task_runs_by_key)
        )
        self.disturbances.record("replacement")
        self.loss_watch.record_replacement()
        self.is_replaced = True
        self.tokens.advance()
        self.synced = False
        self._remove_task_runs(list(self.task_runs_by_key.values()), RunEnd.LOST, "replaced")
        self._owner.request_decision()

    def _handle_unreachable(self, code: str) -> None:
        """Handle a renewal that failed without a reply or with an error as the reply."""
        self._renewals.record_failure()
        if self._is_reachable:
            self._is_reachable = False
            self._telemetry.event(
                "worker-silent",
                worker=self.id,
                error=code,
                assignments=len(self.task_runs_by_key),
                lapse_in=round((self.lease.expires_at - self._clock.now()).total_seconds(), 3),
            )
            self.disturbances.record_silence()
            self.loss_watch.record_silence()
            self._owner.on_silent(self.worker)
            self._owner.request_decision()

    def _remove_task_runs(self, task_runs: list[TaskRun], end: RunEnd, reason: str) -> None:
        for task_run in task_runs:
            self.end_task_run(task_run, end, reason=reason)
        self._owner.request_decision()

    def end_task_run(
        self, task_run: TaskRun, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        """Remove a run that is not, or no longer, on the worker, and report its end."""
        if self.worker.remove(task_run):
            self._owner.on_run_ended(task_run, end, checkpoint, reason)
