"""Decisions: which gang runs where, and which gives way."""

from mimosapoint.scheduling.fifo import FifoFirstFit
from mimosapoint.scheduling.registry import Policy, make_policy, policy_names, scheduling_policy
from mimosapoint.scheduling.view import (
    Assignment,
    Decision,
    Move,
    Reclaim,
    Refusal,
    WorkerView,
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
    "ZoneView",
    "make_policy",
    "policy_names",
    "scheduling_policy",
]
