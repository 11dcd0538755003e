"""Support for tests: a case whose coroutine tests run on trio."""

from mimosapoint.testing.case import TrioTestCase

__all__ = ["TrioTestCase"]
