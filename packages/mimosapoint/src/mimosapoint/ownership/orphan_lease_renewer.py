"""Keeps tasks running in a zone whose owner is gone while the store is out of reach."""

from datetime import datetime

import trio

from mimosapoint.errors import MimosapointError
from mimosapoint.model import LeaseRequest
from mimosapoint.placement import ZoneOwnerDependencies

__all__ = ["OrphanLeaseRenewer"]

RENEWALS_PER_LEASE = 4
MAX_CONCURRENT_CALLS = 32


class OrphanLeaseRenewer:
    """Renews the leases of a zone's workers with the last epoch that was heard of.

    This starts, stops and reserves nothing. A worker that a newer owner has taken refuses.

    :param node: id of this node.
    :param parts: what owners stand on.
    """

    def __init__(self, node: str, parts: ZoneOwnerDependencies):
        self._node = node
        self._parts = parts
        self._epochs_by_zone: dict[str, int] = {}
        self._renewed_at_by_zone: dict[str, datetime] = {}

    def update_epochs(self, epochs_by_zone: dict[str, int]) -> None:
        """Remember the epochs of the owners that live."""
        for zone, epoch in epochs_by_zone.items():
            self._epochs_by_zone[zone] = max(epoch, self._epochs_by_zone.get(zone, 0))

    async def renew(self, zone: str) -> None:
        """Renew the leases in a zone when that is due and an epoch is known."""
        epoch = self._epochs_by_zone.get(zone)
        if epoch is None or not self._mark_renewed_if_due(zone):
            return
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        async with trio.open_nursery() as nursery:
            for vm in self._parts.endpoints().values():
                if vm.zone == zone:
                    nursery.start_soon(self._renew_worker, vm.address, zone, epoch, limiter)
        self._parts.telemetry.event("leases-renewed", zone=zone, epoch=epoch)

    def _mark_renewed_if_due(self, zone: str) -> bool:
        """Whether the zone was not renewed lately; count it as renewed now."""
        now = self._parts.clock.now()
        last = self._renewed_at_by_zone.get(zone)
        if last is not None and now - last < self._parts.settings.lease_ttl / RENEWALS_PER_LEASE:
            return False
        self._renewed_at_by_zone[zone] = now
        return True

    async def _renew_worker(
        self, address: str, zone: str, epoch: int, limiter: trio.CapacityLimiter
    ) -> None:
        ttl = self._parts.settings.lease_ttl.total_seconds()
        async with limiter:
            try:
                await self._parts.workers.lease(address, LeaseRequest(self._node, zone, epoch, ttl))
            except MimosapointError:
                return
