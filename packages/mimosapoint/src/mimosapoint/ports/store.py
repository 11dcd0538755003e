"""Port to the platform's key-value store."""

from datetime import timedelta
from typing import Protocol

import attrs

__all__ = ["ABSENT", "Entry", "Store", "VALUE_LIMIT_BYTES"]

ABSENT = 0
"""Revision of a key that is absent."""

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the store accepts, in bytes."""


@attrs.frozen
class Entry:
    """Key and value at one revision.

    :param key: key of the entry.
    :param value: value, in bytes.
    :param revision: revision of the write, from 1, increasing over the whole store.
    """

    key: str
    value: bytes
    revision: int


class Store(Protocol):
    """Small linearizable key-value store; it has outages.

    Every call may raise :class:`~mimosapoint.errors.StoreUnavailable` (no effect) or
    :class:`~mimosapoint.errors.StoreTimeout` (unknown outcome: a write may have had its effect).
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

        :param expected: expected revision, or :data:`ABSENT`.
        :param lease: lease to attach the key to; the key is removed when the lease expires.
        :returns: the new revision.
        :raises CompareFailed: the stored revision differs from the expected one.
        :raises ValueTooLarge: the value is over :data:`VALUE_LIMIT_BYTES`.
        :raises LeaseLost: the lease is unknown or has expired.
        """
        ...

    async def delete(self, key: str, expected: int) -> None:
        """Remove the key if the stored revision is the expected one.

        :raises CompareFailed: the stored revision differs from the expected one.
        """
        ...

    async def grant_lease(self, ttl: timedelta) -> str:
        """Grant a lease and return its id."""
        ...

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease for its time to live from now on.

        :raises LeaseLost: the lease is unknown or has expired.
        """
        ...

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait until an entry under the prefix has a revision above ``after``.

        :returns: the changed entries, each with its newest value; empty after the timeout.
        """
        ...
