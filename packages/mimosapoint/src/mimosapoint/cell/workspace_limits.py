"""Quotas and shares of workspaces in one ownership: their input, log lines and metrics."""

from collections.abc import Mapping
from datetime import datetime, timedelta

from mimosapoint.cell.decisions.quotas import (
    RESOURCE_NAMES,
    QuotaLedger,
    QuotaObstacle,
    QuotaReason,
)
from mimosapoint.cell.decisions.shares import Shares, ShareTracker
from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.recovery import Recovery
from mimosapoint.workload import UnitId

__all__ = ["WorkspaceLimits"]

GAUGE_INTERVAL = timedelta(seconds=1)
"""Interval of the gauges; an owner with little processor capacity serves dozens of workspaces."""


class WorkspaceLimits:
    """Derives quotas and shares from the known runs and jobs.

    :param dependencies: configuration, clock and telemetry.
    :param job_table: the jobs.
    :param fleet: the worker sessions.
    :param recovery: runs of earlier owners that are not known.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        job_table: CellJobTable,
        fleet: Fleet,
        recovery: Recovery,
    ) -> None:
        self._recovery = recovery
        self._view = dependencies.view
        self._clock = dependencies.clock
        self._telemetry = dependencies.telemetry
        self._job_table = job_table
        self._fleet = fleet
        self._tracker = ShareTracker()
        self._logged: dict[UnitId, set[QuotaReason]] = {}
        self._reported_at: datetime | None = None
        self._reported_names: set[str] = set()

    def ledger(self) -> QuotaLedger:
        """Return the present use of the workspaces on all workers."""
        workers = (session.worker for session in self._fleet.sessions_by_id.values())
        possible_use = self._recovery.possible_use()
        return QuotaLedger.from_workers(workers, self._view.configuration, possible_use)

    def shares(self) -> Shares:
        """Return the shares, with every known job taken into account."""
        weights = self._view.configuration.weights_by_workspace
        return Shares(self._tracker.update(self._job_table.jobs_by_id, weights), weights)

    def is_exceeded(self, task_run: TaskRun) -> bool:
        """Return whether a run, which the use includes already, exceeds its workspace's cap."""
        return task_run.workspace is not None and self.ledger().is_exceeded(
            task_run.workspace, task_run.amounts
        )

    def record(self, obstacles: Mapping[UnitId, QuotaObstacle]) -> None:
        """Log each unit that a quota blocks, once for each reason, and set the gauges."""
        for unit in [unit for unit in self._logged if unit not in self._job_table.waiting_by_id]:
            del self._logged[unit]
        for unit, obstacle in obstacles.items():
            reasons = self._logged.setdefault(unit, set())
            if obstacle.reason in reasons:
                continue
            reasons.add(obstacle.reason)
            self._telemetry.event(
                "unit-over-quota",
                job=unit.job,
                unit=unit,
                reason=obstacle.reason.value,
                workspace=obstacle.workspace,
                resource=obstacle.resource,
                used=obstacle.used,
                possible=obstacle.possible,
                cap=obstacle.cap,
                needed=obstacle.needed,
                version=self._view.configuration.version,
            )
            self._telemetry.count("cell_units_over_quota", reason=obstacle.reason.value)
        now = self._clock.now()
        if self._reported_at is None or now - self._reported_at >= GAUGE_INTERVAL:
            self._reported_at = now
            self._set_gauges()

    def _set_gauges(self) -> None:
        names = set()
        for workspace, used in self.ledger().capped_use():
            names.add(workspace.name)
            for resource in RESOURCE_NAMES:
                labels = {"workspace": workspace.name, "resource": resource}
                self._telemetry.gauge("cell_workspace_used", getattr(used, resource), **labels)
                self._telemetry.gauge(
                    "cell_workspace_cap", getattr(workspace.cap, resource), **labels
                )
        for name in self._reported_names - names:
            for resource in RESOURCE_NAMES:
                labels = {"workspace": name, "resource": resource}
                self._telemetry.gauge("cell_workspace_used", 0, **labels)
                self._telemetry.gauge("cell_workspace_cap", 0, **labels)
        self._reported_names = names
