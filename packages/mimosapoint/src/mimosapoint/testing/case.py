"""Test case whose coroutine methods run on trio."""

import inspect
import unittest
from typing import Any

import trio
import trio.testing

__all__ = ["TrioTestCase"]


class TrioTestCase(unittest.TestCase):
    """Runs ``async def test_*`` methods on trio.

    With ``mock_clock`` set, time jumps ahead whenever every task waits; use that over in-memory
    adapters only.
    """

    mock_clock = False

    def _callTestMethod(self, method: Any) -> None:  # noqa: N802 (name set by unittest)
        if not inspect.iscoroutinefunction(method):
            super()._callTestMethod(method)
            return
        clock = trio.testing.MockClock(autojump_threshold=0) if self.mock_clock else None
        try:
            trio.run(method, clock=clock)
        except BaseExceptionGroup as group:
            raise _only_error(group) from group


def _only_error(error: BaseException) -> BaseException:
    """Return the error within groups of one, so that the runner tells failures from errors."""
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
