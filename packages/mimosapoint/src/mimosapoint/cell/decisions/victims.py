"""Units that a preemption may stop in one decision, and what stopping them costs."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.preemption_cost import PreemptionCost, VictimCost
from mimosapoint.cell.decisions.units import Unit, UnitState
from mimosapoint.workload import URGENT_PRIORITY

__all__ = ["Victims", "of_workspace"]


@attrs.define
class Victims:
    """Units that may be preempted.

    :param lower_priority: non-urgent units; any urgent unit may preempt them.
    :param borrowing: urgent units without guarantee; only covered units may preempt them.
    :param ending: units that end within the time of a stop; only due guarantees preempt them.
    :param stopping: units that are being stopped, also by this decision.
    """

    lower_priority: list[Unit]
    borrowing: list[Unit]
    ending: list[Unit]
    stopping: list[Unit]
    _context: DecisionContext
    _cost: PreemptionCost
    _cost_by_unit: dict[Unit, VictimCost] = attrs.field(factory=dict)

    @classmethod
    def classify(
        cls, active: Iterable[Unit], context: DecisionContext, cost: PreemptionCost
    ) -> Victims:
        """Return the preemptible units among the active ones."""
        victims = cls([], [], [], [], context, cost)
        configuration, covered = context.configuration, context.covered
        for unit in active:
            if unit.stop_reason:
                victims.stopping.append(unit)
            if unit.state is not UnitState.ACTIVE or unit.stop_reason or unit.end is not None:
                continue
            if cost.ends_soon(unit, context):
                victims.ending.append(unit)
            if configuration.priority_of(unit.job.record) > URGENT_PRIORITY:
                victims.lower_priority.append(unit)
            elif unit.id.job not in covered:
                victims.borrowing.append(unit)
        return victims

    def costs_of(
        self, units: Iterable[Unit], excluded: Collection[Unit] = ()
    ) -> dict[Unit, VictimCost]:
        """Return the preemption costs of units, which are computed once in a decision."""
        excluded_units = set(excluded)
        wanted = [unit for unit in units if unit not in excluded_units]
        for unit in wanted:
            if unit not in self._cost_by_unit:
                self._cost_by_unit[unit] = self._cost.cost_of(unit, self._context)
        return {unit: self._cost_by_unit[unit] for unit in wanted}

    def stop(self, unit: Unit) -> None:
        """Move a unit from the preemptible ones to those that are being stopped."""
        victims = self.lower_priority if unit in self.lower_priority else self.borrowing
        victims.remove(unit)
        self.stopping.append(unit)


def of_workspace(units: Iterable[Unit], workspace: str) -> list[Unit]:
    """Return the units of one workspace."""
    return [unit for unit in units if unit.job.record.tenant == workspace]
