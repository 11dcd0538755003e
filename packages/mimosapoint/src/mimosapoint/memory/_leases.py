"""Leases of the key-value services in memory."""

from collections.abc import Iterator
from datetime import datetime, timedelta

import attrs

from mimosapoint.errors import LeaseLost
from mimosapoint.ports import Clock

__all__ = ["LeaseTable"]


@attrs.define
class _Lease:
    """A lease and the keys that live under it."""

    ttl: timedelta
    ends_at: datetime
    keys: set[str] = attrs.field(factory=set)


class LeaseTable:
    """Leases by id, and the keys that go with each.

    :param clock: the clock that leases lapse on.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._granted = 0
        self._leases_by_id: dict[int, _Lease] = {}

    def grant(self, ttl: timedelta) -> int:
        """Return the id of a new lease."""
        self._granted += 1
        self._leases_by_id[self._granted] = _Lease(ttl, self._clock.now() + ttl)
        return self._granted

    def renew(self, lease: int) -> None:
        """Let a lease go on for its time to live.

        :raises LeaseLost: it has lapsed.
        """
        held = self._live_lease(lease)
        held.ends_at = self._clock.now() + held.ttl

    def check(self, lease: int) -> None:
        """Check that a lease is there.

        :raises LeaseLost: it has lapsed.
        """
        self._live_lease(lease)

    def attach(self, key: str, lease: int | None) -> None:
        """Let a key live under a lease, or under none.

        :raises LeaseLost: the lease has lapsed.
        """
        keeper = None if lease is None else self._live_lease(lease)
        for held in self._leases_by_id.values():
            held.keys.discard(key)
        if keeper is not None:
            keeper.keys.add(key)

    def revoke(self, lease: int) -> list[str]:
        """End a lease and return its keys; there are none when it is unknown."""
        held = self._leases_by_id.pop(lease, None)
        return sorted(held.keys) if held else []

    def expire(self) -> Iterator[list[str]]:
        """End each lease whose time is over and yield its keys."""
        now = self._clock.now()
        for lease, held in list(self._leases_by_id.items()):
            if held.ends_at <= now:
                yield self.revoke(lease)

    def _live_lease(self, lease: int) -> _Lease:
        held = self._leases_by_id.get(lease)
        if held is None:
            raise LeaseLost(f"{lease} is unknown or has lapsed")
        return held
