"""State of one decision of the planner."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from datetime import datetime

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.expected_end_reservation import Reservations
from mimosapoint.cell.decisions.placement_state import PlacementState
from mimosapoint.cell.decisions.plan import Plan
from mimosapoint.cell.decisions.preemption_cost import PreemptionCost
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.victims import Victims
from mimosapoint.workload import URGENT_PRIORITY

__all__ = ["CapacityHold", "Decision", "fit_key"]


@attrs.define
class CapacityHold:
    """Capacity held for a preemptor until its victims have stopped.

    :param workers: id of the worker for each task.
    :param until: time at which the hold expires.
    """

    workers: list[str]
    until: datetime


@attrs.define
class Decision:
    """State of one decision.

    :param context: configuration, time and guarantees.
    :param active: units that have runs.
    :param placement_state: capacity that is available.
    :param reservations: reservations of gangs.
    :param plan: the result.
    :param blocked_fit_keys: properties of units that do not fit.
    """

    context: DecisionContext
    active: Iterable[Unit]
    placement_state: PlacementState
    reservations: Reservations
    plan: Plan = attrs.field(factory=Plan)
    blocked_fit_keys: set[tuple] = attrs.field(factory=set)
    _victims: Victims | None = None

    def priority_of(self, unit: Unit) -> int:
        """Return the priority of a unit."""
        return self.context.configuration.priority_of(unit.job.record)

    def split_urgent(self, ordered: list[Unit]) -> tuple[list[Unit], list[Unit]]:
        """Return the urgent units and the others of units that are ordered by priority."""
        count = bisect_right(ordered, URGENT_PRIORITY, key=self.priority_of)
        return ordered[:count], ordered[count:]

    def victims_by(self, cost: PreemptionCost) -> Victims:
        """Return the units that may be preempted, which are classified once.

        :param cost: rule by which they are compared.
        """
        if self._victims is None:
            self._victims = Victims.classify(self.active, self.context, cost)
        return self._victims

    def pool_of(self, unit: Unit) -> str:
        """Return the service whose workers may run a unit."""
        return self.context.configuration.pool_of(unit.job.record)


def fit_key(unit: Unit) -> tuple:
    """Return the properties that decide whether a unit fits; units with equal keys fit alike."""
    step = unit.step
    size = unit.size
    spread = (unit.id.job, unit.id.occurrence) if step.spread_limit else None
    avoided = frozenset(unit.failed_on)
    return (unit.job.record.queue, size, step.amounts, step.label, step.rack_local, spread, avoided)
