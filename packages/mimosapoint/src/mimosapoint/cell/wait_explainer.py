"""Explanation of why a unit of an ownership waits, from all that may keep it from starting."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from mimosapoint.cell.decision_maker import DecisionMaker
from mimosapoint.cell.decisions.quotas import QuotaReason
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.explain import WaitExplanation, WaitReason, explain_capacity
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.recovery import Recovery
from mimosapoint.cell.run_supervisor import RunSupervisor
from mimosapoint.cell.workspace_limits import WorkspaceLimits

__all__ = ["WaitExplainer"]


class WaitExplainer:
    """Explains why waiting units have not started.

    :param dependencies: configuration and clock.
    :param find_obstacle: returns why nothing may start at present, if so.
    :param usable_workers: returns the workers that may get new work.
    :param limits: quotas of the workspaces.
    :param recovery: runs of earlier owners that are not known.
    :param runs: runs that are left of earlier starts.
    :param decisions: capacity holds and reservations.
    :param fleet: all workers.
    """

    def __init__(
        self,
        dependencies: CellOwnerDependencies,
        find_obstacle: Callable[[], WaitExplanation | None],
        usable_workers: Callable[[], list[Worker]],
        limits: WorkspaceLimits,
        recovery: Recovery,
        runs: RunSupervisor,
        decisions: DecisionMaker,
        fleet: Fleet,
    ):
        self._view = dependencies.view
        self._clock = dependencies.clock
        self._find_obstacle = find_obstacle
        self._usable_workers = usable_workers
        self._limits = limits
        self._recovery = recovery
        self._runs = runs
        self._decisions = decisions
        self._fleet = fleet

    def explain(self, unit: Unit) -> WaitExplanation:
        """Return why a waiting unit has not started."""
        obstacle = self._find_obstacle()
        if obstacle is not None:
            return obstacle
        quota_obstacle = self._limits.ledger().find_obstacle(unit)
        if quota_obstacle is not None and quota_obstacle.reason is QuotaReason.NEVER_FITS:
            return WaitExplanation(WaitReason.QUOTA_NEVER_FITS, quota_obstacle.detail)
        if self._recovery.may_have_unknown_run(unit):
            workers = ", ".join(self._recovery.unknown_workers_of(unit)) or "some workers"
            return WaitExplanation(
                WaitReason.EARLIER_OWNER, f"may be running; not reported yet: {workers}"
            )
        if self._runs.has_remaining_run(unit):
            return WaitExplanation(WaitReason.LAST_RUN, "its last run is not known to be over")
        if quota_obstacle is not None:
            return WaitExplanation(WaitReason(quota_obstacle.reason.value), quota_obstacle.detail)
        if self._decisions.has_capacity_hold(unit.id):
            return WaitExplanation(WaitReason.ROOM_BEING_FREED, "others are being stopped for it")
        return self._explain_capacity(unit)

    def _explain_capacity(self, unit: Unit) -> WaitExplanation:
        now = self._clock.now()
        pool = self._view.configuration.pool_of(unit.job.record)
        workers = [session.worker for session in self._fleet.sessions_by_id.values()]
        explanation = explain_capacity(unit, pool, workers, self._usable_workers(), now)
        reserving = self._decisions.reserving_units(unit)
        if explanation.reason is not WaitReason.NEXT or not reserving:
            return explanation
        return WaitExplanation(WaitReason.RESERVED, _format_reservations(reserving, now))


def _format_reservations(reserving: list[Unit], now: datetime) -> str:
    oldest = min(reserving, key=lambda unit: unit.since)
    others = f", and for {len(reserving) - 1} more" if len(reserving) > 1 else ""
    waited = (now - oldest.since).total_seconds()
    return f"what it fits into is reserved for {oldest.id}, which has waited {waited:.1f} s{others}"
