"""The owner of a cell: what it knows, and the orders that follow from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.backlog import BacklogWriter
from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.explain import WaitExplanation, WaitReason, explain_capacity
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.guarantees import covered_jobs
from mimosapoint.cell.inbox import Inbox, load_jobs
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.planner import Plan, Planner
from mimosapoint.cell.preemption import preemption_cost
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.units import Job, TaskRun, Unit, UnitState
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.ports import EndedRun, RunStatus, WorkerRegistration
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, TaskId

__all__ = ["Owner"]

RUN_COUNTER_BITS = 20
"""Low bits of a run's number, which count the runs of one owner."""

MAX_DECISION_INTERVAL = timedelta(seconds=1)
"""Longest time between two decisions."""

MAX_BLAMED_WORKERS = 2
"""Workers that one job's failures count against; a job that fails on more is itself at fault."""

MAX_SLOW_WORKERS_SHARE = 1 / 3
"""Largest share of the workers that get no new work for being slow; the faults of the platform's
pages slow a seventh of the workers down."""

UNKNOWN_AMOUNTS = ResourceAmounts(1 << 40, 1 << 40, 1 << 20)
"""What a run of an unknown job is taken to occupy: more than any worker has."""


class Owner:
    """Runs the jobs of a cell for the time of one ownership.

    :param claim: the ownership.
    :param ports: what it stands on.
    :param settings: times.
    """

    def __init__(self, claim: Ownership, ports: CellOwnerDependencies, settings: CellSettings):
        self._claim = claim
        self._ports = ports
        self._settings = settings
        self._clock = ports.clock
        self._telemetry = ports.telemetry
        self._wake = trio.Event()
        self.job_table = CellJobTable(ports.clock, ports.telemetry)
        self.committer = ProgressCommitter(
            ports.store,
            self.job_table,
            claim,
            settings,
            ports.telemetry,
            self.request_decision,
        )
        self.fleet = Fleet(claim, ports.store, ports.worker_decoder, ports.clock, settings)
        self._inbox = Inbox(ports, self.job_table, settings, self._cancel, self.request_decision)
        self._summary = BacklogWriter(ports, self.job_table, claim, settings)
        self._start_limiter = StartLimiter(settings, ports.telemetry)
        self._planner = Planner(self._start_limiter.admits)
        self._run_count = 0
        self._unwanted_run_counts: Counter[TaskId] = Counter()
        self._recovered = False
        self._fenced = False
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve the cell until cancelled, or until the ownership is lost."""
        store = self._ports.store
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            async with trio.open_nursery() as loading:
                loading.start_soon(self.fleet.read_roster)
                revision = await load_jobs(store, self.job_table, self._telemetry)
            self.fleet.open_roster_sessions(self._open_session)
            nursery.start_soon(self._inbox.run, revision)
            nursery.start_soon(self.fleet.run, self._ports.telemetry, self.request_decision)
            nursery.start_soon(self.committer.run)
            nursery.start_soon(self._summary.run)
            nursery.start_soon(self._start_limiter.run)
            nursery.start_soon(self._run_decisions)

    # What links ask and tell

    def holds_ownership(self) -> bool:
        """Whether this node still owns the cell."""
        return not self._fenced and self._clock.now() < self._claim.valid_until

    def request_decision(self) -> None:
        """Look again at what can be started."""
        self._wake.set()

    def on_fenced(self, epoch: int) -> None:
        """Note that a worker obeys a newer owner."""
        if not self._fenced:
            self._fenced = True
            self._telemetry.event("owner-deposed", epoch=self._claim.epoch, by=epoch)

    def fleet_size(self) -> int:
        """Return the number of workers that the owner talks to."""
        return len(self.fleet.sessions_by_id)

    def has_spare_cpu(self) -> bool:
        """Whether this process has processor to spare."""
        return self._start_limiter.is_at_maximum

    def adopt_run(self, link: WorkerSession, status: RunStatus) -> TaskRun:
        """Take over a run that an earlier owner started, or have it stopped."""
        job = self.job_table.jobs_by_id.get(status.task.job)
        unit_id = job.record.unit_of(status.task) if job else None
        unit = self.job_table.find(unit_id) if unit_id else None
        amounts = UNKNOWN_AMOUNTS
        if job is not None and unit_id is not None:
            amounts = job.record.steps[unit_id.step].amounts
        wanted = unit is not None and self._is_wanted(unit, status)
        assignment = TaskRun(status.task, status.run, link, amounts, unit if wanted else None)
        self._telemetry.event(
            "run-adopted" if wanted else "run-unwanted",
            **assignment.log_fields(),
            unit_state=unit.state if unit else "unknown",
        )
        if wanted:
            if unit.state is UnitState.WAITING:
                self.job_table.activate(unit, status.run)
            unit.task_runs_by_task[status.task] = assignment
        else:
            self._unwanted_run_counts[status.task] += 1
            self._stop_assignment(assignment)
        return assignment

    def on_run_ended(
        self, assignment: TaskRun, end: RunEnd, checkpoint: str, reason: str = ""
    ) -> None:
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
            self._unwanted_run_counts -= Counter({assignment.task: 1})
            self.request_decision()
            return
        if unit.task_runs_by_task.get(assignment.task) is assignment:
            del unit.task_runs_by_task[assignment.task]
        self.job_table.save_checkpoint(unit, checkpoint, durable=True)
        self._handle_run_end(unit, assignment, end)
        self.request_decision()

    def on_unknown_run_ended(self, link: WorkerSession, ended: EndedRun) -> None:
        """Note the end of a run that an earlier owner started, or that was given up."""
        job = self.job_table.jobs_by_id.get(ended.task.job)
        unit_id = job.record.unit_of(ended.task) if job else None
        unit = self.job_table.find(unit_id) if unit_id else None
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
            self.job_table.save_checkpoint(unit, ended.checkpoint, durable=True)
        if ended.end is RunEnd.DONE:
            self.job_table.finish_unit(unit)
            self._stop_unit(unit, "done-elsewhere")
        elif ended.end is RunEnd.FAILED:
            self.job_table.fail_run(unit, ended.run)
            # A failure counts whenever it is found; it does not end a run that began after it.
            if job.progress.phase.ended or not superseded:
                self._after_failure(unit)
        self.request_decision()

    # What reports ask

    @property
    def epoch(self) -> int:
        """Number of the ownership."""
        return self._claim.epoch

    @property
    def is_recovered(self) -> bool:
        """Whether it is known what runs on every worker."""
        return self._recovered

    def now(self) -> datetime:
        """Return the time on the owner's clock."""
        return self._clock.now()

    def usable_sessions(self) -> list[WorkerSession]:
        """Return the workers that may get new work."""
        now = self._clock.now()
        withdrawn = self._ports.view.withdrawn_zones
        usable = [
            link
            for link in self.fleet.sessions_by_id.values()
            if link.is_usable(now) and link.registration.zone not in withdrawn
        ]
        slow = sum(link.slow_detector.is_slow(now) for link in usable)
        # Where many workers are slow it is their work, or the way it is measured.
        if not slow or slow > MAX_SLOW_WORKERS_SHARE * len(usable):
            return usable
        return [link for link in usable if not link.slow_detector.is_slow(now)]

    def explain_wait(self, unit: Unit) -> WaitExplanation:
        """Tell why a waiting unit has not started."""
        if not self._may_start():
            return WaitExplanation(
                WaitReason.CONFIGURATION_OLD, "entries in the store were not confirmed"
            )
        if self._may_have_unknown_run(unit):
            return WaitExplanation(
                WaitReason.EARLIER_OWNER, "not every worker has told what it runs"
            )
        if self._is_ending(unit):
            return WaitExplanation(WaitReason.LAST_RUN, "its last run is being stopped")
        if self._planner.has_reservation(unit.id):
            return WaitExplanation(WaitReason.ROOM_BEING_FREED, "others are being stopped for it")
        pool = self._ports.view.configuration.pool_of(unit.job.record)
        links = self.fleet.sessions_by_id.values()
        return explain_capacity(unit, pool, links, self.usable_sessions(), self._clock.now())

    async def wait_ends_stored(self, ended: tuple[EndedRun, ...]) -> None:
        """Return when the progress that the ends made is stored."""
        jobs = {run.task.job for run in ended}
        known = [self.job_table.jobs_by_id[job] for job in jobs if job in self.job_table.jobs_by_id]
        await self.committer.wait_stored(known)

    # Decisions

    async def _run_decisions(self) -> None:
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
        look_at = now + MAX_DECISION_INTERVAL
        due = self.job_table.create_due_units()
        if due is not None:
            look_at = min(look_at, due)
        self._complete_recovery(now)
        if not self._may_start():
            return look_at
        plan = self._plan(now)
        self._execute(plan)
        if plan.next_decision_at is not None:
            look_at = min(look_at, plan.next_decision_at)
        return look_at

    def _plan(self, now: datetime) -> Plan:
        view = self._ports.view
        links = self.usable_sessions()
        began = trio.current_time()
        covered = covered_jobs(self.job_table.open_jobs(), view.configuration)
        plan = self._planner.plan(
            self._startable(),
            self.job_table.active_units(),
            links,
            view.configuration,
            now,
            covered,
        )
        self._telemetry.observe("cell_decision_seconds", trio.current_time() - began)
        return plan

    def _startable(self) -> Iterable[Unit]:
        """Yield the waiting units of which no earlier owner can have a run on a silent worker."""
        for unit in self.job_table.waiting_by_id.values():
            if not self._is_ending(unit) and not self._may_have_unknown_run(unit):
                yield unit

    def _may_have_unknown_run(self, unit: Unit) -> bool:
        """Tell whether an earlier owner may have a run of the unit on a silent worker."""
        return not self._recovered and unit.job.accepted_rev <= self._claim.epoch_rev

    def _is_ending(self, unit: Unit) -> bool:
        """Tell whether a run of one of the unit's tasks is still being stopped."""
        if unit.task_runs_by_task:
            return True
        return bool(self._unwanted_run_counts) and any(
            task in self._unwanted_run_counts for task in unit.tasks
        )

    def _may_start(self) -> bool:
        view = self._ports.view
        return (
            self.holds_ownership()
            and view.is_fresh()
            and self._inbox.is_fresh()
            and self.fleet.is_fresh()
        )

    def _complete_recovery(self, now: datetime) -> None:
        """Begin to start older jobs, once every worker has told what it runs."""
        if self._recovered or not self.fleet.all_runs_known(now):
            return
        self._recovered = True
        self._telemetry.event("cell-settled", epoch=self._claim.epoch)
        for unit in list(self.job_table.active_units()):
            if unit.state is UnitState.ACTIVE and len(unit.task_runs_by_task) < unit.size:
                self._stop_unit(unit, "incomplete")

    def _execute(self, plan: Plan) -> None:
        for stop in plan.stops:
            stop.unit.preemptions += 1
            self._stop_unit(stop.unit, stop.reason)
        for start in plan.starts:
            self._start_unit(start.unit, start.sessions)

    def _start_unit(self, unit: Unit, links: tuple[WorkerSession, ...]) -> None:
        self._run_count += 1
        run = (self._claim.epoch << RUN_COUNTER_BITS) + self._run_count
        waited = (self._clock.now() - unit.since).total_seconds()
        self.job_table.activate(unit, run)
        self._telemetry.event(
            "unit-started",
            job=unit.id.job,
            unit=unit.id,
            run=run,
            workers=sorted({link.id for link in links}),
            tasks=len(links),
            waited=round(waited, 3),
            version=self._ports.view.configuration.version,
            view_age=round(self._ports.view.age.total_seconds(), 3),
        )
        self._telemetry.observe("cell_wait_seconds", waited, priority=str(unit.job.record.priority))
        self._start_limiter.add_started(len(links))
        checkpoint = unit.checkpoint
        for task, link in zip(unit.tasks, links, strict=True):
            assignment = link.create_task_run(unit, task, run)
            self._nursery.start_soon(self._order_start, assignment, unit.job.record, checkpoint)

    async def _order_start(self, assignment: TaskRun, job: AcceptedJob, checkpoint: str) -> None:
        try:
            await assignment.session.start(assignment, job, checkpoint)
        finally:
            if self._start_limiter.remove_finished():
                self.request_decision()

    def _stop_unit(self, unit: Unit, reason: str) -> None:
        if not unit.task_runs_by_task or unit.stop_reason:
            return
        unit.stop_reason = reason
        self._telemetry.event(
            "unit-stopped",
            job=unit.id.job,
            unit=unit.id,
            run=unit.run,
            reason=reason,
            priority=unit.job.record.priority,
            lost_core_seconds=round(preemption_cost(unit, self._clock.now())),
        )
        self._telemetry.count("cell_units_stopped")
        for assignment in list(unit.task_runs_by_task.values()):
            self._stop_assignment(assignment)

    def _stop_assignment(self, assignment: TaskRun) -> None:
        if not assignment.stopping:
            assignment.stopping = True
            self._nursery.start_soon(assignment.session.stop, assignment)

    def _is_wanted(self, unit: Unit, status: RunStatus) -> bool:
        if unit.job.progress.phase.ended:
            return False
        if unit.state is UnitState.ACTIVE:
            return status.run == unit.run and status.task not in unit.task_runs_by_task
        return unit.state is UnitState.WAITING

    def _handle_run_end(self, unit: Unit, assignment: TaskRun, end: RunEnd) -> None:
        """Draw the conclusions for a unit from the end of one of its runs."""
        if unit.state is UnitState.ACTIVE and assignment.run == unit.run:
            unit.end = unit.end or end
            if end is RunEnd.DONE:
                assignment.session.health.record_success()
                self.job_table.finish_unit(unit)
            elif end is RunEnd.FAILED:
                self._record_failure(unit, assignment.session)
                self.job_table.fail_run(unit, assignment.run)
                self._after_failure(unit)
            elif end in (RunEnd.REFUSED, RunEnd.LOST, RunEnd.LAPSED, RunEnd.STOPPED):
                self._stop_unit(unit, f"member-{end.value}")
        if unit.state is UnitState.ACTIVE and not unit.task_runs_by_task:
            self.job_table.requeue(unit)

    def _record_failure(self, unit: Unit, link: WorkerSession) -> None:
        """Count a failure against its worker, unless the job fails everywhere."""
        unit.failed_on.add(link.id)
        unit.job.failed_on.add(link.id)
        if len(unit.job.failed_on) > MAX_BLAMED_WORKERS:
            return
        if link.health.record_failure(unit.id.job, self._clock.now()):
            self._telemetry.event(
                "worker-put-aside",
                job=unit.id.job,
                worker=link.id,
                until=link.health.quarantined_until,
            )
            self._telemetry.count("cell_workers_put_aside")

    def _after_failure(self, unit: Unit) -> None:
        job = unit.job
        if job.progress.phase.ended:
            self._stop_job(job, "job-failed")
        elif unit.task_runs_by_task:
            self._stop_unit(unit, "member-failed")

    def _cancel(self, job: Job) -> None:
        self.job_table.cancel(job)
        self._stop_job(job, "cancelled")

    def _stop_job(self, job: Job, reason: str) -> None:
        for unit in job.units_by_id.values():
            self._stop_unit(unit, reason)

    def _open_session(self, registration: WorkerRegistration) -> WorkerSession:
        link = WorkerSession(
            registration,
            self._claim.epoch,
            self._ports.workers,
            self,
            self._clock,
            self._settings,
            self._telemetry,
        )
        self._nursery.start_soon(self.fleet.run_session, link)
        return link
