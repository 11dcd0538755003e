"""Options of a policy, and the builder of its decisions."""

from collections.abc import Callable
from datetime import datetime

import attrs

from mimosapoint.scheduling.placement_search import first_fit
from mimosapoint.scheduling.preemption import PreemptionPlan
from mimosapoint.scheduling.view import Assignment, Decision, Move, Preemption, Refusal

__all__ = ["DecisionBuilder", "CapacityHold", "PolicyOptions"]

MAX_ASSIGNMENTS = 32
"""Assignments after which placement stops in a decision."""

MAX_PREEMPTIONS = 8
"""Preemptions after which placement stops in a decision."""


@attrs.frozen
class PolicyOptions:
    """Features of a policy.

    :param class_priority: whether job classes are served in order and urgent work may preempt
        borrowers.
    :param moves: whether waiting jobs may move to other zones.
    :param balance_load: whether they also move to zones with a much lower load.
    :param quarantine: whether workers that fail several jobs get no new tasks for a while.
    :param refuse_infeasible: whether jobs that no zone could run even when empty are refused.
    :param reserve: whether capacity is reserved for large gangs that wait long.
    :param find_workers: function that chooses workers for a gang.
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
    """Capacity held for a preemptor until its victims have stopped.

    :param plan: placement of the gang and its victims.
    :param workspace: id of its workspace.
    :param non_preemptible: whether the gang will be non-preemptible once placed.
    :param expires_at: time at which the hold is dropped.
    """

    plan: PreemptionPlan
    workspace: str
    non_preemptible: bool
    expires_at: datetime


@attrs.define
class DecisionBuilder:
    """Mutable parts of a decision that is being made."""

    assignments: list[Assignment] = attrs.field(factory=list)
    preemptions: list[Preemption] = attrs.field(factory=list)
    moves: list[Move] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    truncated: bool = False

    @property
    def full(self) -> bool:
        """Whether the limit of assignments or preemptions is reached."""
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
