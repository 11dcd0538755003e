"""The owner's side of one worker: its lease, its lists, and the orders to it."""

from __future__ import annotations

from datetime import datetime, timedelta

import trio

from mimosapoint.cell.health import WorkerHealth
from mimosapoint.cell.lease import MILLISECOND, WorkerLease
from mimosapoint.cell.link_events import LinkEvents
from mimosapoint.cell.pace import WorkerPace
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.units import Assignment, Unit
from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    Clock,
    EndedRun,
    HoldOrder,
    Registration,
    RunStatus,
    RunWorkers,
    StartOrder,
    StartRefused,
    StopOrder,
    Telemetry,
    WorkerLists,
    WorkerReplaced,
)
from mimosapoint.workload import Amounts, JobRecord, RunEnd, TaskId

__all__ = ["WorkerLink"]

EPOCH_SHIFT = 20
"""Low bits of a fencing token, which number the incarnations that this owner has seen."""

ENDS_PER_LIST = 500
"""Most ends in one answer, from the platform's pages; a full list may leave some out."""


class WorkerLink:
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
        registration: Registration,
        epoch: int,
        workers: RunWorkers,
        events: LinkEvents,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self.registration = registration
        self.listed = True
        self.on_roster = False
        self.synced = False
        self.used = Amounts()
        self.assignments_by_run: dict[tuple[TaskId, int], Assignment] = {}
        self.health = WorkerHealth()
        self.pace = WorkerPace()
        self.unhealthy_until: datetime | None = None
        self.answered_at: datetime | None = None
        self._epoch = epoch
        self._workers = workers
        self._events = events
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._generation = 1
        self._born = 0
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
    def free(self) -> Amounts:
        """Room that nothing occupies or may come to occupy."""
        return self.registration.capacity - self.used

    def is_usable(self, now: datetime) -> bool:
        """Tell whether new work may go to the worker."""
        return not self.obstacle(now)

    def obstacle(self, now: datetime) -> str:
        """Return why the worker takes no new work; empty when it does."""
        if not self.listed:
            return "unlisted"
        if self.registration.draining:
            return "draining"
        if not self.synced:
            return "unknown"
        if not self.on_roster:
            return "new"
        if self.health.is_aside(now):
            return "put-aside"
        if self.unhealthy_until is not None and now < self.unhealthy_until:
            return "unhealthy"
        silent = self.answered_at is None or now - self.answered_at >= self._settings.suspect_after
        return "silent" if silent else ""

    def is_settled(self, now: datetime) -> bool:
        """Tell whether it is known what runs on the worker."""
        return self.synced or self._replaced or now >= self._lease.lapse_at

    @property
    def is_leaving_empty(self) -> bool:
        """Whether the worker drains, and nothing is left on it that the next owner has to know.

        That owner need not wait for such a worker, which soon goes away. An end that is not stored
        has to be known: without it the task would start again.
        """
        is_empty = self.synced and not self.assignments_by_run
        return self.registration.draining and is_empty and self._seen_ends <= self._stored_ends

    def is_removable(self, now: datetime) -> bool:
        """Tell whether the worker has gone for good."""
        return not self.listed and not self.assignments_by_run and self.is_settled(now)

    # Orders

    def assign(self, unit: Unit, task: TaskId, run: int) -> Assignment:
        """Reserve room for a run that is about to be started."""
        assignment = Assignment(task, run, self, unit.step.amounts, unit)
        self._keep(assignment)
        unit.assignments_by_task[task] = assignment
        return assignment

    async def start(self, assignment: Assignment, job: JobRecord, checkpoint: str) -> None:
        """Order a start; an unanswered one is settled by the worker's next lists.

        It is ordered once more, without waiting for the first order's time to be over: the order
        or its answer may be lost, and a run that is there already is not started again.
        """
        window = self._settings.start_window / MILLISECOND
        assignment.not_after_ms = self._lease.worker_now() + int(window)
        self._lease.cover(assignment.not_after_ms)
        order = StartOrder(
            assignment.task,
            assignment.run,
            job,
            self._token,
            assignment.not_after_ms,
            checkpoint,
        )
        if not (self._events.may_order() and self.synced and self._is_kept(assignment)):
            self._drop(assignment, RunEnd.REFUSED, reason="not-sent")
            return
        try:
            assignment.confirmed_ms = await self._order_start(order)
        except StartRefused as refusal:
            self._note_refusal(assignment, refusal.reason)
        except WorkerReplaced:
            self._drop(assignment, RunEnd.REFUSED, reason="replaced")
        except WorkerRefused:
            self._drop(assignment, RunEnd.REFUSED, reason="not-sent")
        except (WorkerUnreachable, StaleEpoch) as error:
            self._telemetry.event(
                "start-unanswered",
                **assignment.log_fields(),
                error=error.code,
                detail=str(error),
            )

    async def _order_start(self, order: StartOrder) -> int:
        if not self._events.is_unhurried():
            return await self._workers.start(self.registration, order)
        with trio.move_on_after(self._settings.repeat_start_after.total_seconds()):
            return await self._workers.start(self.registration, order)
        self._telemetry.count("cell_starts_repeated")
        try:
            return await self._workers.start(self.registration, order)
        except (StartRefused, WorkerRefused) as refusal:
            # The first order may have been carried out; its run may go on, or have ended since.
            raise WorkerUnreachable(f"refused when repeated: {refusal.detail}") from refusal

    async def stop(self, assignment: Assignment) -> None:
        """Order a stop until the run is no longer on the worker."""
        while self._is_kept(assignment):
            if self._events.may_order():
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
            if not self._events.may_order():
                await trio.sleep(self._settings.retry_pause.total_seconds())
                continue
            try:
                await self._hold()
            except StaleEpoch as error:
                self._events.deposed(error.current)
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except WorkerReplaced:
                self._note_replaced()
                await trio.sleep(self._settings.order_timeout.total_seconds())
            except (WorkerUnreachable, WorkerRefused) as error:
                self._note_silence(error.code)
                self._check_lapse()
                await trio.sleep(self._settings.retry_pause.total_seconds())

    def replace(self, registration: Registration) -> None:
        """Take over what the worker now says of itself."""
        old = self.registration
        self.registration = registration
        if registration.draining and not old.draining:
            self._telemetry.event(
                "worker-draining", worker=self.id, assignments=len(self.assignments_by_run)
            )
        if registration.born and self._born and registration.born > self._born:
            self._note_rebirth(registration.born)

    async def _hold(self) -> None:
        wait = self._settings.wait_of(self._events.fleet_size()) if self.synced else timedelta(0)
        if self.synced and self._reachable:
            self._lease.extend()
        until = self._lease.until_ms if self.synced else None
        order = HoldOrder(self._token, until, self._stored_ends, wait)
        generation = self._generation
        lists = await self._workers.hold(self.registration, order)
        if generation == self._generation:
            await self._apply(lists)

    async def _apply(self, lists: WorkerLists) -> None:
        if lists.born and self._born and lists.born != self._born:
            if lists.born < self._born:
                return
            self._note_rebirth(lists.born)
            return
        self._born = lists.born or self._born
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
                born=self._born,
                running=len(lists.running),
                ended=len(lists.ended),
                epoch=self._epoch,
            )
        self.synced = True
        if first:
            self._events.changed()
        if lists.ended:
            with trio.move_on_after(self._settings.worker_wait.total_seconds()):
                await self._events.store_ends(lists.ended)
                self._stored_ends = max(self._stored_ends, lists.ended[-1].number)

    def _note_answer(self, clock_ms: int) -> None:
        self._lease.note_clock(clock_ms)
        self.answered_at = self._clock.now()
        if not self._reachable:
            self._reachable = True
            self._telemetry.event("worker-heard-again", worker=self.id)
            self._events.changed()

    def _note_end(self, ended: EndedRun) -> None:
        assignment = self.assignments_by_run.get((ended.task, ended.run))
        if assignment is None:
            self._events.ended_unknown(self, ended)
        else:
            self._drop(assignment, ended.end, ended.checkpoint)

    def _reconcile(self, lists: WorkerLists, first: bool) -> None:
        """Compare the orders given with what the worker runs."""
        now = self._clock.now()
        listed = {(status.task, status.run): status for status in lists.running}
        for key, status in listed.items():
            assignment = self.assignments_by_run.get(key)
            if assignment is None:
                assignment = self._events.adopt(self, status)
                self._keep(assignment)
            self._note_status(assignment, status, lists.clock_ms)
        self._judge_pace(now)
        if len(lists.ended) >= ENDS_PER_LIST:
            return
        for key, assignment in list(self.assignments_by_run.items()):
            if key in listed:
                continue
            confirmed = assignment.confirmed_ms
            if first:
                self._drop(assignment, RunEnd.LOST, reason="reborn")
            elif confirmed is not None and lists.clock_ms > confirmed:
                self._drop(assignment, RunEnd.LOST, reason="not-listed")
            elif confirmed is None and lists.clock_ms > assignment.not_after_ms:
                self._drop(assignment, RunEnd.REFUSED, reason="window-over")

    def _judge_pace(self, now: datetime) -> None:
        runs = [each.pace for each in self.assignments_by_run.values() if not each.stopping]
        if self.pace.judge(runs, now):
            self._telemetry.event(
                "worker-slow",
                worker=self.id,
                assignments=len(self.assignments_by_run),
                shares=sorted(round(run.share, 2) for run in runs if run.share is not None),
                until=self.pace.slow_until,
            )
            self._telemetry.count("cell_workers_slow")

    def _note_status(self, assignment: Assignment, status: RunStatus, clock_ms: int) -> None:
        if assignment.confirmed_ms is None:
            assignment.confirmed_ms = clock_ms
        assignment.percent = status.percent
        assignment.pace.note(status.percent, clock_ms)
        if status.checkpoint and assignment.unit is not None:
            unit = assignment.unit
            if assignment.run == unit.run:
                unit.job.progress.checkpoints[unit.id.key] = status.checkpoint

    def _note_refusal(self, assignment: Assignment, reason: str) -> None:
        if reason == "unhealthy":
            self.unhealthy_until = self._clock.now() + self._settings.suspect_after
        self._drop(assignment, RunEnd.REFUSED, reason=reason)
        self._events.changed()

    def _note_rebirth(self, born: int) -> None:
        """Begin anew with another incarnation; its first lists tell which runs it has.

        Orders may have reached it before this link knew of it. The raised token bars what is
        still under way, so what the first lists lack is lost.
        """
        self._telemetry.event(
            "worker-reborn", worker=self.id, born=born, assignments=len(self.assignments_by_run)
        )
        self._generation += 1
        self._born = born
        self.health = WorkerHealth()
        self._seen_ends = 0
        self._stored_ends = 0
        self._lease.begin()
        self.synced = False

    def _note_replaced(self) -> None:
        """Give up this life of the worker: another one answers at its address.

        A worker is one life of a machine, so nothing of this one runs any more. The raised token
        bars what is still under way.
        """
        if self._replaced:
            return
        self._telemetry.event(
            "worker-replaced", worker=self.id, assignments=len(self.assignments_by_run)
        )
        self._replaced = True
        self._generation += 1
        self.synced = False
        self._drop_all(RunEnd.LOST, "replaced")
        self._events.changed()

    def _note_silence(self, code: str) -> None:
        if self._reachable:
            self._reachable = False
            self._telemetry.event(
                "worker-silent",
                worker=self.id,
                error=code,
                assignments=len(self.assignments_by_run),
                lapse_in=round((self._lease.lapse_at - self._clock.now()).total_seconds(), 3),
            )
            self._events.changed()

    def _check_lapse(self) -> None:
        if self._clock.now() >= self._lease.lapse_at and self.assignments_by_run:
            self._drop_all(RunEnd.LAPSED, "lease-over")

    def _drop_all(self, end: RunEnd, reason: str) -> None:
        for assignment in list(self.assignments_by_run.values()):
            self._drop(assignment, end, reason=reason)
        self._events.changed()

    def _keep(self, assignment: Assignment) -> None:
        self.assignments_by_run[assignment.task, assignment.run] = assignment
        self.used += assignment.amounts

    def _is_kept(self, assignment: Assignment) -> bool:
        return (assignment.task, assignment.run) in self.assignments_by_run

    def _drop(
        self, assignment: Assignment, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        if self.assignments_by_run.pop((assignment.task, assignment.run), None) is None:
            return
        self.used -= assignment.amounts
        self._events.gone(assignment, end, checkpoint, reason)

    @property
    def _token(self) -> int:
        return (self._epoch << EPOCH_SHIFT) + self._generation
