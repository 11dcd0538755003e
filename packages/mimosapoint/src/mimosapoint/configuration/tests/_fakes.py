"""In-memory store, clock and telemetry for the tests of this subpackage."""

from contextlib import contextmanager
from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.errors import CompareFailed, StoreTimeout, StoreUnavailable, ValueTooLarge
from mimosapoint.ports.store import ABSENT, VALUE_LIMIT_BYTES, Entry

EPOCH = datetime(2026, 12, 3, tzinfo=timezone.utc)
LATENCY = 0.002
"""Seconds that each call of the store takes, on its way in and on its way out."""


class TrioClock:
    """Clock that follows trio's, so that a mock clock drives it."""

    def __init__(self):
        self.paused = timedelta()

    def now(self):
        return EPOCH + timedelta(seconds=trio.current_time()) + self.paused

    async def sleep(self, duration):
        await trio.sleep(duration.total_seconds())


class FakeStore:
    """Linearizable store; ``faults`` holds the fates of the next calls of a method."""

    def __init__(self):
        self.entries_by_key = {}
        self.revision = 0
        self.out = False
        self.calls = []
        self.faults = []

    async def _call(self, method, key, action):
        self.calls.append((method, key))
        fault = self._fault(method, key)
        await trio.sleep(LATENCY)
        if self.out or fault == "refused":
            raise StoreUnavailable()
        if fault == "lost-request":
            raise StoreTimeout()
        result = action()
        await trio.sleep(LATENCY)
        if fault == "lost-answer":
            raise StoreTimeout()
        return result

    def _fault(self, method, key):
        for index, (wanted, fault) in enumerate(self.faults):
            if wanted == method and key == "configuration":
                del self.faults[index]
                return fault
        return None

    async def get(self, key):
        return await self._call("get", key, lambda: self.entries_by_key.get(key))

    async def compare_and_swap(self, key, value, expected, lease=None):
        return await self._call("cas", key, lambda: self._swap(key, value, expected))

    async def delete(self, key, expected):
        await self._call("delete", key, lambda: self.entries_by_key.pop(key, None))

    def _swap(self, key, value, expected):
        entry = self.entries_by_key.get(key)
        current = ABSENT if entry is None else entry.revision
        if current != expected:
            raise CompareFailed(current)
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueTooLarge()
        self.revision += 1
        self.entries_by_key[key] = Entry(key, value, self.revision)
        return self.revision


class Events:
    """Telemetry that keeps the events."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def count(self, name, amount=1, **labels):
        pass

    def gauge(self, name, value, **labels):
        pass

    def observe(self, name, value, **labels):
        pass

    @contextmanager
    def span(self, name, parent=None):
        yield None
