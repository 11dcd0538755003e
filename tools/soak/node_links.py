"""Proxies between the nodes, whose addresses take the place of their own in the store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs
from mimosapoint.cell.keys import MEMBER_PREFIX, OWNER_KEY
from mimosapoint.memory import MemoryTransactionStore
from mimosapoint.ports import Clock, Write

__all__ = ["AddressRewritingStore"]


class AddressRewritingStore(MemoryTransactionStore):
    """Store in which nodes find the proxies of other nodes.

    ``proxies_by_address`` has the address of the proxy by the address that a node publishes, both
    as bytes.

    :param clock: clock of the leases.
    """

    def __init__(self, clock: Clock):
        super().__init__(clock)
        self.proxies_by_address: dict[bytes, bytes] = {}

    def apply(
        self,
        conditions: Mapping[str, int],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Apply a transaction with the addresses of proxies in the entries that name nodes."""
        return super().apply(conditions, [self._rewrite(write) for write in writes], removals)

    def _rewrite(self, write: Write) -> Write:
        if write.key != OWNER_KEY and not write.key.startswith(MEMBER_PREFIX):
            return write
        value = write.value
        for address, proxy in self.proxies_by_address.items():
            value = value.replace(address, proxy)
        return attrs.evolve(write, value=value)
