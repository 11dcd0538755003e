"""Leases of the in-memory stores."""

from collections.abc import Iterator
from datetime import datetime, timedelta

import attrs

from mimosapoint.errors import LeaseLost
from mimosapoint.ports import Clock

__all__ = ["LeaseTable"]


@attrs.define
class _Lease:
    """Lease and the keys attached to it."""

    ttl: timedelta
    expires_at: datetime
    keys: set[str] = attrs.field(factory=set)


class LeaseTable:
    """Leases by id, each with the keys attached to it.

    :param clock: clock that decides when leases expire.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_id = 0
        self._leases_by_id: dict[int, _Lease] = {}

    def grant(self, ttl: timedelta) -> int:
        """Grant a lease and return its id."""
        self._last_id += 1
        self._leases_by_id[self._last_id] = _Lease(ttl, self._clock.now() + ttl)
        return self._last_id

    def renew(self, lease: int) -> None:
        """Renew a lease for its time to live from now on.

        :raises LeaseLost: the lease is unknown or has expired.
        """
        found_lease = self._live_lease(lease)
        found_lease.expires_at = self._clock.now() + found_lease.ttl

    def check(self, lease: int) -> None:
        """Check that a lease is in force.

        :raises LeaseLost: the lease is unknown or has expired.
        """
        self._live_lease(lease)

    def attach(self, key: str, lease: int | None) -> None:
        """Attach a key to a lease instead of its previous one; ``None`` only detaches the key.

        :raises LeaseLost: the lease is unknown or has expired.
        """
        new_lease = None if lease is None else self._live_lease(lease)
        for other in self._leases_by_id.values():
            other.keys.discard(key)
        if new_lease is not None:
            new_lease.keys.add(key)

    def revoke(self, lease: int) -> list[str]:
        """Revoke a lease and return its keys in order; an unknown lease has none."""
        found_lease = self._leases_by_id.pop(lease, None)
        return sorted(found_lease.keys) if found_lease else []

    def expire(self) -> Iterator[list[str]]:
        """Revoke each lease that has expired and yield its keys."""
        now = self._clock.now()
        for lease, found in list(self._leases_by_id.items()):
            if found.expires_at <= now:
                yield self.revoke(lease)

    def _live_lease(self, lease: int) -> _Lease:
        found_lease = self._leases_by_id.get(lease)
        if found_lease is None:
            raise LeaseLost(f"lease {lease} is unknown or has expired")
        return found_lease
