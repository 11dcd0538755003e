"""Store with scripted faults and a clock that jumps, for the tests of this subpackage."""

from datetime import timedelta
from functools import partial

import trio

from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock

KEY = "configuration"
LATENCY = 0.002
"""Seconds that each call of the store takes, on its way in and on its way out."""


class OffsetClock(TrioClock):
    """Clock that can leap ahead, as after a pause of the process."""

    offset = timedelta()

    def now(self):
        return super().now() + self.offset


class ScriptedStore(MemoryStore):
    """Store whose ``scripted_faults`` befall the next calls: pairs of a method and a fault."""

    def __init__(self, clock):
        super().__init__(clock)
        self.scripted_faults = []

    def held(self):
        """Return the entry of the configuration."""
        return self._entries_by_key.get(KEY)

    async def get(self, key):
        return await self._call_with_fault("get", key, partial(super().get, key))

    async def compare_and_swap(self, key, value, expected, lease=None):
        swap = partial(super().compare_and_swap, key, value, expected, lease)
        return await self._call_with_fault("cas", key, swap)

    def _next_fault(self, method, key):
        for index, (wanted, fault) in enumerate(self.scripted_faults):
            if wanted == method and key == KEY:
                del self.scripted_faults[index]
                return fault
        return None

    async def _call_with_fault(self, method, key, call):
        fate = self._next_fault(method, key)
        await trio.sleep(LATENCY)
        if fate in ("refused", "lost-request"):
            raise StoreUnavailable() if fate == "refused" else StoreTimeout()
        result = await call()
        await trio.sleep(LATENCY)
        if fate == "lost-answer":
            raise StoreTimeout()
        return result
