"""In-memory transactional key-value store with leases and watches."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta
from operator import attrgetter

import attrs
import trio

from mimosapoint.errors import LeaseLost, StoreTimeout, StoreUnavailable
from mimosapoint.memory._leases import LeaseTable
from mimosapoint.memory.faults import FaultInjector, Faults
from mimosapoint.ports import (
    ChangeBatch,
    Clock,
    Entry,
    HistoryLost,
    KeyRead,
    Removal,
    ScanResult,
    TransactionConflict,
    Write,
)

__all__ = ["MemoryTransactionStore"]

ENTRIES_LIMIT = 32
"""Most entries in a transaction, as the platform documents; it rejects more as malformed."""

CALL_TIMEOUT = timedelta(seconds=1)
"""Time after which a call that waits on a fault fails."""


@attrs.frozen
class _Change:
    revision: int
    key: str
    entry: Entry | None


class MemoryTransactionStore:
    """Linearizable store whose transactions take effect atomically.

    If ``lost_commit_delay`` is not zero, a commit whose reply is lost takes effect after that
    delay if its conditions still hold then.

    :param clock: clock that decides when leases expire.
    :param faults: faults in force; none by default.
    """

    def __init__(self, clock: Clock, faults: Faults | None = None):
        self.faults = faults or Faults()
        self.counts: Counter[str] = Counter()
        self.lost_commit_delay = timedelta(0)
        self._fault_injector = FaultInjector(
            self.faults, clock, CALL_TIMEOUT, StoreUnavailable, StoreTimeout
        )
        self._revision = 1
        self._oldest_revision = 1
        self._entries_by_key: dict[str, Entry] = {}
        self._leases = LeaseTable(clock)
        self._history: list[_Change] = []
        self._changed = trio.Event()

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        await self._begin_call("get")
        entry = self._entries_by_key.get(key)
        self._fault_injector.after_effect()
        return entry

    async def read(self, key: str) -> KeyRead:
        """Return the current entry and the revision at which it was read."""
        return KeyRead(await self.get(key), self._revision)

    async def scan(self, prefix: str) -> ScanResult:
        """Return every entry whose key begins with the prefix."""
        await self._begin_call("scan")
        found = sorted(key for key in self._entries_by_key if key.startswith(prefix))
        scan = ScanResult(tuple(self._entries_by_key[key] for key in found), self._revision)
        self._fault_injector.after_effect()
        return scan

    async def watch(
        self, prefix: str, after: int, wait: timedelta, limit_bytes: int | None = None
    ) -> ChangeBatch:
        """Wait until an entry under the prefix changes after a revision, and return the changes."""
        await self._begin_call("watch")
        found: list[_Change] = []
        with trio.move_on_after(wait.total_seconds()):
            while not (found := self._changes(prefix, after)):
                await self._changed.wait()
        # A change may have come in the moment in which the wait ended.
        revision, found = self._revision, self._changes(prefix, after)
        await self._fault_injector.before_effect()
        if after < self._oldest_revision:
            raise HistoryLost(f"the history of changes begins at revision {self._oldest_revision}")
        self._fault_injector.after_effect()
        changes = tuple(change.entry or Removal(change.key, change.revision) for change in found)
        batch = ChangeBatch(changes, revision)
        if limit_bytes is not None and sum(len(each.value) for each in batch.written) > limit_bytes:
            raise HistoryLost(f"the changes have over {limit_bytes} bytes")
        return batch

    async def commit(
        self,
        conditions: Mapping[str, int],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Apply all writes and removals, or none, and return the revision."""
        await self._begin_call("commit")
        if len(conditions) + len(writes) + len(removals) > ENTRIES_LIMIT:
            raise StoreTimeout("too many entries in a transaction")
        if self.faults.lose_replies and self.lost_commit_delay:
            await self._commit_without_reply(conditions, writes, removals)
        revision = self.apply(conditions, writes, removals)
        self._fault_injector.after_effect()
        return revision

    async def grant_lease(self, ttl: timedelta) -> int:
        """Grant a lease and return its id."""
        await self._begin_call("grant_lease")
        lease = self._leases.grant(ttl)
        self._fault_injector.after_effect()
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease for its time to live from now on."""
        await self._begin_call("renew_lease")
        self._leases.renew(lease)
        self._fault_injector.after_effect()

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        await self._begin_call("end_lease")
        self._remove_all(self._leases.revoke(lease))
        self._fault_injector.after_effect()

    def apply(
        self,
        conditions: Mapping[str, int],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Apply a transaction without faults, as on behalf of an operator or a worker."""
        self._expire_leases()
        for key, revision in conditions.items():
            entry = self._entries_by_key.get(key)
            if (entry.revision if entry else 0) != revision:
                current_by_key = {name: self._entries_by_key.get(name) for name in conditions}
                raise TransactionConflict(
                    {name: found for name, found in current_by_key.items() if found}
                )
        for write in writes:
            if write.lease is not None:
                self._leases.check(write.lease)
        self._revision += 1
        for write in writes:
            self._write(write)
        for key in removals:
            self._remove(key)
        self._notify_watchers()
        return self._revision

    def put(self, key: str, value: bytes) -> int:
        """Write a key without faults, as on behalf of an operator or a worker."""
        return self.apply({}, [Write(key, value)])

    def compact_history(self) -> None:
        """Drop the history of changes, as the platform's store may at any time."""
        self._history.clear()
        self._revision += 1
        self._oldest_revision = self._revision
        self._notify_watchers()

    def peek(self, key: str) -> bytes | None:
        """Return the stored value of a key without faults, or ``None`` when it is absent."""
        entry = self._entries_by_key.get(key)
        return entry.value if entry else None

    async def _commit_without_reply(
        self, conditions: Mapping[str, int], writes: Sequence[Write], removals: Sequence[str]
    ) -> None:
        """Time out, and apply the transaction later if its conditions still hold then."""
        self.faults.lose_replies -= 1
        trio.lowlevel.spawn_system_task(self._apply_after_delay, conditions, writes, removals)
        raise StoreTimeout("the reply was lost")

    async def _apply_after_delay(
        self, conditions: Mapping[str, int], writes: Sequence[Write], removals: Sequence[str]
    ) -> None:
        await trio.sleep(self.lost_commit_delay.total_seconds())
        try:
            self.apply(conditions, writes, removals)
        except (TransactionConflict, LeaseLost):
            self.counts["late_refused"] += 1

    async def _begin_call(self, kind: str) -> None:
        self.counts[kind] += 1
        await trio.lowlevel.checkpoint()
        await self._fault_injector.before_effect()
        self._expire_leases()

    def _changes(self, prefix: str, after: int) -> list[_Change]:
        self._expire_leases()
        if after < self._oldest_revision:
            return [_Change(self._revision, "", None)]
        # Revisions rise, and the history of a long run is far longer than what is new to a watch.
        first = bisect_right(self._history, after, key=attrgetter("revision"))
        return [change for change in self._history[first:] if change.key.startswith(prefix)]

    def _expire_leases(self) -> None:
        for keys in self._leases.expire():
            self._remove_all(keys)

    def _remove_all(self, keys: list[str]) -> None:
        """Remove the keys of a lease at one revision."""
        if keys:
            self._revision += 1
        for key in keys:
            self._remove(key)
        self._notify_watchers()

    def _write(self, write: Write) -> None:
        self._leases.attach(write.key, write.lease)
        entry = Entry(write.key, bytes(write.value), self._revision)
        self._entries_by_key[write.key] = entry
        self._history.append(_Change(self._revision, write.key, entry))

    def _remove(self, key: str) -> None:
        if self._entries_by_key.pop(key, None) is not None:
            self._history.append(_Change(self._revision, key, None))

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
