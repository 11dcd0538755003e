"""Limits the effect of failing dependencies on this node, and the load that it puts on them."""

from mimosapoint.resilience.backoff import Backoff
from mimosapoint.resilience.budget import RateLimiter, RetryBudget
from mimosapoint.resilience.circuit import CircuitBreaker, CircuitState
from mimosapoint.resilience.circuit_breaking import CircuitBreakingPeers, CircuitBreakingStore
from mimosapoint.resilience.deadline import Deadline
from mimosapoint.resilience.retrying import retry

__all__ = [
    "Backoff",
    "CircuitBreaker",
    "CircuitState",
    "Deadline",
    "CircuitBreakingPeers",
    "CircuitBreakingStore",
    "RateLimiter",
    "RetryBudget",
    "retry",
]
