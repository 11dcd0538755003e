"""Withdrawals of availability zones."""

from __future__ import annotations

import attrs
import trio
from mimosapoint.memory import MemoryTransactionStore

__all__ = ["Zones"]

WITHDRAWAL_PREFIX = "op/evacuate/"


@attrs.define
class Zones:
    """Withdraws zones, returns them, and records when.

    :param store: the store.
    :param withdrawals_by_zone: begin and end of each withdrawal on the trio clock; a present one
        has no end.
    """

    store: MemoryTransactionStore
    withdrawals_by_zone: dict[str, list[tuple[float, float | None]]] = attrs.field(factory=dict)

    def is_withdrawn(self, zone: str) -> bool:
        """Return whether the zone is withdrawn now."""
        withdrawals = self.withdrawals_by_zone.get(zone)
        return bool(withdrawals) and withdrawals[-1][1] is None

    def withdraw(self, zone: str) -> None:
        """Withdraw a zone that is not withdrawn."""
        self.store.put(WITHDRAWAL_PREFIX + zone, b"{}")
        self.withdrawals_by_zone.setdefault(zone, []).append((trio.current_time(), None))

    def give_back(self, zone: str) -> None:
        """Return a withdrawn zone."""
        withdrawals = self.withdrawals_by_zone[zone]
        withdrawals[-1] = (withdrawals[-1][0], trio.current_time())
        self.store.apply({}, removals=[WITHDRAWAL_PREFIX + zone])
