"""Placement decisions: which units start on which workers, and which are preempted."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from copy import copy
from datetime import datetime

from mimosapoint.cell.decisions._decision import CapacityHold, Decision, fit_key
from mimosapoint.cell.decisions.ample_room import AmpleRoom
from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.demand_mix import DemandMix
from mimosapoint.cell.decisions.expected_end_reservation import Reservations
from mimosapoint.cell.decisions.gang_reservation import find_gang_reservation
from mimosapoint.cell.decisions.isolation import keep_clear, place_isolated
from mimosapoint.cell.decisions.order import find_start_order
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.placing import find_placement, needs_one_rack
from mimosapoint.cell.decisions.plan import Plan, Start, Stop
from mimosapoint.cell.decisions.preemption import PreemptionPlan, choose_victims
from mimosapoint.cell.decisions.preemption_cost import find_preemption_cost
from mimosapoint.cell.decisions.quota_victims import choose_quota_victims
from mimosapoint.cell.decisions.quotas import QuotaObstacle, QuotaReason
from mimosapoint.cell.decisions.standstill import (
    let_span,
    next_overdue,
    overdue_units,
    place_overdue,
)
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.victims import of_workspace
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.settings import CellSettings
from mimosapoint.workload import URGENT_PRIORITY, UnitId

__all__ = ["Plan", "Planner", "Start", "Stop"]

_WITHIN_SHARE = -1.0
"""Rank of the units within the shares of their workspaces, before every dominant share."""


class Planner:
    """Plans decisions and keeps the capacity holds of preemptors between them.

    :param settings: policies, times of stops and guarantees.
    :param admits: function of a number of starts and of the number already planned in the same
        decision; returns whether the starts may be ordered.
    """

    def __init__(
        self,
        settings: CellSettings,
        admits: Callable[[int, int], bool] = lambda starts, planned: True,
    ) -> None:
        self._settings = settings
        self._admits = admits
        self._order = find_start_order(settings.start_order)
        self._place = find_placement(settings.placement)
        self._demand_mix = DemandMix()
        self._reserve_for_gang = find_gang_reservation(settings.gang_reservation)
        self._cost = find_preemption_cost(settings)
        self._holds: dict[UnitId, CapacityHold] = {}
        self._quota_holds: dict[UnitId, datetime] = {}
        self._ample_room = AmpleRoom()

    def plan(
        self,
        waiting: Iterable[Unit],
        active: Iterable[Unit],
        workers: Iterable[Worker],
        context: DecisionContext,
    ) -> Plan:
        """Return the starts and stops of one decision.

        :param waiting: units that may start.
        :param active: units that have runs.
        :param workers: the usable workers.
        :param context: configuration, time and guarantees.
        """
        workers, waiting = list(workers), list(waiting)
        self._demand_mix.set_waiting(waiting)
        self._drop_expired_holds(waiting, context.now)
        state = PlacementState(workers, context.now, self._demand_mix, context.durations)
        decision = Decision(context, active, state, Reservations(state, context))
        room = self._ample_room
        service_workers = context.service_workers or workers
        room.update(service_workers, context.configuration, context.quotas, context.now)
        ordered = self.order(waiting, workers, context)
        # Urgent units come first: what is held for them, or freed by their victims, is theirs.
        urgent, others = decision.split_urgent(ordered)
        limit = self._settings.max_standstill
        let_span(state, overdue_units(urgent, room, context.now, limit), decision.pool_of)
        if self._plan_units(decision, urgent):
            self._start_overdue(decision, overdue_units(others, room, context.now, limit))
            self._plan_units(decision, others)
        if (due := next_overdue(waiting, room, context.now, limit)) is not None:
            decision.plan.decide_again_by(due)
        return decision.plan

    def _plan_units(self, decision: Decision, units: list[Unit]) -> bool:
        """Plan units in their order, except those that were started as overdue.

        :return: whether further units may be planned.
        """
        for unit in units:
            if unit.id in decision.plan.overdue_ids:
                continue
            obstacle = decision.context.quotas.find_obstacle(unit)
            if obstacle is not None:
                self._handle_quota_obstacle(decision, unit, obstacle)
            elif not self._plan_unit(decision, unit):
                # Smaller units that are started ahead of it would starve a large gang.
                return False
        return True

    def _start_overdue(self, decision: Decision, overdue: Iterable[Unit]) -> None:
        """Start one unit of each job that has stood still for too long, before any reservation."""
        state, quotas = decision.placement_state, decision.context.quotas
        started_jobs: set[str] = set()
        unfit_keys: set[tuple] = set()
        for unit in overdue:
            # Whether a suspect fits depends on how long it has waited, too.
            key = (*fit_key(unit), unit.id if unit.is_suspect else None)
            if unit.id.job in started_jobs or key in unfit_keys or quotas.find_obstacle(unit):
                continue
            let_span(state, [unit], decision.pool_of)
            pool = decision.pool_of(unit)
            candidates = self._place_suspect(state, unit, pool) if unit.is_suspect else None
            # Common crashes alone may have hit many healthy units, more than there are workers.
            if candidates is None and not unit.has_crash_evidence:
                candidates = place_overdue(state, unit, pool, self._place)
            if candidates is None:
                unfit_keys.add(key)
                continue
            if not self._start(decision, unit, candidates):
                return
            started_jobs.add(unit.id.job)
            decision.plan.overdue_ids.add(unit.id)

    def order(
        self, waiting: Iterable[Unit], workers: list[Worker], context: DecisionContext
    ) -> list[Unit]:
        """Return the waiting units in the order in which they are placed.

        Those beyond the shares of their workspaces alternate.
        """
        units = list(waiting)
        excess = [unit for unit in units if context.shares.is_excess(unit, context.now)]
        ranks: dict[UnitId, float] = {}
        if excess:
            excess.sort(key=lambda unit: self._sort_key(unit, context, ranks))
            ranks = context.shares.rank_excess(excess, context.quotas, workers)
        return sorted(units, key=lambda unit: self._sort_key(unit, context, ranks))

    def for_dry_run(self) -> Planner:
        """Return a planner with the same holds, whose plans change nothing in this one."""
        planner = copy(self)
        planner._holds = dict(self._holds)
        planner._quota_holds = dict(self._quota_holds)
        planner._demand_mix = copy(self._demand_mix)
        planner._ample_room = copy(self._ample_room)
        # The limit of starts counts what it defers.
        planner._admits = lambda starts, planned: True
        return planner

    def has_capacity_hold(self, unit: UnitId) -> bool:
        """Return whether capacity is held for the unit while its victims stop."""
        return unit in self._holds or unit in self._quota_holds

    def _plan_unit(self, decision: Decision, unit: Unit) -> bool:
        """Start a unit, preempt others for it or reserve capacity.

        :return: whether further units may be planned.
        """
        state, reservations = decision.placement_state, decision.reservations
        pool = decision.pool_of(unit)
        if unit.is_suspect:
            return self._plan_suspect(decision, unit, pool)
        passed = reservations.passed_by(unit)
        key = (*fit_key(unit), passed)
        if key in decision.blocked_fit_keys:
            self._reserve(decision, unit, pool)
            return True
        reservations.lend(passed)
        candidates = self._place(state, unit, pool)
        reservations.lend(passed, -1)
        if candidates is not None:
            return self._start(decision, unit, candidates)
        if decision.priority_of(unit) == URGENT_PRIORITY:
            self._preempt(decision, unit, pool)
            if unit.id in self._holds:
                decision.context.quotas.add_unit(unit)
        else:
            decision.blocked_fit_keys.add(key)
            self._reserve(decision, unit, pool)
        return True

    def _plan_suspect(self, decision: Decision, unit: Unit, pool: str) -> bool:
        """Start a unit that is suspected of crashing its workers in isolation.

        It preempts nothing, whatever its priority: its next crash would cost more. When it has
        waited for too long, it joins runs that are not suspected.

        :return: whether further units may be planned.
        """
        candidates = self._place_suspect(decision.placement_state, unit, pool)
        if candidates is None:
            keep_clear(decision.placement_state, unit, pool)
            return True
        return self._start(decision, unit, candidates)

    def _place_suspect(
        self, state: PlacementState, unit: Unit, pool: str
    ) -> list[CandidateWorker] | None:
        candidates = place_isolated(state, unit, pool, self._settings.crash_blame_window)
        if candidates is None and state.now - unit.since >= self._settings.isolation_patience:
            candidates = self._place(state, unit, pool)
        return candidates

    def _start(self, decision: Decision, unit: Unit, candidates: list[CandidateWorker]) -> bool:
        """Start a unit if the limit of starts admits it.

        :return: whether further units may be planned.
        """
        if not self._admits(unit.size, decision.plan.task_count):
            return False
        decision.placement_state.deduct(candidates, unit)
        for candidate in candidates:
            candidate.started_units.append(unit)
            candidate.is_isolated |= unit.is_suspect
        self._holds.pop(unit.id, None)
        self._quota_holds.pop(unit.id, None)
        self._demand_mix.add_started(unit)
        decision.plan.start(unit, tuple(candidate.worker for candidate in candidates))
        decision.context.quotas.add_unit(unit)
        return True

    def _reserve(self, decision: Decision, unit: Unit, pool: str) -> None:
        """Reserve capacity for a waiting gang by the rule that the settings name.

        Smaller units do not starve a unit that is no gang, as it fits wherever they do.
        """
        reserving = decision.plan.reserving_room
        is_full = len(reserving) >= self._settings.max_reserved_gangs
        if is_full or not unit.step.gang:
            return
        reserving.append(unit)
        state = decision.placement_state
        single_rack = needs_one_rack(state, unit, pool)
        priority = decision.priority_of(unit)
        self._reserve_for_gang(
            decision.reservations,
            unit,
            pool,
            single_rack,
            lambda other: decision.priority_of(other) > priority,
        )

    def _sort_key(
        self, unit: Unit, context: DecisionContext, excess_ranks: dict[UnitId, float]
    ) -> tuple:
        """Return the sort key of a waiting unit: priority, then the start order.

        Within a priority, units with a due guarantee come first. Units with a capacity hold are
        next, as others would take that capacity, and are ordered by waiting time. Units beyond the
        share of their workspace come last.
        """
        has_hold = unit.id in self._holds
        return (
            context.configuration.priority_of(unit.job.record),
            not self._is_guarantee_due(unit, context),
            not has_hold,
            excess_ranks.get(unit.id, _WITHIN_SHARE),
            (unit.since,) if has_hold else self._order(unit, context),
            unit.id.job,
            unit.id.step,
            unit.id.index,
        )

    def _preempt(self, decision: Decision, unit: Unit, pool: str) -> None:
        """Choose victims for the unit unless it has a hold, and deduct the held capacity."""
        state, now = decision.placement_state, decision.context.now
        hold = self._holds.get(unit.id)
        if hold is None:
            preemption = self._choose_victims(decision, unit, pool)
            if preemption is None:
                return
            for victim in preemption.cost_by_victim:
                self._stop(decision, victim, unit, "room")
            workers = [candidate.worker.id for candidate in preemption.candidates]
            hold = CapacityHold(workers, now + self._settings.capacity_hold_ttl)
            self._holds[unit.id] = hold
        candidates_by_worker = {candidate.worker.id: candidate for candidate in state.candidates}
        held_candidates = [
            candidates_by_worker[worker]
            for worker in hold.workers
            if worker in candidates_by_worker
        ]
        state.deduct(held_candidates, unit)
        decision.plan.decide_again_by(hold.until)

    def _choose_victims(self, decision: Decision, unit: Unit, pool: str) -> PreemptionPlan | None:
        """Choose victims for the unit; a due guarantee may stop runs that end soon, too.

        A unit beyond the share of its workspace preempts others only to enforce a guarantee.
        """
        context, state = decision.context, decision.placement_state
        guarantee_due = self._is_guarantee_due(unit, context)
        if not guarantee_due and not self._cost.benefits(unit, context):
            return None
        victims = decision.victims_by(self._cost)
        preemptible = victims.lower_priority
        if not guarantee_due and context.shares.is_excess(unit, context.now):
            preemptible = of_workspace(preemptible, unit.job.record.tenant)
        ending = () if guarantee_due else victims.ending
        costs = victims.costs_of(preemptible, ending)
        preemption = choose_victims(state, unit, pool, costs)
        if preemption is None and guarantee_due and victims.borrowing:
            costs |= victims.costs_of(victims.borrowing)
            preemption = choose_victims(state, unit, pool, costs)
        return preemption

    def _handle_quota_obstacle(
        self, decision: Decision, unit: Unit, obstacle: QuotaObstacle
    ) -> None:
        """Handle a unit that only the end of work of its own workspace, or a new cap, helps."""
        decision.plan.quota_obstacles[unit.id] = obstacle
        self._holds.pop(unit.id, None)
        workspace = unit.job.record.tenant
        if obstacle.reason is not QuotaReason.EXHAUSTED:
            return
        if decision.priority_of(unit) == URGENT_PRIORITY:
            self._preempt_for_quota(decision, unit)
        elif unit.step.gang and workspace not in decision.plan.reserving_quota_by_workspace:
            # Otherwise smaller units of its workspace would take its quota again and again.
            decision.plan.reserving_quota_by_workspace[workspace] = unit
            decision.context.quotas.add_unit(unit)

    def _preempt_for_quota(self, decision: Decision, unit: Unit) -> None:
        """Let an urgent unit preempt work of its own workspace that occupies its quota.

        The workspace keeps the quota for the unit while its victims stop.
        """
        context, workspace = decision.context, unit.job.record.tenant
        until = self._quota_holds.get(unit.id)
        if until is None:
            victims = decision.victims_by(self._cost)
            preemptible = of_workspace(victims.lower_priority, workspace)
            if self._is_guarantee_due(unit, context):
                preemptible += of_workspace(victims.borrowing, workspace)
            chosen = choose_quota_victims(
                context.quotas,
                unit,
                victims.costs_of(preemptible),
                of_workspace(victims.stopping, workspace),
            )
            if chosen is None:
                return
            for victim in chosen:
                self._stop(decision, victim, unit, "quota")
            until = context.now + self._settings.capacity_hold_ttl
            self._quota_holds[unit.id] = until
        context.quotas.add_unit(unit)
        decision.plan.decide_again_by(until)

    def _stop(self, decision: Decision, victim: Unit, claimant: Unit, what: str) -> None:
        """Stop a victim, and give the values that decided it for logs.

        :param what: what the claimant lacks: ``room`` or ``quota``.
        """
        context, victims = decision.context, decision.victims_by(self._cost)
        cost = victims.costs_of([victim])[victim]
        victims.stop(victim)
        durations, job = context.durations, claimant.job
        deadline = job.soft_deadline(claimant.id.occurrence, durations.critical_path(job))
        slack = deadline - context.now - durations.time_needed(claimant)
        fields = {
            "claimant": claimant.id,
            "claimant_slack": round(slack.total_seconds(), 3),
            "cost_core_seconds": round(cost.core_seconds),
            "preemptions": victim.preemptions,
        }
        kind = "guarantee" if self._is_guarantee_due(claimant, context) else "urgent"
        reason = f"{what}-for-{claimant.id}"
        decision.plan.stops.append(Stop(victim, reason, fields, kind, cost.harm.name.lower()))

    def _is_guarantee_due(self, unit: Unit, context: DecisionContext) -> bool:
        """Return whether the unit's guarantee is at risk and has to be enforced now."""
        waited = context.now - unit.job.waiting_since
        return unit.id.job in context.covered and waited >= self._settings.reclaim_delay

    def _drop_expired_holds(self, waiting: list[Unit], now: datetime) -> None:
        waiting_ids = {unit.id for unit in waiting}
        for unit_id, hold in list(self._holds.items()):
            if unit_id not in waiting_ids or hold.until <= now:
                del self._holds[unit_id]
        for unit_id, until in list(self._quota_holds.items()):
            if unit_id not in waiting_ids or until <= now:
                del self._quota_holds[unit_id]
