"""Port to a key-value service with transactions, leases and watches."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import attrs

from mimosapoint.errors import MimosapointError
from mimosapoint.ports.store import Entry

__all__ = [
    "ChangeBatch",
    "TransactionConflict",
    "HistoryLost",
    "ScanResult",
    "TransactionStore",
    "Write",
]


class TransactionConflict(MimosapointError):
    """A condition of a transaction does not hold; nothing was written.

    :param entries_by_key: current entries of the keys that the conditions name; absent keys are
        left out.
    """

    code = "conflict"

    def __init__(self, entries_by_key: Mapping[str, Entry]):
        super().__init__(f"stored: {sorted(entries_by_key)}")
        self.entries_by_key = entries_by_key


class HistoryLost(MimosapointError):
    """The service no longer has the changes since that revision."""

    code = "history-lost"


@attrs.frozen
class Write:
    """A key to write.

    :param key: name of the value.
    :param value: the bytes.
    :param lease: lease that the key lives under; ``None`` for none.
    """

    key: str
    value: bytes
    lease: int | None = None


@attrs.frozen
class ScanResult:
    """Entries under a prefix.

    :param entries: the entries, ordered by key.
    :param revision: revision from which a watch misses nothing.
    """

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class ChangeBatch:
    """What changed under a prefix.

    :param written: entries that were written, oldest first.
    :param removed: keys that were removed.
    :param revision: revision to go on from.
    """

    written: tuple[Entry, ...]
    removed: tuple[str, ...]
    revision: int


class TransactionStore(Protocol):
    """Linearizable key-value service; it has outages.

    Every call may raise :class:`~mimosapoint.errors.StoreUnavailable` (no effect) or
    :class:`~mimosapoint.errors.StoreTimeout` (a write may have had its effect, or may have it
    seconds later if its conditions still hold).
    """

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        ...

    async def scan(self, prefix: str) -> ScanResult:
        """Return every entry whose key begins with the prefix."""
        ...

    async def watch(self, prefix: str, after: int, wait: timedelta) -> ChangeBatch:
        """Wait until something under the prefix changes after a revision, or the wait is over.

        :raises HistoryLost: those changes are no longer kept; scan again.
        """
        ...

    async def commit(
        self,
        conditions: Mapping[str, int],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Apply all writes and removals, or none, and return the revision.

        :param conditions: revision that each key must have; 0 for an absent key.
        :raises Conflict: a condition does not hold.
        :raises LeaseLost: a lease is unknown or has lapsed.
        """
        ...

    async def grant_lease(self, ttl: timedelta) -> int:
        """Return the id of a new lease."""
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease for its time to live.

        :raises LeaseLost: it has lapsed.
        """
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; its keys go."""
        ...
