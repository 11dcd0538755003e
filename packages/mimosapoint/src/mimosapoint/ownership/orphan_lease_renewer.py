"""Lease renewal in zones without an owner, while the store is unavailable or a claim takes long."""

from datetime import datetime

import trio

from mimosapoint.errors import MimosapointError
from mimosapoint.model import LeaseRequest
from mimosapoint.placement import ZoneOwnerDependencies

__all__ = ["OrphanLeaseRenewer"]

RENEWALS_PER_LEASE = 4
MAX_CONCURRENT_CALLS = 32


class OrphanLeaseRenewer:
    """Renews the leases of a zone's workers with the highest known epoch, so that tasks go on.

    It starts, stops and reserves no tasks. A worker that a newer owner has taken refuses.

    :param node: id of this node.
    :param dependencies: dependencies of the zone owners.
    """

    def __init__(self, node: str, dependencies: ZoneOwnerDependencies):
        self._node = node
        self._dependencies = dependencies
        self._epochs_by_zone: dict[str, int] = {}
        self._renewed_at_by_zone: dict[str, datetime] = {}

    def update_epochs(self, epochs_by_zone: dict[str, int]) -> None:
        """Update the highest known epoch of each zone."""
        for zone, epoch in epochs_by_zone.items():
            self._epochs_by_zone[zone] = max(epoch, self._epochs_by_zone.get(zone, 0))

    async def renew(self, zone: str) -> None:
        """Renew the leases in a zone if that is due and an epoch of the zone is known."""
        epoch = self._epochs_by_zone.get(zone)
        if epoch is None or not self._mark_renewed_if_due(zone):
            return
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        async with trio.open_nursery() as nursery:
            for vm in self._dependencies.endpoints().values():
                if vm.zone == zone:
                    nursery.start_soon(self._renew_worker, vm.address, zone, epoch, limiter)
        self._dependencies.telemetry.event("leases-renewed", zone=zone, epoch=epoch)

    def _mark_renewed_if_due(self, zone: str) -> bool:
        """Return whether a renewal is due; if so, set the time of the last renewal to now."""
        now = self._dependencies.clock.now()
        last = self._renewed_at_by_zone.get(zone)
        if (
            last is not None
            and now - last < self._dependencies.settings.lease_ttl / RENEWALS_PER_LEASE
        ):
            return False
        self._renewed_at_by_zone[zone] = now
        return True

    async def _renew_worker(
        self, address: str, zone: str, epoch: int, limiter: trio.CapacityLimiter
    ) -> None:
        ttl = self._dependencies.settings.lease_ttl.total_seconds()
        async with limiter:
            try:
                await self._dependencies.workers.lease(
                    address, LeaseRequest(self._node, zone, epoch, ttl)
                )
            except MimosapointError:
                return
