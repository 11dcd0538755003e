"""Options of a policy, and a decision while it is made."""

from collections.abc import Callable
from datetime import datetime

import attrs

from mimosapoint.scheduling.places import first_place
from mimosapoint.scheduling.reclaim import Plan
from mimosapoint.scheduling.view import Assignment, Decision, Move, Reclaim, Refusal

__all__ = ["Draft", "Hold", "Options"]

PLACEMENTS = 32
"""Gangs placed in one decision."""

RECLAIMS = 8
"""Gangs stopped in one decision before it ends."""


@attrs.frozen
class Options:
    """What a generation of the policy does.

    :param classes: whether classes are served in order and urgent work may reclaim.
    :param moves: whether waiting jobs are offered to other zones.
    :param even: whether they also go where far less work is waited for.
    :param quarantine: whether workers that fail what they start get no work for a while.
    :param refuse: whether jobs that no zone can ever run are refused.
    :param reserve: whether room is drained for large gangs that wait long.
    :param place: chooses workers for a gang.
    """

    classes: bool = False
    moves: bool = False
    even: bool = False
    quarantine: bool = False
    refuse: bool = False
    reserve: bool = False
    place: Callable[..., tuple[str, ...] | None] = first_place


@attrs.frozen
class Hold:
    """Room kept for a gang until those who give way are gone.

    :param plan: where the gang goes.
    :param workspace: id of its workspace.
    :param firm: whether the gang will be one that can't be stopped.
    :param until: time at which the plan is given up.
    """

    plan: Plan
    workspace: str
    firm: bool
    until: datetime


@attrs.define
class Draft:
    """A decision while it is made."""

    assignments: list[Assignment] = attrs.field(factory=list)
    reclaims: list[Reclaim] = attrs.field(factory=list)
    moves: list[Move] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    unfinished: bool = False

    @property
    def full(self) -> bool:
        """Whether the decision has become large enough."""
        return len(self.assignments) >= PLACEMENTS or len(self.reclaims) >= RECLAIMS

    def finish(self) -> Decision:
        """Return the decision."""
        return Decision(
            tuple(self.assignments),
            tuple(self.reclaims),
            tuple(self.moves),
            tuple(self.refusals),
            self.unfinished,
        )
