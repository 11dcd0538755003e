"""Decisions: which gang runs where, and which gives way."""

from mimosapoint.scheduling.fifo import FifoFirstFit
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
    "Decision",
    "FifoFirstFit",
    "Move",
    "Policy",
    "Reclaim",
    "Refusal",
    "WorkerView",
    "ZoneSummary",
    "ZoneView",
    "make_policy",
    "policy_names",
    "scheduling_policy",
    "summarize",
]
