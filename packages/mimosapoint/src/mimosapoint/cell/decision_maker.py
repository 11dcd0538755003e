"""Decisions of an owner: their input from its state, and jobs that let a decision fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import datetime

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.durations import Durations
from mimosapoint.cell.decisions.guarantees import covered_jobs
from mimosapoint.cell.decisions.plan import Plan
from mimosapoint.cell.decisions.planner import Planner
from mimosapoint.cell.decisions.units import Job, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.dry_run import DryRun
from mimosapoint.cell.explain import WaitExplanation
from mimosapoint.cell.faulty_jobs import find_faulty_jobs
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.recovery import Recovery
from mimosapoint.cell.run_supervisor import RunSupervisor
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.unexpected import format_traceback
from mimosapoint.cell.workspace_limits import WorkspaceLimits
from mimosapoint.workload import UnitId

__all__ = ["DecisionMaker"]


class DecisionMaker:
    """Lets the planner decide about the jobs of one ownership.

    :param dependencies: configuration, clock and telemetry.
    :param settings: settings of the cell.
    :param job_table: the jobs.
    :param runs: starts and stops units.
    :param limits: quotas and shares of the workspaces.
    :param durations: expected run times.
    :param start_limiter: limit of concurrent starts.
    :param recovery: runs of earlier owners that are not known.
    :param service_workers: returns the workers that make up the services.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        settings: CellSettings,
        job_table: CellJobTable,
        runs: RunSupervisor,
        limits: WorkspaceLimits,
        durations: Durations,
        start_limiter: StartLimiter,
        recovery: Recovery,
        service_workers: Callable[[], list[Worker]],
    ):
        self._view = dependencies.view
        self._telemetry = dependencies.telemetry
        self._settings = settings
        self._job_table = job_table
        self._runs = runs
        self._limits = limits
        self._durations = durations
        self._start_limiter = start_limiter
        self._recovery = recovery
        self._service_workers = service_workers
        self._faulty_jobs: set[str] = set()
        self._planner = self._make_planner()
        self._last_plan = Plan()

    def plan(self, workers: list[Worker], context: DecisionContext) -> Plan:
        """Return the starts and stops of one decision.

        :param workers: the usable workers.
        :param context: circumstances of the decision.
        """
        units = list(self._startable_units())
        try:
            plan = self._planner.plan(units, self._job_table.active_units(), workers, context)
        except Exception as error:
            self._exclude_faulty_jobs(units, workers, context, error)
            plan = Plan(next_decision_at=context.now)
        self._last_plan = plan
        return plan

    def plan_dry_run(
        self,
        units: list[Unit],
        workers: list[Worker],
        now: datetime,
        obstacle: WaitExplanation | None,
    ) -> DryRun:
        """Return what would be decided now if units of one further job waited.

        :param units: units of a job that is not in the job table.
        :param workers: the usable workers.
        :param now: present time.
        :param obstacle: why nothing may start at present, if so.
        """
        context = self.context(now, [*self._job_table.open_jobs(), units[0].job])
        planner = self._planner.for_dry_run()
        waiting = [*self._startable_units(), *units]
        ordered = planner.order(waiting, workers, context)
        plan = planner.plan(waiting, self._job_table.active_units(), workers, context)
        return DryRun(ordered, plan, workers, context, obstacle)

    def context(self, now: datetime, jobs: Iterable[Job] | None = None) -> DecisionContext:
        """Return the circumstances of a decision.

        :param now: time of the decision.
        :param jobs: jobs to which guarantees apply; by default all that have not ended.
        """
        configuration = self._view.configuration
        jobs = self._job_table.open_jobs() if jobs is None else jobs
        return DecisionContext(
            configuration,
            now,
            covered_jobs(jobs, configuration),
            self._durations,
            self._limits.ledger(),
            self._limits.shares(),
            self._service_workers(),
        )

    def reserving_units(self, unit: Unit) -> list[Unit]:
        """Return the gangs for which the last decision reserved what the unit might have used."""
        by_workspace = self._last_plan.reserving_quota_by_workspace
        holder = by_workspace.get(unit.job.record.tenant)
        reserving = [*self._last_plan.reserving_room, *([holder] if holder is not None else ())]
        return [each for each in reserving if each.id != unit.id]

    def has_capacity_hold(self, unit: UnitId) -> bool:
        """Return whether capacity is held for the unit while its victims stop."""
        return self._planner.has_capacity_hold(unit)

    def _make_planner(self) -> Planner:
        return Planner(self._settings, self._start_limiter.admits)

    def _exclude_faulty_jobs(
        self, units: list[Unit], workers: list[Worker], context: DecisionContext, error: Exception
    ) -> None:
        """Exclude the jobs that let a decision fail; they wait, and the others may start.

        :raises Exception: the given error, if it has another cause than single jobs.
        """

        def decide(some: Sequence[Unit]) -> Plan:
            planner = self._make_planner()
            return planner.plan(some, self._job_table.active_units(), workers, context)

        faults_by_job = find_faulty_jobs(units, decide)
        if not faults_by_job:
            raise error
        # The failed decision may have left the planner in an inconsistent state.
        self._planner = self._make_planner()
        self._faulty_jobs.update(faults_by_job)
        for job, fault in faults_by_job.items():
            self._telemetry.event("job-fault", job=job, trace=format_traceback(fault))
            self._telemetry.count("cell_unexpected_errors", part="decision")

    def _startable_units(self) -> Iterable[Unit]:
        """Yield the waiting units that have no remaining and no unknown run."""
        for unit in self._job_table.waiting_by_id.values():
            if unit.id.job in self._faulty_jobs:
                continue
            if not self._runs.has_remaining_run(unit) and not self._recovery.may_have_unknown_run(
                unit
            ):
                yield unit
