"""Owner of a cell: schedules the jobs and orders the workers to start and stop runs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.backlog import BacklogWriter
from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.crash_blame import CrashBlame
from mimosapoint.cell.decision_maker import DecisionMaker
from mimosapoint.cell.decisions.ample_room import AmpleRoom
from mimosapoint.cell.decisions.departures import find_departures
from mimosapoint.cell.decisions.durations import make_durations
from mimosapoint.cell.decisions.planner import Plan
from mimosapoint.cell.decisions.units import Job, TaskRun, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.dry_run import DryRun
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.explain import WaitExplanation, WaitReason
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.inbox import Inbox, load_jobs
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.load_summary import LoadSummaryWriter
from mimosapoint.cell.ownership_check import OwnershipCheck
from mimosapoint.cell.recovery import Recovery, TakeOverTimes
from mimosapoint.cell.run_supervisor import RunSupervisor
from mimosapoint.cell.session_starter import SessionStarter
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.standing_jobs import StandingJobs
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.timer_lag import probe_timer_lag
from mimosapoint.cell.unreadable_jobs import UnreadableJobs
from mimosapoint.cell.wait_explainer import WaitExplainer
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.cell.workspace_limits import WorkspaceLimits
from mimosapoint.ports import EndedRun, RunStatus, WorkerRegistration
from mimosapoint.workload import RunEnd

__all__ = ["Owner"]

MAX_DECISION_INTERVAL = timedelta(seconds=1)
"""Longest time between two scheduling decisions."""


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
        self._times = TakeOverTimes(ownership.epoch, self._clock, self._telemetry)
        self.job_table = CellJobTable(dependencies.clock, dependencies.telemetry)
        self.committer = ProgressCommitter(
            dependencies.store,
            self.job_table,
            ownership,
            settings,
            dependencies.telemetry,
            self.request_decision,
        )
        self.fleet = Fleet(ownership, dependencies, settings)
        self._inbox = Inbox(
            dependencies, ownership, self.job_table, settings, self._cancel, self.request_decision
        )
        self._backlog_writer = BacklogWriter(dependencies, self.job_table, ownership, settings)
        self.load_writer = LoadSummaryWriter(dependencies, self.job_table, ownership, settings)
        self._start_limiter = StartLimiter(settings, dependencies.telemetry)
        self.durations = make_durations(settings.durations)
        self.loaded = trio.Event()
        self._session_starter = SessionStarter()
        self._ownership_check = OwnershipCheck(ownership, dependencies, settings)
        self._nursery: trio.Nursery | None = None
        self.runs = RunSupervisor(
            ownership,
            dependencies,
            self.job_table,
            self.fleet,
            self.committer,
            self._start_limiter,
            self._start_task,
            self.request_decision,
            self.durations,
            settings,
            lambda task_run: self._limits.is_exceeded(task_run),
        )
        self.crash_blame = CrashBlame(
            self.fleet.losses,
            self.fleet.registrations,
            self.job_table,
            self.runs.stop_job,
            dependencies.clock,
            settings,
            dependencies.telemetry,
        )
        self.recovery = Recovery(
            ownership.epoch,
            self.job_table,
            self.fleet,
            self.crash_blame,
            self.runs.stop_unit,
            self._times,
            dependencies.telemetry,
        )
        self._unreadable_jobs = UnreadableJobs(
            dependencies,
            ownership,
            self.job_table,
            self.committer,
            settings,
            self.runs,
            self.recovery.add_job,
        )
        self._limits = WorkspaceLimits(dependencies, self.job_table, self.fleet, self.recovery)
        self._decisions = DecisionMaker(
            dependencies,
            settings,
            self.job_table,
            self.runs,
            self._limits,
            self.durations,
            self._start_limiter,
            self.recovery,
            self.fleet.service_workers,
        )
        self.wait_explainer = WaitExplainer(
            dependencies,
            self._start_obstacle,
            self._usable_workers,
            self._limits,
            self.recovery,
            self.runs,
            self._decisions,
            self.fleet,
        )
        self._standing_jobs = StandingJobs(self.wait_explainer.explain, dependencies.telemetry)

    async def run(self) -> None:
        """Run the cell until cancelled.

        :raises ExceptionGroup: with :class:`StaleEpoch` if another node has claimed the cell.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            async with trio.open_nursery() as loading_nursery:
                loading_nursery.start_soon(self.fleet.read_roster, self._telemetry)
                loading_nursery.start_soon(self._unreadable_jobs.load_kept_ends)
                loaded = await load_jobs(self._dependencies.store, self.job_table, self._telemetry)
            nursery.start_soon(self._session_starter.run, self.fleet)
            await self.fleet.open_roster_sessions(self._open_session)
            nursery.start_soon(self.fleet.find_departures)
            self.recovery.begin(loaded.has_unreadable)
            self._unreadable_jobs.apply_kept_ends()
            self.loaded.set()
            nursery.start_soon(self._ownership_check.run)
            nursery.start_soon(self._inbox.run, loaded.revision)
            nursery.start_soon(self.fleet.run, self._dependencies.telemetry, self.request_decision)
            nursery.start_soon(self._unreadable_jobs.run)
            nursery.start_soon(self.committer.run)
            nursery.start_soon(self._backlog_writer.run)
            if self._settings.admission:
                nursery.start_soon(self.load_writer.run)
            nursery.start_soon(
                probe_timer_lag, self._start_limiter, self._settings.lag_probe_interval
            )
            nursery.start_soon(self._run_decisions)
            nursery.start_soon(self._follow_operators)

    # Interface of the worker sessions

    @property
    def valid_until(self) -> datetime:
        """Time up to which this node certainly owns the cell."""
        return self._ownership.valid_until

    def holds_ownership(self) -> bool:
        """Return whether this node still owns the cell."""
        return self._clock.now() < self.valid_until

    def may_start_on(self, worker: Worker) -> bool:
        """Return whether a start that was decided earlier may still be ordered on a worker.

        Between the decision and the order, the start may have waited for the store for seconds.
        """
        session = self.fleet.sessions_by_id[worker.id]
        return (
            self._start_obstacle() is None
            and session.is_usable(self._clock.now())
            and session.registration.zone not in self._dependencies.view.withdrawn_zones
        )

    def may_renew_leases(self) -> bool:
        """Return whether this node may renew the leases of the workers.

        It may for some time after its ownership has ended: during a store outage no other node can
        become the owner, and a renewal starts nothing. If another node has become the owner, the
        workers that it reached refuse the renewal, and it waits for the leases of all others.
        """
        renewals_end = self.valid_until + self._settings.orphan_renewal_time
        is_in_time = self._clock.now() < renewals_end and not self._ownership_check.is_pending
        return self.holds_ownership() or is_in_time

    def request_decision(self) -> None:
        """Request a new scheduling decision."""
        self._decision_requested.set()

    def on_fenced(self, token: int) -> None:
        """Check the ownership in the store, as a worker has refused a renewal for its token.

        A valid ownership proves that no newer epoch exists, so that orders go on during the check.

        :param token: the newer fencing token, or a lower bound of it.
        """
        self._ownership_check.request(token)

    def fleet_size(self) -> int:
        """Return the number of worker sessions."""
        return len(self.fleet.sessions_by_id)

    def has_spare_cpu(self) -> bool:
        """Return whether this process has spare CPU time.

        The limit of starts shows it: it is reduced while timers are late.
        """
        return self._start_limiter.is_at_maximum

    def adopt_run(self, worker: Worker, status: RunStatus) -> TaskRun:
        """Adopt a run that an earlier owner started, or stop it if it is unwanted."""
        return self.runs.adopt(worker, status)

    def on_run_confirmed(self, task_run: TaskRun) -> None:
        """Handle a run that its worker has begun."""
        if task_run.unit is not None:
            self.job_table.record_begun(task_run.unit.job)

    def on_run_ended(
        self, task_run: TaskRun, end: RunEnd, checkpoint: str, reason: str = ""
    ) -> None:
        """Handle a run that is not, or no longer, on its worker."""
        self.runs.on_ended(task_run, end, checkpoint, reason)
        self._times.record("first-end", task=task_run.task, end=end)
        self.request_decision()

    def on_silent(self, worker: Worker) -> None:
        """Handle a worker that does not reply; a gang of which it ran a part may have ended."""
        self.runs.on_silent(worker)

    def on_unknown_run_ended(self, worker: Worker, ended: EndedRun) -> None:
        """Handle the end of a run that an earlier owner started, or that was removed."""
        if self.runs.on_unknown_ended(worker, ended):
            self.request_decision()

    # Interface of the status reports

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._ownership.epoch

    def now(self) -> datetime:
        """Return the current time of the owner's clock."""
        return self._clock.now()

    def usable_sessions(self) -> list[WorkerSession]:
        """Return the sessions of the workers that may get new work."""
        return self.fleet.usable_sessions(self._dependencies.view.withdrawn_zones)

    def _usable_workers(self) -> list[Worker]:
        return [session.worker for session in self.usable_sessions()]

    @property
    def run_stop_time(self) -> timedelta:
        """Longest time that a worker takes to stop a run."""
        return self._settings.run_stop_time

    def plan_dry_run(self, units: list[Unit]) -> DryRun:
        """Return what would be decided now if units of one further job waited.

        :param units: units of a job that is not in the job table.
        """
        workers = self._usable_workers()
        return self._decisions.plan_dry_run(units, workers, self.now(), self._start_obstacle())

    async def wait_ends_stored(self, ended: tuple[EndedRun, ...]) -> None:
        """Wait until the progress that results from the ended runs, or each end, is stored."""
        await self._unreadable_jobs.keep_ends(ended)
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

    async def _follow_operators(self) -> None:
        """Request a decision for each change of the operators' entries, such as a raised cap."""
        while True:
            await self._dependencies.view.wait_changed()
            self.request_decision()

    def _decide_once(self) -> datetime:
        now = self._clock.now()
        next_decision_at = now + MAX_DECISION_INTERVAL
        for due in (self.job_table.create_due_units(), self.recovery.update(now)):
            if due is not None:
                next_decision_at = min(next_decision_at, due)
        if self._dependencies.view.configuration is not None:
            self._standing_jobs.update(self.job_table.open_jobs(), self._update_room, now)
        if self._start_obstacle() is not None:
            return next_decision_at
        departures = find_departures(self.fleet.leaving_workers(self.durations), self._settings)
        for unit in departures.units:
            self.runs.stop_unit(unit, "worker-leaving")
        if departures.next_after is not None:
            next_decision_at = min(next_decision_at, now + departures.next_after)
        started_at = trio.current_time()
        workers = self._usable_workers()
        context = self._decisions.context(now)
        plan = self._decisions.plan(workers, context)
        self._telemetry.observe("cell_decision_seconds", trio.current_time() - started_at)
        self._execute(plan)
        # A part of the workers would show less free capacity than there is.
        if self.recovery.is_complete:
            over_quota = {unit.job for unit in plan.quota_obstacles}
            self.load_writer.observe_decision(workers, context, over_quota)
        return min(next_decision_at, plan.next_decision_at or next_decision_at)

    def _update_room(self, room: AmpleRoom) -> None:
        configuration = self._dependencies.view.configuration
        room.update(self.fleet.service_workers(), configuration, self._limits.ledger(), self.now())

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

    def _execute(self, plan: Plan) -> None:
        for stop in plan.stops:
            stop.unit.preemptions += 1
            self.runs.stop_unit(stop.unit, stop.reason, harm=stop.harm, **stop.log_fields)
            self._telemetry.count("cell_preemptions", reason=stop.kind, harm=stop.harm)
        for start in plan.starts:
            self._times.record("first-start", unit=start.unit.id)
            if start.unit.id in plan.overdue_ids:
                self._telemetry.count("cell_overdue_starts")
            self.runs.start_unit(start.unit, start.workers)
        self._limits.record(plan.quota_obstacles)

    def _cancel(self, job: Job) -> None:
        self.runs.cancel(job)

    def _start_task(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        self._nursery.start_soon(function, *arguments)

    def _open_session(self, registration: WorkerRegistration) -> WorkerSession:
        session = WorkerSession(
            registration,
            self._ownership.epoch,
            self._dependencies.workers,
            self,
            self._clock,
            self._settings,
            self._telemetry,
            self.fleet.first_generation,
        )
        self._session_starter.add(session)
        return session
