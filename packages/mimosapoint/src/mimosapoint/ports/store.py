"""Port to the platform's key-value service."""

from datetime import timedelta
from typing import Protocol

import attrs

__all__ = ["ABSENT", "Entry", "Store", "VALUE_LIMIT_BYTES"]

ABSENT = 0
"""Revision of a key that is absent."""

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the service holds, in bytes."""


@attrs.frozen
class Entry:
    """A key with its value.

    :param key: name of the value.
    :param value: the bytes.
    :param revision: number of the write, rising over the whole store, from 1.
    """

    key: str
    value: bytes
    revision: int


class Store(Protocol):
    """Small linearizable key-value service; it has outages.

    Every call may raise :class:`~mimosapoint.errors.StoreUnavailable` (no effect) or
    :class:`~mimosapoint.errors.StoreTimeout` (a write may have had its effect).
    """

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        ...

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries whose key begins with the prefix, ordered by key."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Write the value if the stored revision is the expected one.

        :param expected: revision, or :data:`ABSENT`.
        :param lease: lease that the key lives under; the key goes when the lease lapses.
        :returns: the new revision.
        :raises CompareFailed: the stored revision is another one.
        :raises ValueTooLarge: the value is over :data:`VALUE_LIMIT_BYTES`.
        :raises LeaseLost: the lease is unknown or has lapsed.
        """
        ...

    async def delete(self, key: str, expected: int) -> None:
        """Remove the key if the stored revision is the expected one.

        :raises CompareFailed: the stored revision is another one.
        """
        ...

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        ...

    async def renew_lease(self, lease: str) -> None:
        """Renew the lease for its time to live.

        :raises LeaseLost: the lease is unknown or has lapsed.
        """
        ...

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait until an entry under the prefix has a revision above ``after``.

        :returns: the entries that changed, newest value of each; empty after the timeout.
        """
        ...
