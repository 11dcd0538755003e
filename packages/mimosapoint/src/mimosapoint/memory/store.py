"""Key-value service in memory."""

from collections import Counter
from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.errors import (
    CompareFailed,
    LeaseLost,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.memory.faults import FaultGate, Faults
from mimosapoint.ports import ABSENT, VALUE_LIMIT_BYTES, Clock, Entry

__all__ = ["MemoryStore"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time after which a call that waits on a fault gives up."""


@attrs.define
class _Lease:
    """A lease and the keys that live under it."""

    ttl: timedelta
    ends_at: datetime
    keys: set[str] = attrs.field(factory=set)


class MemoryStore:
    """Linearizable store whose calls take effect in one step.

    :param clock: the clock that leases lapse on.
    :param faults: faults in force; none by default.
    :param timeout: time after which a call that waits on a fault gives up.
    """

    def __init__(
        self, clock: Clock, faults: Faults | None = None, timeout: timedelta = CALL_TIMEOUT
    ):
        self.faults = faults or Faults()
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._gate = FaultGate(self.faults, clock, timeout, StoreUnavailable, StoreTimeout)
        self._revision = ABSENT
        self._leases_granted = 0
        self._entries_by_key: dict[str, Entry] = {}
        self._leases_by_id: dict[str, _Lease] = {}
        self._changed = trio.Event()

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        await self._enter("get")
        entry = self._entries_by_key.get(key)
        self._gate.after()
        return entry

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries whose key begins with the prefix, ordered by key."""
        await self._enter("scan")
        entries = self._select(prefix, ABSENT)
        self._gate.after()
        return entries

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Write the value if the stored revision is the expected one."""
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueTooLarge(f"{len(value)} bytes are over {VALUE_LIMIT_BYTES}")
        await self._enter("compare_and_swap")
        self._compare(key, expected)
        if lease is not None:
            self._live_lease(lease)
        self._detach(key)
        if lease is not None:
            self._leases_by_id[lease].keys.add(key)
        self._revision += 1
        self._entries_by_key[key] = Entry(key, bytes(value), self._revision)
        revision = self._revision
        self._wake()
        self._gate.after()
        return revision

    async def delete(self, key: str, expected: int) -> None:
        """Remove the key if the stored revision is the expected one."""
        await self._enter("delete")
        self._compare(key, expected)
        if expected != ABSENT:
            self._detach(key)
            self._remove(key)
        self._gate.after()

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        await self._enter("grant_lease")
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._leases_by_id[lease] = _Lease(ttl, self._clock.now() + ttl)
        self._gate.after()
        return lease

    async def renew_lease(self, lease: str) -> None:
        """Renew the lease for its time to live."""
        await self._enter("renew_lease")
        held = self._live_lease(lease)
        held.ends_at = self._clock.now() + held.ttl
        self._gate.after()

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait until an entry under the prefix has a revision above ``after``."""
        await self._enter("watch")
        found: list[Entry] = []
        with trio.move_on_after(timeout.total_seconds()):
            while not (found := self._select(prefix, after)):
                await self._changed.wait()
                self._drop_lapsed()
        await self._gate.before()
        self._gate.after()
        return found

    async def _enter(self, kind: str) -> None:
        self.counts[kind] += 1
        await trio.lowlevel.checkpoint()
        await self._gate.before()
        self._drop_lapsed()

    def _select(self, prefix: str, after: int) -> list[Entry]:
        entries = self._entries_by_key.values()
        found = [e for e in entries if e.revision > after and e.key.startswith(prefix)]
        return sorted(found, key=lambda entry: entry.key)

    def _compare(self, key: str, expected: int) -> None:
        entry = self._entries_by_key.get(key)
        current = entry.revision if entry else ABSENT
        if current != expected:
            raise CompareFailed(current)

    def _live_lease(self, lease: str) -> _Lease:
        held = self._leases_by_id.get(lease)
        if held is None:
            raise LeaseLost(f"{lease} is unknown or has lapsed")
        return held

    def _drop_lapsed(self) -> None:
        now = self._clock.now()
        lapsed = [name for name, held in self._leases_by_id.items() if held.ends_at <= now]
        for name in lapsed:
            for key in sorted(self._leases_by_id.pop(name).keys):
                self._remove(key)

    def _detach(self, key: str) -> None:
        for held in self._leases_by_id.values():
            held.keys.discard(key)

    def _remove(self, key: str) -> None:
        del self._entries_by_key[key]
        self._revision += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
