"""In-memory key-value store."""

from collections import Counter
from datetime import timedelta

import trio

from mimosapoint.errors import (
    CompareFailed,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.memory._leases import LeaseTable
from mimosapoint.memory.faults import FaultInjector, Faults
from mimosapoint.ports import ABSENT, VALUE_LIMIT_BYTES, Clock, Entry

__all__ = ["MemoryStore"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time after which a call that waits on a fault fails."""

LEASE_PREFIX = "lease-"


class MemoryStore:
    """Linearizable store whose calls take effect atomically.

    :param clock: clock that decides when leases expire.
    :param faults: faults in force; none by default.
    :param timeout: time after which a call that waits on a fault fails.
    """

    def __init__(
        self, clock: Clock, faults: Faults | None = None, timeout: timedelta = CALL_TIMEOUT
    ):
        self.faults = faults or Faults()
        self.counts: Counter[str] = Counter()
        self._fault_injector = FaultInjector(
            self.faults, clock, timeout, StoreUnavailable, StoreTimeout
        )
        self._revision = ABSENT
        self._entries_by_key: dict[str, Entry] = {}
        self._leases = LeaseTable(clock)
        self._changed = trio.Event()

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        await self._begin_call("get")
        entry = self._entries_by_key.get(key)
        self._fault_injector.after_effect()
        return entry

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries whose key begins with the prefix, ordered by key."""
        await self._begin_call("scan")
        entries = self._select(prefix, ABSENT)
        self._fault_injector.after_effect()
        return entries

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Write the value if the stored revision is the expected one."""
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueTooLarge(
                f"value of {len(value)} bytes is larger than {VALUE_LIMIT_BYTES} bytes"
            )
        await self._begin_call("compare_and_swap")
        self._compare(key, expected)
        self._leases.attach(key, None if lease is None else _parse_lease_id(lease))
        self._revision += 1
        self._entries_by_key[key] = Entry(key, bytes(value), self._revision)
        revision = self._revision
        self._notify_watchers()
        self._fault_injector.after_effect()
        return revision

    async def delete(self, key: str, expected: int) -> None:
        """Remove the key if the stored revision is the expected one."""
        await self._begin_call("delete")
        self._compare(key, expected)
        if expected != ABSENT:
            self._leases.attach(key, None)
            self._remove(key)
        self._fault_injector.after_effect()

    async def grant_lease(self, ttl: timedelta) -> str:
        """Grant a lease and return its id."""
        await self._begin_call("grant_lease")
        lease = f"{LEASE_PREFIX}{self._leases.grant(ttl)}"
        self._fault_injector.after_effect()
        return lease

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease for its time to live from now on."""
        await self._begin_call("renew_lease")
        self._leases.renew(_parse_lease_id(lease))
        self._fault_injector.after_effect()

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait until an entry under the prefix has a revision above ``after``."""
        await self._begin_call("watch")
        found: list[Entry] = []
        with trio.move_on_after(timeout.total_seconds()):
            while not (found := self._select(prefix, after)):
                await self._changed.wait()
                self._expire_leases()
        await self._fault_injector.before_effect()
        self._fault_injector.after_effect()
        return found

    async def _begin_call(self, kind: str) -> None:
        self.counts[kind] += 1
        await trio.lowlevel.checkpoint()
        await self._fault_injector.before_effect()
        self._expire_leases()

    def _select(self, prefix: str, after: int) -> list[Entry]:
        entries = self._entries_by_key.values()
        found = [e for e in entries if e.revision > after and e.key.startswith(prefix)]
        return sorted(found, key=lambda entry: entry.key)

    def _compare(self, key: str, expected: int) -> None:
        entry = self._entries_by_key.get(key)
        current = entry.revision if entry else ABSENT
        if current != expected:
            raise CompareFailed(current)

    def _expire_leases(self) -> None:
        for keys in self._leases.expire():
            for key in keys:
                self._remove(key)

    def _remove(self, key: str) -> None:
        del self._entries_by_key[key]
        self._revision += 1
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _parse_lease_id(lease: str) -> int:
    """Return the number in a lease id, or 0, which no lease has, for any other text."""
    text = lease.removeprefix(LEASE_PREFIX)
    return int(text) if text.isdecimal() else 0
