"""Repeats an operation under a backoff, a budget and a deadline."""

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
    """Return the result of an operation, repeated while it fails.

    :param operation: an idempotent operation.
    :param retryable: errors that a repeat may mend.
    :param budget: bound on retries that several operations share.
    :param deadline: no attempt begins after it.
    :raises MimosapointError: the last error, when no retry is left.
    """
    if budget is not None:
        budget.record_attempt()
    while True:
        try:
            return await operation()
        except retryable as error:
            wait = max(backoff.next_delay(), error.retry_after or timedelta())
            if not _may_retry(wait, budget, deadline):
                raise
        await clock.sleep(wait)


def _may_retry(wait: timedelta, budget: RetryBudget | None, deadline: Deadline | None) -> bool:
    if deadline is not None and deadline.remaining() <= wait:
        return False
    return budget is None or budget.try_retry()
