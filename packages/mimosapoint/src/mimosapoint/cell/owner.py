"""The owner of a cell: what it knows, and the orders that follow from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.book import JobBook
from mimosapoint.cell.claim import Claim
from mimosapoint.cell.committer import Committer
from mimosapoint.cell.explain import Reason, Waiting, why_no_room
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.guarantees import covered_jobs
from mimosapoint.cell.inbox import Inbox, load_jobs
from mimosapoint.cell.link import WorkerLink
from mimosapoint.cell.load import OrderWindow
from mimosapoint.cell.planner import Plan, Planner
from mimosapoint.cell.ports import Ports
from mimosapoint.cell.preemption import loss_of
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.summary import SummaryWriter
from mimosapoint.cell.units import Assignment, Job, Unit, UnitState
from mimosapoint.ports import EndedRun, Registration, RunStatus
from mimosapoint.workload import Amounts, JobRecord, RunEnd, TaskId

__all__ = ["Owner"]

RUN_SHIFT = 20
"""Low bits of a run's number, which count the runs of one owner."""

IDLE_LOOK = timedelta(seconds=1)
"""Longest time between two decisions."""

BLAMED_WORKERS = 2
"""Workers that one job's failures count against; a job that fails on more is itself at fault."""

SLOW_WORKERS_SHARE = 1 / 3
"""Largest share of the workers that get no new work for being slow; the faults of the platform's
pages slow a seventh of the workers down."""

UNKNOWN_AMOUNTS = Amounts(1 << 40, 1 << 40, 1 << 20)
"""What a run of an unknown job is taken to occupy: more than any worker has."""


class Owner:
    """Runs the jobs of a cell for the time of one ownership.

    :param claim: the ownership.
    :param ports: what it stands on.
    :param settings: times.
    """

    def __init__(self, claim: Claim, ports: Ports, settings: CellSettings):
        self._claim = claim
        self._ports = ports
        self._settings = settings
        self._clock = ports.clock
        self._telemetry = ports.telemetry
        self._wake = trio.Event()
        self.book = JobBook(ports.clock, ports.telemetry)
        self.committer = Committer(
            ports.store,
            self.book,
            claim,
            settings,
            ports.telemetry,
            self.changed,
        )
        self.fleet = Fleet(claim, ports.store, ports.worker_format, ports.clock, settings)
        self._inbox = Inbox(ports, self.book, settings, self._cancel, self.changed)
        self._summary = SummaryWriter(ports, self.book, claim, settings)
        self._window = OrderWindow(settings, ports.telemetry)
        self._planner = Planner(self._window.admits)
        self._runs = 0
        self._unwanted: Counter[TaskId] = Counter()
        self._settled = False
        self._deposed = False
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve the cell until cancelled, or until the ownership is lost."""
        store = self._ports.store
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            async with trio.open_nursery() as loading:
                loading.start_soon(self.fleet.read_roster)
                revision = await load_jobs(store, self.book, self._telemetry)
            self.fleet.link_roster(self._add_link)
            nursery.start_soon(self._inbox.run, revision)
            nursery.start_soon(self.fleet.run, self._ports.telemetry, self.changed)
            nursery.start_soon(self.committer.run)
            nursery.start_soon(self._summary.run)
            nursery.start_soon(self._window.run)
            nursery.start_soon(self._decide)

    # What links ask and tell

    def may_order(self) -> bool:
        """Whether this node still owns the cell."""
        return not self._deposed and self._clock.now() < self._claim.valid_until

    def changed(self) -> None:
        """Look again at what can be started."""
        self._wake.set()

    def deposed(self, epoch: int) -> None:
        """Note that a worker obeys a newer owner."""
        if not self._deposed:
            self._deposed = True
            self._telemetry.event("owner-deposed", epoch=self._claim.epoch, by=epoch)

    def fleet_size(self) -> int:
        """Return the number of workers that the owner talks to."""
        return len(self.fleet.links_by_id)

    def is_unhurried(self) -> bool:
        """Whether this process has processor to spare."""
        return self._window.is_open

    def adopt(self, link: WorkerLink, status: RunStatus) -> Assignment:
        """Take over a run that an earlier owner started, or have it stopped."""
        job = self.book.jobs_by_id.get(status.task.job)
        unit_id = job.record.unit_of(status.task) if job else None
        unit = self.book.find(unit_id) if unit_id else None
        amounts = UNKNOWN_AMOUNTS
        if job is not None and unit_id is not None:
            amounts = job.record.steps[unit_id.step].amounts
        wanted = unit is not None and self._is_wanted(unit, status)
        assignment = Assignment(status.task, status.run, link, amounts, unit if wanted else None)
        self._telemetry.event(
            "run-adopted" if wanted else "run-unwanted",
            **assignment.log_fields(),
            unit_state=unit.state if unit else "unknown",
        )
        if wanted:
            if unit.state is UnitState.WAITING:
                self.book.activate(unit, status.run)
            unit.assignments_by_task[status.task] = assignment
        else:
            self._unwanted[status.task] += 1
            self._stop_assignment(assignment)
        return assignment

    def gone(self, assignment: Assignment, end: RunEnd, checkpoint: str, reason: str = "") -> None:
        """Note that a run is no longer on its worker."""
        unit = assignment.unit
        self._telemetry.event(
            "run-over",
            **assignment.log_fields(),
            end=end,
            reason=reason or "reported",
            percent=assignment.percent,
        )
        self._telemetry.count("cell_runs_over", end=end.value)
        if unit is None:
            self._unwanted -= Counter({assignment.task: 1})
            self.changed()
            return
        if unit.assignments_by_task.get(assignment.task) is assignment:
            del unit.assignments_by_task[assignment.task]
        self.book.save_checkpoint(unit, checkpoint, durable=True)
        self._note_member_end(unit, assignment, end)
        self.changed()

    def ended_unknown(self, link: WorkerLink, ended: EndedRun) -> None:
        """Note the end of a run that an earlier owner started, or that was given up."""
        job = self.book.jobs_by_id.get(ended.task.job)
        unit_id = job.record.unit_of(ended.task) if job else None
        unit = self.book.find(unit_id) if unit_id else None
        if unit is None or unit.state in (UnitState.DONE, UnitState.DROPPED):
            return
        superseded = ended.run < unit.run and unit.state is UnitState.ACTIVE
        if superseded and ended.end is not RunEnd.FAILED:
            return
        self._telemetry.event(
            "run-over",
            job=ended.task.job,
            task=ended.task,
            run=ended.run,
            worker=link.id,
            end=ended.end,
            reason="found",
        )
        if not superseded:
            self.book.save_checkpoint(unit, ended.checkpoint, durable=True)
        if ended.end is RunEnd.DONE:
            self.book.finish_unit(unit)
            self._stop_unit(unit, "done-elsewhere")
        elif ended.end is RunEnd.FAILED:
            self.book.fail_run(unit, ended.run)
            # A failure counts whenever it is found; it does not end a run that began after it.
            if job.progress.phase.ended or not superseded:
                self._after_failure(unit)
        self.changed()

    # What reports ask

    @property
    def epoch(self) -> int:
        """Number of the ownership."""
        return self._claim.epoch

    @property
    def is_settled(self) -> bool:
        """Whether it is known what runs on every worker."""
        return self._settled

    def now(self) -> datetime:
        """Return the time on the owner's clock."""
        return self._clock.now()

    def usable_links(self) -> list[WorkerLink]:
        """Return the workers that may get new work."""
        now = self._clock.now()
        withdrawn = self._ports.view.withdrawn_zones
        usable = [
            link
            for link in self.fleet.links_by_id.values()
            if link.is_usable(now) and link.registration.zone not in withdrawn
        ]
        slow = sum(link.pace.is_slow(now) for link in usable)
        # Where many workers are slow it is their work, or the way it is measured.
        if not slow or slow > SLOW_WORKERS_SHARE * len(usable):
            return usable
        return [link for link in usable if not link.pace.is_slow(now)]

    def why_waiting(self, unit: Unit) -> Waiting:
        """Tell why a waiting unit has not started."""
        if not self._may_start():
            return Waiting(Reason.CONFIGURATION_OLD, "entries in the store were not confirmed")
        if self._may_run_unknown(unit):
            return Waiting(Reason.EARLIER_OWNER, "not every worker has told what it runs")
        if self._is_ending(unit):
            return Waiting(Reason.LAST_RUN, "its last run is being stopped")
        if self._planner.is_holding(unit.id):
            return Waiting(Reason.ROOM_BEING_FREED, "others are being stopped for it")
        pool = self._ports.view.catalog.pool_of(unit.job.record)
        links = self.fleet.links_by_id.values()
        return why_no_room(unit, pool, links, self.usable_links(), self._clock.now())

    async def store_ends(self, ended: tuple[EndedRun, ...]) -> None:
        """Return when the progress that the ends made is stored."""
        jobs = {run.task.job for run in ended}
        known = [self.book.jobs_by_id[job] for job in jobs if job in self.book.jobs_by_id]
        await self.committer.wait_stored(known)

    # Decisions

    async def _decide(self) -> None:
        """Decide whenever something has changed."""
        while True:
            self.committer.wake()
            began = trio.current_time()
            look_at = self._decide_once()
            took = timedelta(seconds=trio.current_time() - began)
            pause = max(0.0, (look_at - self._clock.now()).total_seconds())
            with trio.move_on_after(pause):
                await self._wake.wait()
                await trio.sleep(self._settings.pause_after(took).total_seconds())
            self._wake = trio.Event()

    def _decide_once(self) -> datetime:
        now = self._clock.now()
        look_at = now + IDLE_LOOK
        due = self.book.open_due()
        if due is not None:
            look_at = min(look_at, due)
        self._settle(now)
        if not self._may_start():
            return look_at
        plan = self._plan(now)
        self._carry_out(plan)
        if plan.next_look is not None:
            look_at = min(look_at, plan.next_look)
        return look_at

    def _plan(self, now: datetime) -> Plan:
        view = self._ports.view
        links = self.usable_links()
        began = trio.current_time()
        covered = covered_jobs(self.book.open_jobs(), view.catalog)
        plan = self._planner.plan(
            self._startable(), self.book.active_units(), links, view.catalog, now, covered
        )
        self._telemetry.observe("cell_decision_seconds", trio.current_time() - began)
        return plan

    def _startable(self) -> Iterable[Unit]:
        """Yield the waiting units of which no earlier owner can have a run on a silent worker."""
        for unit in self.book.waiting_by_id.values():
            if not self._is_ending(unit) and not self._may_run_unknown(unit):
                yield unit

    def _may_run_unknown(self, unit: Unit) -> bool:
        """Tell whether an earlier owner may have a run of the unit on a silent worker."""
        return not self._settled and unit.job.accepted_rev <= self._claim.epoch_rev

    def _is_ending(self, unit: Unit) -> bool:
        """Tell whether a run of one of the unit's tasks is still being stopped."""
        if unit.assignments_by_task:
            return True
        return bool(self._unwanted) and any(task in self._unwanted for task in unit.tasks)

    def _may_start(self) -> bool:
        view = self._ports.view
        return (
            self.may_order()
            and view.is_fresh()
            and self._inbox.is_fresh()
            and self.fleet.is_fresh()
        )

    def _settle(self, now: datetime) -> None:
        """Begin to start older jobs, once every worker has told what it runs."""
        if self._settled or not self.fleet.is_settled(now):
            return
        self._settled = True
        self._telemetry.event("cell-settled", epoch=self._claim.epoch)
        for unit in list(self.book.active_units()):
            if unit.state is UnitState.ACTIVE and len(unit.assignments_by_task) < unit.size:
                self._stop_unit(unit, "incomplete")

    def _carry_out(self, plan: Plan) -> None:
        for stop in plan.stops:
            stop.unit.stops += 1
            self._stop_unit(stop.unit, stop.reason)
        for start in plan.starts:
            self._start_unit(start.unit, start.links)

    def _start_unit(self, unit: Unit, links: tuple[WorkerLink, ...]) -> None:
        self._runs += 1
        run = (self._claim.epoch << RUN_SHIFT) + self._runs
        waited = (self._clock.now() - unit.since).total_seconds()
        self.book.activate(unit, run)
        self._telemetry.event(
            "unit-started",
            job=unit.id.job,
            unit=unit.id,
            run=run,
            workers=sorted({link.id for link in links}),
            tasks=len(links),
            waited=round(waited, 3),
            version=self._ports.view.catalog.version,
            view_age=round(self._ports.view.age.total_seconds(), 3),
        )
        self._telemetry.observe("cell_wait_seconds", waited, priority=str(unit.job.record.priority))
        self._window.begin(len(links))
        checkpoint = unit.checkpoint
        for task, link in zip(unit.tasks, links, strict=True):
            assignment = link.assign(unit, task, run)
            self._nursery.start_soon(self._order_start, assignment, unit.job.record, checkpoint)

    async def _order_start(self, assignment: Assignment, job: JobRecord, checkpoint: str) -> None:
        try:
            await assignment.link.start(assignment, job, checkpoint)
        finally:
            if self._window.end():
                self.changed()

    def _stop_unit(self, unit: Unit, reason: str) -> None:
        if not unit.assignments_by_task or unit.stop_reason:
            return
        unit.stop_reason = reason
        self._telemetry.event(
            "unit-stopped",
            job=unit.id.job,
            unit=unit.id,
            run=unit.run,
            reason=reason,
            priority=unit.job.record.priority,
            lost_core_seconds=round(loss_of(unit, self._clock.now())),
        )
        self._telemetry.count("cell_units_stopped")
        for assignment in list(unit.assignments_by_task.values()):
            self._stop_assignment(assignment)

    def _stop_assignment(self, assignment: Assignment) -> None:
        if not assignment.stopping:
            assignment.stopping = True
            self._nursery.start_soon(assignment.link.stop, assignment)

    def _is_wanted(self, unit: Unit, status: RunStatus) -> bool:
        if unit.job.progress.phase.ended:
            return False
        if unit.state is UnitState.ACTIVE:
            return status.run == unit.run and status.task not in unit.assignments_by_task
        return unit.state is UnitState.WAITING

    def _note_member_end(self, unit: Unit, assignment: Assignment, end: RunEnd) -> None:
        """Draw the conclusions for a unit from the end of one of its runs."""
        if unit.state is UnitState.ACTIVE and assignment.run == unit.run:
            unit.end = unit.end or end
            if end is RunEnd.DONE:
                assignment.link.health.note_done()
                self.book.finish_unit(unit)
            elif end is RunEnd.FAILED:
                self._blame(unit, assignment.link)
                self.book.fail_run(unit, assignment.run)
                self._after_failure(unit)
            elif end in (RunEnd.REFUSED, RunEnd.LOST, RunEnd.LAPSED, RunEnd.STOPPED):
                self._stop_unit(unit, f"member-{end.value}")
        if unit.state is UnitState.ACTIVE and not unit.assignments_by_task:
            self.book.wait_again(unit)

    def _blame(self, unit: Unit, link: WorkerLink) -> None:
        """Count a failure against its worker, unless the job fails everywhere."""
        unit.failed_on.add(link.id)
        unit.job.failed_on.add(link.id)
        if len(unit.job.failed_on) > BLAMED_WORKERS:
            return
        if link.health.note_failed(unit.id.job, self._clock.now()):
            self._telemetry.event(
                "worker-put-aside",
                job=unit.id.job,
                worker=link.id,
                until=link.health.aside_until,
            )
            self._telemetry.count("cell_workers_put_aside")

    def _after_failure(self, unit: Unit) -> None:
        job = unit.job
        if job.progress.phase.ended:
            self._stop_job(job, "job-failed")
        elif unit.assignments_by_task:
            self._stop_unit(unit, "member-failed")

    def _cancel(self, job: Job) -> None:
        self.book.cancel(job)
        self._stop_job(job, "cancelled")

    def _stop_job(self, job: Job, reason: str) -> None:
        for unit in job.units_by_id.values():
            self._stop_unit(unit, reason)

    def _add_link(self, registration: Registration) -> WorkerLink:
        link = WorkerLink(
            registration,
            self._claim.epoch,
            self._ports.workers,
            self,
            self._clock,
            self._settings,
            self._telemetry,
        )
        self._nursery.start_soon(self.fleet.run_link, link)
        return link
