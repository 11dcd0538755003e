"""Choice of the units that a workspace gives up for an urgent unit within its own quota."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mimosapoint.cell.decisions.preemption_cost import VictimCost
from mimosapoint.cell.decisions.quotas import QuotaLedger
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["choose_quota_victims", "occupied_amounts"]


def occupied_amounts(unit: Unit) -> ResourceAmounts:
    """Return the resources of the unit's runs that exist, or may exist."""
    return sum((run.amounts for run in unit.task_runs_by_task.values()), ResourceAmounts())


def choose_quota_victims(
    quotas: QuotaLedger,
    unit: Unit,
    cost_by_unit: Mapping[Unit, VictimCost],
    stopping: Iterable[Unit],
) -> tuple[Unit, ...] | None:
    """Return the cheapest units found whose ends let the quota admit the unit, or ``None``.

    :param quotas: use and caps of the workspaces.
    :param unit: the urgent unit, which the quota of its workspace does not admit.
    :param cost_by_unit: preemption cost of each unit of the same workspace that may be stopped.
    :param stopping: units of the same workspace that are being stopped already.
    """
    workspace = unit.job.record.tenant
    freed = sum((occupied_amounts(each) for each in stopping), ResourceAmounts())
    needed = unit.step.amounts.scaled(unit.size)

    def is_admitted(freed: ResourceAmounts) -> bool:
        return quotas.obstacle(workspace, needed, freed) is None

    chosen: list[Unit] = []
    for victim in sorted(cost_by_unit, key=lambda each: cost_by_unit[each].rank):
        if is_admitted(freed):
            break
        chosen.append(victim)
        freed += occupied_amounts(victim)
    if not is_admitted(freed):
        return None
    for victim in reversed(chosen[:]):
        remaining = freed - occupied_amounts(victim)
        if is_admitted(remaining):
            chosen.remove(victim)
            freed = remaining
    return tuple(chosen)
