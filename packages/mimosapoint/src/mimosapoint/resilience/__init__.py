"""Bounds on what failing dependencies can do to this node, and it to them."""

from mimosapoint.resilience.backoff import Backoff
from mimosapoint.resilience.budget import RateBudget, RetryBudget
from mimosapoint.resilience.circuit import CircuitBreaker, CircuitState
from mimosapoint.resilience.deadline import Deadline
from mimosapoint.resilience.guarded import GuardedPeers, GuardedStore
from mimosapoint.resilience.retrying import retry

__all__ = [
    "Backoff",
    "CircuitBreaker",
    "CircuitState",
    "Deadline",
    "GuardedPeers",
    "GuardedStore",
    "RateBudget",
    "RetryBudget",
    "retry",
]
