"""Options of a policy, and a decision while it is made."""

from collections.abc import Callable
from datetime import datetime

import attrs

from mimosapoint.scheduling.placement_search import first_fit
from mimosapoint.scheduling.preemption import PreemptionPlan
from mimosapoint.scheduling.view import Assignment, Decision, Move, Preemption, Refusal

__all__ = ["DecisionBuilder", "CapacityHold", "PolicyOptions"]

MAX_ASSIGNMENTS = 32
"""Gangs placed in one decision."""

MAX_PREEMPTIONS = 8
"""Gangs stopped in one decision before it ends."""


@attrs.frozen
class PolicyOptions:
    """What a generation of the policy does.

    :param class_priority: whether classes are served in order and urgent work may reclaim.
    :param moves: whether waiting jobs are offered to other zones.
    :param balance_load: whether they also go where far less work is waited for.
    :param quarantine: whether workers that fail what they start get no work for a while.
    :param refuse_infeasible: whether jobs that no zone can ever run are refused.
    :param reserve: whether room is drained for large gangs that wait long.
    :param find_workers: chooses workers for a gang.
    """

    class_priority: bool = False
    moves: bool = False
    balance_load: bool = False
    quarantine: bool = False
    refuse_infeasible: bool = False
    reserve: bool = False
    find_workers: Callable[..., tuple[str, ...] | None] = first_fit


@attrs.frozen
class CapacityHold:
    """Room kept for a gang until those who give way are gone.

    :param plan: where the gang goes.
    :param workspace: id of its workspace.
    :param non_preemptible: whether the gang will be one that can't be stopped.
    :param expires_at: time at which the plan is given up.
    """

    plan: PreemptionPlan
    workspace: str
    non_preemptible: bool
    expires_at: datetime


@attrs.define
class DecisionBuilder:
    """A decision while it is made."""

    assignments: list[Assignment] = attrs.field(factory=list)
    preemptions: list[Preemption] = attrs.field(factory=list)
    moves: list[Move] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    truncated: bool = False

    @property
    def full(self) -> bool:
        """Whether the decision has become large enough."""
        return len(self.assignments) >= MAX_ASSIGNMENTS or len(self.preemptions) >= MAX_PREEMPTIONS

    def build(self) -> Decision:
        """Return the decision."""
        return Decision(
            tuple(self.assignments),
            tuple(self.preemptions),
            tuple(self.moves),
            tuple(self.refusals),
            self.truncated,
        )
