"""Decisions: which gang runs where, and which gives way."""

from mimosapoint.scheduling.fifo import FifoFirstFit
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
from mimosapoint.scheduling.invariant import invariant_broken
from mimosapoint.scheduling.registry import Policy, make_policy, policy_names, scheduling_policy
from mimosapoint.scheduling.summary import summarize
from mimosapoint.scheduling.view import (
    Assignment,
    Decision,
    Move,
    Reclaim,
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
    "Reclaim",
    "Refusal",
    "Refusing",
    "Reserving",
    "UrgentLane",
    "WorkerView",
    "ZoneMoves",
    "ZoneSummary",
    "ZoneView",
    "invariant_broken",
    "make_policy",
    "policy_names",
    "scheduling_policy",
    "summarize",
]
