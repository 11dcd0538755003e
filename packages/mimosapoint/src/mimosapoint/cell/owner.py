"""Owner of a cell: schedules the jobs and orders the workers to start and stop runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.backlog import BacklogWriter
from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.departures import find_departures
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
from mimosapoint.workload import ResourceAmounts, RunEnd, TaskId

__all__ = ["Owner"]

RUN_COUNTER_BITS = 20
"""Low bits of a run number, which count the starts of units in one ownership; the epoch is above
them."""

MAX_DECISION_INTERVAL = timedelta(seconds=1)
"""Longest time between two scheduling decisions."""

MAX_BLAMED_WORKERS = 2
"""Most workers whose health the failures of one job count against; a job that fails on more
workers is itself at fault."""

MAX_SLOW_WORKERS_SHARE = 1 / 3
"""Largest share of the usable workers that are excluded for being slow; the faults that the
platform documents slow down a seventh of the workers."""

UNKNOWN_AMOUNTS = ResourceAmounts(1 << 40, 1 << 40, 1 << 20)
"""Resources that a run of an unknown job is assumed to occupy: more than any worker has, so that
its worker gets no new work. In thousandths of a core, MB and accelerators."""


class Owner:
    """Runs the jobs of a cell during one ownership.

    :param ownership: the ownership.
    :param dependencies: store, workers, clock and the other dependencies of an owner.
    :param settings: settings of the cell.
    """

    def __init__(
        self, ownership: Ownership, dependencies: CellOwnerDependencies, settings: CellSettings
    ):
        self._ownership = ownership
        self._dependencies = dependencies
        self._settings = settings
        self._clock = dependencies.clock
        self._telemetry = dependencies.telemetry
        self._decision_requested = trio.Event()
        self.job_table = CellJobTable(dependencies.clock, dependencies.telemetry)
        self.committer = ProgressCommitter(
            dependencies.store,
            self.job_table,
            ownership,
            settings,
            dependencies.telemetry,
            self.request_decision,
        )
        self.fleet = Fleet(
            ownership, dependencies.store, dependencies.worker_decoder, dependencies.clock, settings
        )
        self._inbox = Inbox(
            dependencies, self.job_table, settings, self._cancel, self.request_decision
        )
        self._backlog_writer = BacklogWriter(dependencies, self.job_table, ownership, settings)
        self._start_limiter = StartLimiter(settings, dependencies.telemetry)
        self._planner = Planner(settings, self._start_limiter.admits)
        self._run_count = 0
        self._unwanted_run_counts: Counter[TaskId] = Counter()
        self._recovered = False
        self._fenced = False
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the cell until cancelled.

        :raises ExceptionGroup: with :class:`StaleEpoch` if another node has claimed the cell.
        """
        store = self._dependencies.store
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            async with trio.open_nursery() as loading_nursery:
                loading_nursery.start_soon(self.fleet.read_roster)
                revision = await load_jobs(store, self.job_table, self._telemetry)
            self.fleet.open_roster_sessions(self._open_session)
            nursery.start_soon(self._inbox.run, revision)
            nursery.start_soon(self.fleet.run, self._dependencies.telemetry, self.request_decision)
            nursery.start_soon(self.committer.run)
            nursery.start_soon(self._backlog_writer.run)
            nursery.start_soon(self._start_limiter.run)
            nursery.start_soon(self._run_decisions)

    # Interface of the worker sessions

    def holds_ownership(self) -> bool:
        """Return whether this node still owns the cell."""
        return not self._fenced and self._clock.now() < self._ownership.valid_until

    def may_renew_leases(self) -> bool:
        """Return whether this node may renew the leases of the workers.

        It may for some time after its ownership has ended: during a store outage no other node can
        become the owner, and a renewal starts nothing. If another node has become the owner, the
        workers that it reached refuse the renewal, and it waits for the leases of all others.
        """
        orphaned_at = self._ownership.valid_until
        return (
            not self._fenced
            and self._clock.now() < orphaned_at + self._settings.orphan_renewal_time
        )

    def request_decision(self) -> None:
        """Request a new scheduling decision."""
        self._decision_requested.set()

    def on_fenced(self, token: int) -> None:
        """Record that a worker has refused a renewal for its fencing token; send no more orders.

        It is not checked whether the newer token is of a newer epoch. The log key ``by`` holds the
        given token, not an epoch.

        :param token: the newer fencing token, or a lower bound of it.
        """
        if not self._fenced:
            self._fenced = True
            self._telemetry.event("owner-deposed", epoch=self._ownership.epoch, by=token)

    def fleet_size(self) -> int:
        """Return the number of worker sessions."""
        return len(self.fleet.sessions_by_id)

    def has_spare_cpu(self) -> bool:
        """Return whether this process has spare CPU time.

        The limit of starts shows it: it is reduced while timers are late.
        """
        return self._start_limiter.is_at_maximum

    def adopt_run(self, session: WorkerSession, status: RunStatus) -> TaskRun:
        """Adopt a run that an earlier owner started, or stop it if it is unwanted."""
        job = self.job_table.jobs_by_id.get(status.task.job)
        unit_id = job.record.unit_of(status.task) if job else None
        unit = self.job_table.find(unit_id) if unit_id else None
        amounts = UNKNOWN_AMOUNTS
        if job is not None and unit_id is not None:
            amounts = job.record.steps[unit_id.step].amounts
        wanted = unit is not None and self._is_wanted(unit, status)
        task_run = TaskRun(status.task, status.run, session, amounts, unit if wanted else None)
        self._telemetry.event(
            "run-adopted" if wanted else "run-unwanted",
            **task_run.log_fields(),
            unit_state=unit.state if unit else "unknown",
        )
        if wanted:
            if unit.state is UnitState.WAITING:
                self.job_table.activate(unit, status.run)
            unit.task_runs_by_task[status.task] = task_run
        else:
            self._unwanted_run_counts[status.task] += 1
            self._stop_task_run(task_run)
        return task_run

    def on_run_ended(
        self, task_run: TaskRun, end: RunEnd, checkpoint: str, reason: str = ""
    ) -> None:
        """Handle a run that is not, or no longer, on its worker."""
        unit = task_run.unit
        self._telemetry.event(
            "run-over",
            **task_run.log_fields(),
            end=end,
            reason=reason or "reported",
            percent=task_run.percent,
        )
        self._telemetry.count("cell_runs_over", end=end.value)
        if unit is None:
            self._unwanted_run_counts -= Counter({task_run.task: 1})
            self.request_decision()
            return
        if unit.task_runs_by_task.get(task_run.task) is task_run:
            del unit.task_runs_by_task[task_run.task]
        # A stop saves the progress up to it; the tasks that it breaks have an older checkpoint.
        if not (end is RunEnd.BROKEN and unit.end is RunEnd.STOPPED):
            self.job_table.save_checkpoint(unit, checkpoint, durable=True)
        self._handle_run_end(unit, task_run, end)
        self._end_broken_gang(unit)
        self.request_decision()

    def on_silent(self, session: WorkerSession) -> None:
        """Handle a worker that does not reply; a gang of which it ran a part may have ended."""
        units = {task_run.unit for task_run in session.task_runs_by_key.values()}
        for unit in units - {None}:
            self._end_broken_gang(unit)

    def on_unknown_run_ended(self, session: WorkerSession, ended: EndedRun) -> None:
        """Handle the end of a run that an earlier owner started, or that was removed."""
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
            worker=session.id,
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
            # Even when found late, a failure counts as an attempt of the job, though not against
            # the worker. It does not stop a run that started after it.
            if job.progress.phase.ended or not superseded:
                self._stop_after_failure(unit)
        self.request_decision()

    # Interface of the status reports

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._ownership.epoch

    @property
    def is_recovered(self) -> bool:
        """Whether the runs on the workers of earlier owners have become known."""
        return self._recovered

    def now(self) -> datetime:
        """Return the current time of the owner's clock."""
        return self._clock.now()

    def usable_sessions(self) -> list[WorkerSession]:
        """Return the sessions of the workers that may get new work.

        Workers in withdrawn zones are left out, and slow workers unless too many are slow.
        """
        now = self._clock.now()
        withdrawn = self._dependencies.view.withdrawn_zones
        usable = [
            session
            for session in self.fleet.sessions_by_id.values()
            if session.is_usable(now) and session.registration.zone not in withdrawn
        ]
        slow = sum(session.slow_detector.is_slow(now) for session in usable)
        # If many workers are slow, the cause is their work or the measurement.
        if not slow or slow > MAX_SLOW_WORKERS_SHARE * len(usable):
            return usable
        return [session for session in usable if not session.slow_detector.is_slow(now)]

    def explain_wait(self, unit: Unit) -> WaitExplanation:
        """Return why a waiting unit has not started."""
        obstacle = self._start_obstacle()
        if obstacle is not None:
            return obstacle
        if self._may_have_unknown_run(unit):
            return WaitExplanation(
                WaitReason.EARLIER_OWNER, "not every worker has told what it runs"
            )
        if self._has_remaining_run(unit):
            return WaitExplanation(WaitReason.LAST_RUN, "its last run is being stopped")
        if self._planner.has_capacity_hold(unit.id):
            return WaitExplanation(WaitReason.ROOM_BEING_FREED, "others are being stopped for it")
        pool = self._dependencies.view.configuration.pool_of(unit.job.record)
        sessions = self.fleet.sessions_by_id.values()
        return explain_capacity(unit, pool, sessions, self.usable_sessions(), self._clock.now())

    async def wait_ends_stored(self, ended: tuple[EndedRun, ...]) -> None:
        """Wait until the progress that results from the ended runs is stored."""
        jobs = {run.task.job for run in ended}
        known = [self.job_table.jobs_by_id[job] for job in jobs if job in self.job_table.jobs_by_id]
        await self.committer.wait_stored(known)

    # Decisions

    async def _run_decisions(self) -> None:
        """Decide after each request, at the latest at the time that the last decision set."""
        while True:
            self.committer.wake()
            started_at = trio.current_time()
            next_decision_at = self._decide_once()
            duration = timedelta(seconds=trio.current_time() - started_at)
            delay = max(0.0, (next_decision_at - self._clock.now()).total_seconds())
            with trio.move_on_after(delay):
                await self._decision_requested.wait()
                await trio.sleep(self._settings.pause_after(duration).total_seconds())
            self._decision_requested = trio.Event()

    def _decide_once(self) -> datetime:
        now = self._clock.now()
        next_decision_at = now + MAX_DECISION_INTERVAL
        due = self.job_table.create_due_units()
        if due is not None:
            next_decision_at = min(next_decision_at, due)
        self._complete_recovery(now)
        if self._start_obstacle() is not None:
            return next_decision_at
        departures = find_departures(self.fleet.sessions_by_id.values(), self._settings)
        for unit in departures.units:
            self._stop_unit(unit, "worker-leaving")
        if departures.next_after is not None:
            next_decision_at = min(next_decision_at, now + departures.next_after)
        plan = self._plan(now)
        self._execute(plan)
        if plan.next_decision_at is not None:
            next_decision_at = min(next_decision_at, plan.next_decision_at)
        return next_decision_at

    def _plan(self, now: datetime) -> Plan:
        view = self._dependencies.view
        sessions = self.usable_sessions()
        started_at = trio.current_time()
        covered = covered_jobs(self.job_table.open_jobs(), view.configuration)
        plan = self._planner.plan(
            self._startable_units(),
            self.job_table.active_units(),
            sessions,
            view.configuration,
            now,
            covered,
        )
        self._telemetry.observe("cell_decision_seconds", trio.current_time() - started_at)
        return plan

    def _startable_units(self) -> Iterable[Unit]:
        """Yield the waiting units that have no remaining and no unknown run."""
        for unit in self.job_table.waiting_by_id.values():
            if not self._has_remaining_run(unit) and not self._may_have_unknown_run(unit):
                yield unit

    def _may_have_unknown_run(self, unit: Unit) -> bool:
        """Return whether a worker whose runs are not known may have a run of the unit."""
        return not self._recovered and unit.job.may_have_runs

    def _has_remaining_run(self, unit: Unit) -> bool:
        """Return whether a run of the unit's tasks is left, such as one that is being stopped."""
        if unit.task_runs_by_task:
            return True
        return bool(self._unwanted_run_counts) and any(
            task in self._unwanted_run_counts for task in unit.tasks
        )

    def _start_obstacle(self) -> WaitExplanation | None:
        """Return why nothing may start at present; ``None`` if units may start."""
        if not self.holds_ownership():
            return WaitExplanation(WaitReason.OWNERSHIP_LOST, "the ownership was not renewed")
        for reason, part in (
            (WaitReason.CONFIGURATION_OLD, self._dependencies.view),
            (WaitReason.INBOX_OLD, self._inbox),
            (WaitReason.REGISTRATIONS_OLD, self.fleet),
        ):
            if not part.is_fresh():
                return WaitExplanation(reason, "not confirmed within the freshness bound")
        return None

    def _complete_recovery(self, now: datetime) -> None:
        """Complete the recovery once the runs on every worker of earlier owners are known.

        From then on jobs of earlier owners may start. Gangs of which runs are missing are stopped.
        """
        if self._recovered or not self.fleet.all_runs_known(now):
            return
        self._recovered = True
        self._telemetry.event("cell-settled", epoch=self._ownership.epoch)
        for unit in list(self.job_table.active_units()):
            if unit.state is UnitState.ACTIVE and len(unit.task_runs_by_task) < unit.size:
                self._stop_unit(unit, "incomplete")

    def _execute(self, plan: Plan) -> None:
        for stop in plan.stops:
            stop.unit.preemptions += 1
            self._stop_unit(stop.unit, stop.reason)
        for start in plan.starts:
            self._start_unit(start.unit, start.sessions)

    def _start_unit(self, unit: Unit, sessions: tuple[WorkerSession, ...]) -> None:
        self._run_count += 1
        run = (self._ownership.epoch << RUN_COUNTER_BITS) + self._run_count
        waited = (self._clock.now() - unit.since).total_seconds()
        self.job_table.activate(unit, run)
        self._telemetry.event(
            "unit-started",
            job=unit.id.job,
            unit=unit.id,
            run=run,
            workers=sorted({session.id for session in sessions}),
            tasks=len(sessions),
            waited=round(waited, 3),
            version=self._dependencies.view.configuration.version,
            view_age=round(self._dependencies.view.age.total_seconds(), 3),
        )
        self._telemetry.observe("cell_wait_seconds", waited, priority=str(unit.job.record.priority))
        self._start_limiter.add_started(len(sessions))
        checkpoint = unit.checkpoint
        for task, session in zip(unit.tasks, sessions, strict=True):
            task_run = session.create_task_run(unit, task, run)
            self._nursery.start_soon(self._order_start, task_run, unit.job, checkpoint)

    async def _order_start(self, task_run: TaskRun, job: Job, checkpoint: str) -> None:
        """Order a start once it is stored that the job has started.

        So the next owner knows that a job has no runs on workers that do not reply to it.
        """
        try:
            if not job.is_start_stored:
                await self.committer.wait_start_stored(job)
            await task_run.session.start(task_run, job.record, checkpoint)
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
        for task_run in list(unit.task_runs_by_task.values()):
            self._stop_task_run(task_run)

    def _stop_task_run(self, task_run: TaskRun) -> None:
        if not task_run.stopping:
            task_run.stopping = True
            self._nursery.start_soon(task_run.session.stop, task_run)

    def _is_wanted(self, unit: Unit, status: RunStatus) -> bool:
        if unit.job.progress.phase.ended:
            return False
        if unit.state is UnitState.ACTIVE:
            return status.run == unit.run and status.task not in unit.task_runs_by_task
        return unit.state is UnitState.WAITING

    def _handle_run_end(self, unit: Unit, task_run: TaskRun, end: RunEnd) -> None:
        """Update a unit after the end of one of its runs.

        After the ends ``ALONE`` and ``BROKEN`` the other runs of a gang are not stopped here.
        """
        if unit.state is UnitState.ACTIVE and task_run.run == unit.run:
            unit.end = end if unit.end in (None, RunEnd.BROKEN) else unit.end
            if end is RunEnd.DONE:
                task_run.session.health.record_success()
                self.job_table.finish_unit(unit)
            elif end is RunEnd.FAILED:
                self._record_failure(unit, task_run.session)
                self.job_table.fail_run(unit, task_run.run)
                self._stop_after_failure(unit)
            elif end in (RunEnd.REFUSED, RunEnd.LOST, RunEnd.LAPSED, RunEnd.STOPPED):
                self._stop_unit(unit, f"member-{end.value}")
        if unit.state is UnitState.ACTIVE and not unit.task_runs_by_task:
            self.job_table.requeue(unit)

    def _end_broken_gang(self, unit: Unit) -> None:
        """End the runs of a broken gang on the silent worker whose run must have ended first.

        A task ends as broken when another one of its gang has ended. If all tasks on the workers
        that reply are broken, the first end was on the silent one, and the rest ended with it. The
        gang need not wait until the lease of that worker has expired.
        """
        runs = list(unit.task_runs_by_task.values())
        sessions = {task_run.session for task_run in runs}
        if unit.end is not RunEnd.BROKEN or len(sessions) != 1:
            return
        session = sessions.pop()
        is_started = all(task_run.confirmed_ms is not None for task_run in runs)
        if is_started and not session.is_reachable:
            for task_run in runs:
                session.end_task_run(task_run, RunEnd.BROKEN, reason="gang-broken")

    def _record_failure(self, unit: Unit, session: WorkerSession) -> None:
        """Count a failure against the worker, unless the job has failed on too many workers."""
        unit.failed_on.add(session.id)
        unit.job.failed_on.add(session.id)
        if len(unit.job.failed_on) > MAX_BLAMED_WORKERS:
            return
        if session.health.record_failure(unit.id.job, self._clock.now()):
            self._telemetry.event(
                "worker-put-aside",
                job=unit.id.job,
                worker=session.id,
                until=session.health.quarantined_until,
            )
            self._telemetry.count("cell_workers_put_aside")

    def _stop_after_failure(self, unit: Unit) -> None:
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
        session = WorkerSession(
            registration,
            self._ownership.epoch,
            self._dependencies.workers,
            self,
            self._clock,
            self._settings,
            self._telemetry,
        )
        self._nursery.start_soon(self.fleet.run_session, session)
        return session
