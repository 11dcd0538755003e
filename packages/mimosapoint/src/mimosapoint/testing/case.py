"""Test case whose coroutine methods run on trio."""

import inspect
import unittest
from typing import Any

import trio
import trio.abc
import trio.testing
from trio._core import _run

__all__ = ["TrioTestCase"]

SCHEDULING_SEED = 1
"""Seed of the order in which trio runs tasks that are ready at the same time."""


class TrioTestCase(unittest.TestCase):
    """Test case that runs ``async def test_*`` methods on trio.

    With ``mock_clock`` set, the clock jumps to the next deadline whenever every task waits; use it
    with in-memory adapters only.
    """

    mock_clock = False

    def _callTestMethod(self, method: Any) -> None:  # noqa: N802 (name set by unittest)
        if not inspect.iscoroutinefunction(method):
            super()._callTestMethod(method)
            return
        try:
            trio.run(method, clock=self._make_clock())
        except BaseExceptionGroup as group:
            raise _only_error(group) from group

    def _make_clock(self) -> trio.abc.Clock | None:
        """Return a mock clock and seed trio's scheduling, or return ``None`` for the real clock."""
        if not self.mock_clock:
            return None
        # As in trio's Hypothesis plugin, the seed of its private generator fixes the task order.
        _run._ALLOW_DETERMINISTIC_SCHEDULING = True
        _run._r.seed(SCHEDULING_SEED)
        return trio.testing.MockClock(autojump_threshold=0)


def _only_error(error: BaseException) -> BaseException:
    """Unwrap nested groups of one error, so that unittest distinguishes failures from errors."""
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
