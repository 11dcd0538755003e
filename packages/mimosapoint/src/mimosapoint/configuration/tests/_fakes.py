"""Store with scripted faults and clock with an offset, for the tests of this subpackage."""

from datetime import timedelta
from functools import partial

import trio

from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock

CONFIGURATION_KEY = "configuration"
LATENCY_SECONDS = 0.002
"""Latency of each store call, once for the request and once for the reply."""


class OffsetClock(TrioClock):
    """Clock with an adjustable offset, which simulates a process pause."""

    offset = timedelta()

    def now(self):
        return super().now() + self.offset


class ScriptedStore(MemoryStore):
    """Store that applies ``scripted_faults``, pairs of method and fault, to the next calls."""

    def __init__(self, clock):
        super().__init__(clock)
        self.scripted_faults = []

    def configuration_entry(self):
        """Return the store entry of the configuration."""
        return self._entries_by_key.get(CONFIGURATION_KEY)

    async def get(self, key):
        return await self._call_with_fault("get", key, partial(super().get, key))

    async def compare_and_swap(self, key, value, expected, lease=None):
        swap = partial(super().compare_and_swap, key, value, expected, lease)
        return await self._call_with_fault("cas", key, swap)

    def _next_fault(self, method, key):
        for index, (faulty_method, fault) in enumerate(self.scripted_faults):
            if faulty_method == method and key == CONFIGURATION_KEY:
                del self.scripted_faults[index]
                return fault
        return None

    async def _call_with_fault(self, method, key, call):
        fault = self._next_fault(method, key)
        await trio.sleep(LATENCY_SECONDS)
        if fault in ("refused", "lost-request"):
            raise StoreUnavailable() if fault == "refused" else StoreTimeout()
        result = await call()
        await trio.sleep(LATENCY_SECONDS)
        if fault == "lost-answer":
            raise StoreTimeout()
        return result
