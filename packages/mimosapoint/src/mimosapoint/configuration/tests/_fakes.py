"""Store with scripted faults and a clock that jumps, for the tests of this subpackage."""

from datetime import timedelta
from functools import partial

import trio

from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock

KEY = "configuration"
LATENCY = 0.002
"""Seconds that each call of the store takes, on its way in and on its way out."""


class JumpingClock(TrioClock):
    """Clock that can leap ahead, as after a pause of the process."""

    leap = timedelta()

    def now(self):
        return super().now() + self.leap


class ScriptedStore(MemoryStore):
    """Store whose ``fates`` befall the next calls: pairs of a method and a fault."""

    def __init__(self, clock):
        super().__init__(clock)
        self.fates = []

    def held(self):
        """Return the entry of the configuration."""
        return self._entries_by_key.get(KEY)

    async def get(self, key):
        return await self._fated("get", key, partial(super().get, key))

    async def compare_and_swap(self, key, value, expected, lease=None):
        swap = partial(super().compare_and_swap, key, value, expected, lease)
        return await self._fated("cas", key, swap)

    def _fate(self, method, key):
        for index, (wanted, fault) in enumerate(self.fates):
            if wanted == method and key == KEY:
                del self.fates[index]
                return fault
        return None

    async def _fated(self, method, key, call):
        fate = self._fate(method, key)
        await trio.sleep(LATENCY)
        if fate in ("refused", "lost-request"):
            raise StoreUnavailable() if fate == "refused" else StoreTimeout()
        result = await call()
        await trio.sleep(LATENCY)
        if fate == "lost-answer":
            raise StoreTimeout()
        return result
