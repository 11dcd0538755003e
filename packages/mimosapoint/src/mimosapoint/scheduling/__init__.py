"""Scheduling policies: placement, preemption and moves of gangs."""

from mimosapoint.scheduling.fifo import FifoFirstFit
from mimosapoint.scheduling.guarantee_invariant import invariant_violations
from mimosapoint.scheduling.guaranteed import (
    Balanced,
    GuaranteedShapes,
    Packed,
    Quarantining,
    Refusing,
    Reserving,
    UrgentLane,
    ZoneMoves,
)
from mimosapoint.scheduling.registry import Policy, make_policy, policy_names, scheduling_policy
from mimosapoint.scheduling.summary import summarize
from mimosapoint.scheduling.view import (
    Assignment,
    Decision,
    Move,
    Preemption,
    Refusal,
    WorkerView,
    ZoneSummary,
    ZoneView,
)

__all__ = [
    "Assignment",
    "Balanced",
    "Decision",
    "FifoFirstFit",
    "GuaranteedShapes",
    "Move",
    "Packed",
    "Policy",
    "Quarantining",
    "Preemption",
    "Refusal",
    "Refusing",
    "Reserving",
    "UrgentLane",
    "WorkerView",
    "ZoneMoves",
    "ZoneSummary",
    "ZoneView",
    "invariant_violations",
    "make_policy",
    "policy_names",
    "scheduling_policy",
    "summarize",
]
