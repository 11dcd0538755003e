"""The owner's side of one worker: its lease, its lists, and the orders to it."""

from __future__ import annotations

from datetime import datetime, timedelta

import trio

from mimosapoint.cell.health import WorkerHealth
from mimosapoint.cell.session_owner import SessionOwner
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.slow_workers import SlowWorkerDetector
from mimosapoint.cell.units import TaskRun, Unit
from mimosapoint.cell.worker_lease import MILLISECOND, WorkerLease
from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    Clock,
    EndedRun,
    RenewLeaseOrder,
    RunStatus,
    RunWorkers,
    StartOrder,
    StartRefused,
    StopOrder,
    Telemetry,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, TaskId

__all__ = ["WorkerSession"]

TOKEN_GENERATION_BITS = 20
"""Low bits of a fencing token, which number the incarnations that this owner has seen."""

MAX_ENDS_PER_ANSWER = 500
"""Most ends in one answer, from the platform's pages; a full list may leave some out."""


class WorkerSession:
    """One worker of the cell.

    :param registration: what the worker says of itself.
    :param epoch: number of the ownership.
    :param workers: port to the workers.
    :param events: the owner.
    :param clock: clock of the owner.
    :param settings: times.
    :param telemetry: told of decisions.
    """

    def __init__(
        self,
        registration: WorkerRegistration,
        epoch: int,
        workers: RunWorkers,
        events: SessionOwner,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self.registration = registration
        self.is_registered = True
        self.on_roster = False
        self.synced = False
        self.used = ResourceAmounts()
        self.task_runs_by_key: dict[tuple[TaskId, int], TaskRun] = {}
        self.health = WorkerHealth()
        self.slow_detector = SlowWorkerDetector()
        self.refusing_until: datetime | None = None
        self.answered_at: datetime | None = None
        self._epoch = epoch
        self._workers = workers
        self._events = events
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._generation = 1
        self._incarnation = 0
        self._seen_ends = 0
        self._stored_ends = 0
        self._lease = WorkerLease(clock, settings)
        self._reachable = True
        self._replaced = False

    # What the planner asks

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.registration.id

    @property
    def free(self) -> ResourceAmounts:
        """Room that nothing occupies or may come to occupy."""
        return self.registration.capacity - self.used

    def is_usable(self, now: datetime) -> bool:
        """Tell whether new work may go to the worker."""
        return not self.unusable_reason(now)

    def unusable_reason(self, now: datetime) -> str:
        """Return why the worker takes no new work; empty when it does."""
        if not self.is_registered:
            return "unlisted"
        if self.registration.draining:
            return "draining"
        if not self.synced:
            return "unknown"
        if not self.on_roster:
            return "new"
        if self.health.is_quarantined(now):
            return "put-aside"
        if self.refusing_until is not None and now < self.refusing_until:
            return "unhealthy"
        silent = self.answered_at is None or now - self.answered_at >= self._settings.silent_after
        return "silent" if silent else ""

    def runs_known(self, now: datetime) -> bool:
        """Tell whether it is known what runs on the worker."""
        return self.synced or self._replaced or now >= self._lease.expires_at

    @property
    def is_drained(self) -> bool:
        """Whether the worker drains, and nothing is left on it that the next owner has to know.

        That owner need not wait for such a worker, which soon goes away. An end that is not stored
        has to be known: without it the task would start again.
        """
        is_empty = self.synced and not self.task_runs_by_key
        return self.registration.draining and is_empty and self._seen_ends <= self._stored_ends

    def is_removable(self, now: datetime) -> bool:
        """Tell whether the worker has gone for good."""
        return not self.is_registered and not self.task_runs_by_key and self.runs_known(now)

    # Orders

    def create_task_run(self, unit: Unit, task: TaskId, run: int) -> TaskRun:
        """Reserve room for a run that is about to be started."""
        assignment = TaskRun(task, run, self, unit.step.amounts, unit)
        self._add_task_run(assignment)
        unit.task_runs_by_task[task] = assignment
        return assignment

    async def start(self, assignment: TaskRun, job: AcceptedJob, checkpoint: str) -> None:
        """Order a start; an unanswered one is settled by the worker's next lists.

        It is ordered once more, without waiting for the first order's time to be over: the order
        or its answer may be lost, and a run that is there already is not started again.
        """
        window = self._settings.start_window / MILLISECOND
        assignment.not_after_ms = self._lease.worker_now() + int(window)
        self._lease.extend_to(assignment.not_after_ms)
        order = StartOrder(
            assignment.task,
            assignment.run,
            job,
            self._token,
            assignment.not_after_ms,
            checkpoint,
        )
        if not (self._events.holds_ownership() and self.synced and self._has_task_run(assignment)):
            self._remove_task_run(assignment, RunEnd.REFUSED, reason="not-sent")
            return
        try:
            assignment.confirmed_ms = await self._order_start(order)
        except StartRefused as refusal:
            self._handle_refusal(assignment, refusal.reason)
        except WorkerReplaced:
            self._remove_task_run(assignment, RunEnd.REFUSED, reason="replaced")
        except WorkerRefused:
            self._remove_task_run(assignment, RunEnd.REFUSED, reason="not-sent")
        except (WorkerUnreachable, StaleEpoch) as error:
            self._telemetry.event(
                "start-unanswered",
                **assignment.log_fields(),
                error=error.code,
                detail=str(error),
            )

    async def _order_start(self, order: StartOrder) -> int:
        if not self._events.has_spare_cpu():
            return await self._workers.start(self.registration, order)
        with trio.move_on_after(self._settings.start_retry_after.total_seconds()):
            return await self._workers.start(self.registration, order)
        self._telemetry.count("cell_starts_repeated")
        try:
            return await self._workers.start(self.registration, order)
        except (StartRefused, WorkerRefused) as refusal:
            # The first order may have been carried out; its run may go on, or have ended since.
            raise WorkerUnreachable(f"refused when repeated: {refusal.detail}") from refusal

    async def stop(self, assignment: TaskRun) -> None:
        """Order a stop until the run is no longer on the worker."""
        while self._has_task_run(assignment):
            if self._events.holds_ownership():
                order = StopOrder(assignment.task, assignment.run, self._token)
                try:
                    await self._workers.stop(self.registration, order)
                except (WorkerUnreachable, WorkerRefused, StaleEpoch, WorkerReplaced) as error:
                    self._telemetry.event(
                        "stop-unanswered", **assignment.log_fields(), error=error.code
                    )
            await trio.sleep(self._settings.order_timeout.total_seconds())

    # Lease and lists

    async def run(self) -> None:
        """Keep the lease and follow the lists until cancelled."""
        while True:
            if not self._events.holds_ownership():
                await trio.sleep(self._settings.retry_delay.total_seconds())
                continue
            try:
                await self._renew_lease()
            except StaleEpoch as error:
                self._events.on_fenced(error.current)
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except WorkerReplaced:
                self._handle_replaced()
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except (WorkerUnreachable, WorkerRefused) as error:
                self._handle_unreachable(error.code)
                self._check_lease_expiry()
                await trio.sleep(self._settings.retry_delay.total_seconds())

    def update_registration(self, registration: WorkerRegistration) -> None:
        """Take over what the worker now says of itself."""
        old = self.registration
        self.registration = registration
        if registration.draining and not old.draining:
            self._telemetry.event(
                "worker-draining", worker=self.id, assignments=len(self.task_runs_by_key)
            )
        if registration.born and self._incarnation and registration.born > self._incarnation:
            self._handle_restart(registration.born)

    async def _renew_lease(self) -> None:
        wait = (
            self._settings.long_poll_wait_for(self._events.fleet_size())
            if self.synced
            else timedelta(0)
        )
        if self.synced and self._reachable:
            self._lease.extend()
        until = self._lease.expires_at_ms if self.synced else None
        order = RenewLeaseOrder(self._token, until, self._stored_ends, wait)
        generation = self._generation
        lists = await self._workers.renew_lease(self.registration, order)
        if generation == self._generation:
            await self._apply(lists)

    async def _apply(self, lists: WorkerRunReport) -> None:
        if lists.born and self._incarnation and lists.born != self._incarnation:
            if lists.born < self._incarnation:
                return
            self._handle_restart(lists.born)
            return
        self._incarnation = lists.born or self._incarnation
        self._replaced = False
        first = not self.synced
        self._note_answer(lists.clock_ms)
        for ended in lists.ended:
            self._seen_ends = max(self._seen_ends, ended.number)
            if ended.number > self._stored_ends:
                self._note_end(ended)
        self._reconcile(lists, first)
        if first:
            self._telemetry.event(
                "worker-synced",
                worker=self.id,
                born=self._incarnation,
                running=len(lists.running),
                ended=len(lists.ended),
                epoch=self._epoch,
            )
        self.synced = True
        if first:
            self._events.request_decision()
        if lists.ended:
            with trio.move_on_after(self._settings.long_poll_wait.total_seconds()):
                await self._events.wait_ends_stored(lists.ended)
                self._stored_ends = max(self._stored_ends, lists.ended[-1].number)

    def _note_answer(self, clock_ms: int) -> None:
        self._lease.record_clock(clock_ms)
        self.answered_at = self._clock.now()
        if not self._reachable:
            self._reachable = True
            self._telemetry.event("worker-heard-again", worker=self.id)
            self._events.request_decision()

    def _note_end(self, ended: EndedRun) -> None:
        assignment = self.task_runs_by_key.get((ended.task, ended.run))
        if assignment is None:
            self._events.on_unknown_run_ended(self, ended)
        else:
            self._remove_task_run(assignment, ended.end, ended.checkpoint)

    def _reconcile(self, lists: WorkerRunReport, first: bool) -> None:
        """Compare the orders given with what the worker runs."""
        now = self._clock.now()
        listed = {(status.task, status.run): status for status in lists.running}
        for key, status in listed.items():
            assignment = self.task_runs_by_key.get(key)
            if assignment is None:
                assignment = self._events.adopt_run(self, status)
                self._add_task_run(assignment)
            self._note_status(assignment, status, lists.clock_ms)
        self._detect_slowness(now)
        if len(lists.ended) >= MAX_ENDS_PER_ANSWER:
            return
        for key, assignment in list(self.task_runs_by_key.items()):
            if key in listed:
                continue
            confirmed = assignment.confirmed_ms
            if first:
                self._remove_task_run(assignment, RunEnd.LOST, reason="reborn")
            elif confirmed is not None and lists.clock_ms > confirmed:
                self._remove_task_run(assignment, RunEnd.LOST, reason="not-listed")
            elif confirmed is None and lists.clock_ms > assignment.not_after_ms:
                self._remove_task_run(assignment, RunEnd.REFUSED, reason="window-over")

    def _detect_slowness(self, now: datetime) -> None:
        runs = [each.progress_rate for each in self.task_runs_by_key.values() if not each.stopping]
        if self.slow_detector.update(runs, now):
            self._telemetry.event(
                "worker-slow",
                worker=self.id,
                assignments=len(self.task_runs_by_key),
                shares=sorted(
                    round(run.relative_rate, 2) for run in runs if run.relative_rate is not None
                ),
                until=self.slow_detector.slow_until,
            )
            self._telemetry.count("cell_workers_slow")

    def _note_status(self, assignment: TaskRun, status: RunStatus, clock_ms: int) -> None:
        if assignment.confirmed_ms is None:
            assignment.confirmed_ms = clock_ms
        assignment.percent = status.percent
        assignment.progress_rate.add_sample(status.percent, clock_ms)
        if status.checkpoint and assignment.unit is not None:
            unit = assignment.unit
            if assignment.run == unit.run:
                unit.job.progress.checkpoints[unit.id.key] = status.checkpoint

    def _handle_refusal(self, assignment: TaskRun, reason: str) -> None:
        if reason == "unhealthy":
            self.refusing_until = self._clock.now() + self._settings.silent_after
        self._remove_task_run(assignment, RunEnd.REFUSED, reason=reason)
        self._events.request_decision()

    def _handle_restart(self, born: int) -> None:
        """Begin anew with another incarnation; its first lists tell which runs it has.

        Orders may have reached it before this link knew of it. The raised token bars what is
        still under way, so what the first lists lack is lost.
        """
        self._telemetry.event(
            "worker-reborn", worker=self.id, born=born, assignments=len(self.task_runs_by_key)
        )
        self._generation += 1
        self._incarnation = born
        self.health = WorkerHealth()
        self._seen_ends = 0
        self._stored_ends = 0
        self._lease.reset()
        self.synced = False

    def _handle_replaced(self) -> None:
        """Give up this life of the worker: another one answers at its address.

        A worker is one life of a machine, so nothing of this one runs any more. The raised token
        bars what is still under way.
        """
        if self._replaced:
            return
        self._telemetry.event(
            "worker-replaced", worker=self.id, assignments=len(self.task_runs_by_key)
        )
        self._replaced = True
        self._generation += 1
        self.synced = False
        self._remove_all_task_runs(RunEnd.LOST, "replaced")
        self._events.request_decision()

    def _handle_unreachable(self, code: str) -> None:
        if self._reachable:
            self._reachable = False
            self._telemetry.event(
                "worker-silent",
                worker=self.id,
                error=code,
                assignments=len(self.task_runs_by_key),
                lapse_in=round((self._lease.expires_at - self._clock.now()).total_seconds(), 3),
            )
            self._events.request_decision()

    def _check_lease_expiry(self) -> None:
        if self._clock.now() >= self._lease.expires_at and self.task_runs_by_key:
            self._remove_all_task_runs(RunEnd.LAPSED, "lease-over")

    def _remove_all_task_runs(self, end: RunEnd, reason: str) -> None:
        for assignment in list(self.task_runs_by_key.values()):
            self._remove_task_run(assignment, end, reason=reason)
        self._events.request_decision()

    def _add_task_run(self, assignment: TaskRun) -> None:
        self.task_runs_by_key[assignment.task, assignment.run] = assignment
        self.used += assignment.amounts

    def _has_task_run(self, assignment: TaskRun) -> bool:
        return (assignment.task, assignment.run) in self.task_runs_by_key

    def _remove_task_run(
        self, assignment: TaskRun, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        if self.task_runs_by_key.pop((assignment.task, assignment.run), None) is None:
            return
        self.used -= assignment.amounts
        self._events.on_run_ended(assignment, end, checkpoint, reason)

    @property
    def _token(self) -> int:
        return (self._epoch << TOKEN_GENERATION_BITS) + self._generation
