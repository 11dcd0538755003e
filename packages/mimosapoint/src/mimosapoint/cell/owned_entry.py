"""Entries of the store that only the owner of the cell writes."""

from mimosapoint.cell.election import Ownership
from mimosapoint.cell.keys import EPOCH_KEY
from mimosapoint.errors import StoreTimeout
from mimosapoint.ports import Entry, TransactionConflict, TransactionStore, Write

__all__ = ["OwnedEntry"]

MAX_ATTEMPTS = 3
"""Most attempts of one write: the first may find the entry of an earlier owner, and the second a
write without a reply that took effect in between."""


class OwnedEntry:
    """An entry that the owner writes on condition of the revision that it knows.

    A write without a reply may take effect seconds later. It then finds another revision if a newer
    write has succeeded, and a newer write finds another revision if it was earlier.

    :param store: the store.
    :param key: key of the entry.
    :param ownership: ownership under which it is written.
    """

    def __init__(self, store: TransactionStore, key: str, ownership: Ownership):
        self._store = store
        self._key = key
        self._ownership = ownership
        self._revision = 0

    async def read(self) -> Entry | None:
        """Return the entry; ``None`` if there is none."""
        entry = await self._store.get(self._key)
        self._revision = entry.revision if entry else 0
        return entry

    async def write(self, value: bytes) -> int:
        """Replace the entry, whatever it holds, and return the revision.

        :raises StaleEpoch: another node has claimed the cell.
        :raises StoreTimeout: the outcome is unknown; the write has no effect after the next one.
        """
        for _ in range(MAX_ATTEMPTS):
            conditions = {EPOCH_KEY: self._ownership.epoch_rev, self._key: self._revision}
            try:
                self._revision = await self._store.commit(conditions, [Write(self._key, value)])
                return self._revision
            except TransactionConflict as conflict:
                self._ownership.raise_if_fenced(conflict)
                entry = conflict.entries_by_key.get(self._key)
                self._revision = entry.revision if entry else 0
        raise StoreTimeout(f"{self._key}: changed by others at each attempt")
