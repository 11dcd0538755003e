"""Retries an operation within a backoff, a retry budget and a deadline."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Clock
from mimosapoint.resilience.backoff import Backoff
from mimosapoint.resilience.budget import RetryBudget
from mimosapoint.resilience.deadline import Deadline

__all__ = ["retry"]

T = TypeVar("T")


async def retry(
    operation: Callable[[], Awaitable[T]],
    *,
    retryable: tuple[type[MimosapointError], ...],
    clock: Clock,
    backoff: Backoff,
    budget: RetryBudget | None = None,
    deadline: Deadline | None = None,
) -> T:
    """Return the result of an operation, retried while it fails.

    :param operation: an idempotent operation.
    :param retryable: errors after which a retry may succeed.
    :param budget: retry budget, which several operations may share.
    :param deadline: no retry begins after it.
    :raises MimosapointError: the last error, when no retry is left.
    """
    if budget is not None:
        budget.record_attempt()
    while True:
        try:
            return await operation()
        except retryable as error:
            delay = max(backoff.next_delay(), error.retry_after or timedelta())
            if not _may_retry(delay, budget, deadline):
                raise
        await clock.sleep(delay)


def _may_retry(delay: timedelta, budget: RetryBudget | None, deadline: Deadline | None) -> bool:
    if deadline is not None and deadline.remaining() <= delay:
        return False
    return budget is None or budget.try_retry()
