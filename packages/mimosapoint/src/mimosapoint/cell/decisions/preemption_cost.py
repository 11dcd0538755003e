"""What the preemption of a unit costs, by the rule that the settings name."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import IntEnum
from typing import Protocol

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.deadline_class import (
    DeadlineClass,
    classify_end,
)
from mimosapoint.cell.decisions.expected_end import unit_remaining
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.settings import CellSettings

__all__ = [
    "Harm",
    "PreemptionCost",
    "VictimCost",
    "find_preemption_cost",
    "lost_core_seconds",
    "preemption_cost",
    "preemption_cost_names",
]

RESTART_TIME = timedelta(seconds=1)
"""Time that a preempted unit loses in addition to its work where the settings state no restore
time: 0.2 to 0.4 s for the stop, 0.1 to 0.6 s for the restore, and the wait for capacity."""


class Harm(IntEnum):
    """What a stop does to the caller of the victim, the least harmful first."""

    UNKNOWN = 0
    """The rule does not consider it."""
    WORTHLESS = 1
    """Its result is worthless anyway."""
    LATE = 2
    """Its result is late anyway and stays of use."""
    STILL_IN_TIME = 3
    MADE_LATE = 4
    """It would be in time, or of use, without the stop."""


@attrs.frozen
class VictimCost:
    """Preemption cost of a unit.

    :param harm: harm to its caller.
    :param core_seconds: work that is lost, raised by earlier preemptions.
    """

    harm: Harm
    core_seconds: float

    @property
    def rank(self) -> tuple[bool, float, Harm]:
        """Sort key; of two victims the one with the lower rank is preferred.

        Only victims that the stop would make late come last. Ordering by the other kinds of harm
        before the lost work discarded more work and lowered the payoff (start-order.md).
        """
        return (self.harm is Harm.MADE_LATE, self.core_seconds, self.harm)


class PreemptionCost(Protocol):
    """Rule by which victims of a preemption are chosen."""

    def benefits(self, unit: Unit, context: DecisionContext) -> bool:
        """Return whether a waiting unit may preempt without a guarantee."""

    def ends_soon(self, unit: Unit, context: DecisionContext) -> bool:
        """Return whether the unit ends no later than a stop of it would."""

    def cost_of(self, unit: Unit, context: DecisionContext) -> VictimCost:
        """Return the cost of stopping the unit."""


_costs_by_name: dict[str, Callable[[CellSettings], PreemptionCost]] = {}


def preemption_cost(name: str):
    """Register a class of preemption costs under a name that settings may state."""

    def register(cost: Callable[[CellSettings], PreemptionCost]):
        _costs_by_name[name] = cost
        return cost

    return register


def preemption_cost_names() -> tuple[str, ...]:
    """Return the names of all preemption costs."""
    return tuple(sorted(_costs_by_name))


def find_preemption_cost(settings: CellSettings) -> PreemptionCost:
    """Return the preemption cost that the settings name.

    :raises KeyError: there is none.
    """
    return _costs_by_name[settings.preemption_cost](settings)


@preemption_cost("since-start")
class CostSinceStart:
    """Work since the start of the run, unless the unit has checkpoints, and a fixed time.

    :param settings: not used.
    """

    def __init__(self, settings: CellSettings):
        self._settings = settings

    def benefits(self, unit: Unit, context: DecisionContext) -> bool:
        """Return that every unit may preempt."""
        return True

    def ends_soon(self, unit: Unit, context: DecisionContext) -> bool:
        """Return that no unit is left to end."""
        return False

    def cost_of(self, unit: Unit, context: DecisionContext) -> VictimCost:
        """Return the work that is lost; harm to the caller is not considered."""
        return VictimCost(Harm.UNKNOWN, lost_core_seconds(unit, context.now))


@preemption_cost("since-checkpoint")
class CostSinceCheckpoint:
    """Work since the last checkpoint, the stop and the restore; victims are chosen by harm first.

    :param settings: checkpoint interval, restore time and stop time.
    """

    def __init__(self, settings: CellSettings):
        self._settings = settings
        self._restart_time = RESTART_TIME
        if settings.restore_time is not None:
            self._restart_time = settings.run_stop_time + settings.restore_time

    def benefits(self, unit: Unit, context: DecisionContext) -> bool:
        """Return whether the result of the unit can still be of use."""
        end = context.now + context.durations.time_needed(unit)
        return classify_end(unit, end, context.durations) is not DeadlineClass.WORTHLESS

    def ends_soon(self, unit: Unit, context: DecisionContext) -> bool:
        """Return whether the unit is expected to end within the time that a stop takes."""
        if unit.step.long_running or unit.stop_reason or unit.end is not None:
            return False
        if not all(run.progress_rate.has_rate for run in unit.task_runs_by_task.values()):
            return False
        remaining = unit_remaining(unit, context.now, context.durations)
        return remaining <= self._settings.run_stop_time

    def cost_of(self, unit: Unit, context: DecisionContext) -> VictimCost:
        """Return the work that is lost and the harm to the caller."""
        now, durations = context.now, context.durations
        lost = self._lost_work(unit, now)
        later_steps = durations.time_needed(unit) - durations.expected(unit)
        end = now + unit_remaining(unit, now, durations) + later_steps
        before = classify_end(unit, end, durations)
        after = classify_end(unit, end + self._restart_time + lost, durations)
        if before is DeadlineClass.WORTHLESS:
            harm = Harm.WORTHLESS
        elif after is not before:
            harm = Harm.MADE_LATE
        else:
            harm = Harm.LATE if before is DeadlineClass.LATE else Harm.STILL_IN_TIME
        return VictimCost(harm, _core_seconds(unit, self._restart_time + lost))

    def _lost_work(self, unit: Unit, now: datetime) -> timedelta:
        """Return the duration of the work that the stop does not save.

        A stop saves a checkpoint. The tasks of a gang that end because another one was stopped
        first have only their last periodic one.
        """
        elapsed = _elapsed(unit, now)
        if not unit.step.checkpoints:
            return elapsed
        interval = self._settings.checkpoint_interval
        if interval is None or unit.size == 1:
            return timedelta(0)
        return min(elapsed, interval)


def lost_core_seconds(unit: Unit, now: datetime) -> float:
    """Return the work that is lost if the unit is stopped now, whatever the settings say."""
    lost = timedelta(0) if unit.step.checkpoints else _elapsed(unit, now)
    return _core_seconds(unit, RESTART_TIME + lost)


def _elapsed(unit: Unit, now: datetime) -> timedelta:
    return max(timedelta(0), now - unit.since)


def _core_seconds(unit: Unit, lost: timedelta) -> float:
    """Return the cost of some lost time of the unit; earlier preemptions raise it.

    So no unit is preempted repeatedly.
    """
    cores = unit.step.amounts.weighted_cores * unit.size
    return lost.total_seconds() * cores * (1 + unit.preemptions)
