"""Nodes of a cell: each keeps its entry under a lease and reads the entries of the others."""

import trio

from mimosapoint.cell.keys import MEMBER_PREFIX, member_key
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.errors import LeaseLost, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Telemetry, TransactionStore, Write

__all__ = ["NodeDirectory"]


class NodeDirectory:
    """Addresses to which this node can forward requests that it cannot serve itself.

    While the store is unavailable the last addresses remain: forwarding is needed most then.

    :param node: id of this node.
    :param address: address to which other nodes forward requests.
    :param store: the store.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        node: str,
        address: str,
        store: TransactionStore,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self.addresses_by_node: dict[str, str] = {}
        self._node = node
        self._address = address
        self._store = store
        self._settings = settings
        self._telemetry = telemetry
        self._lease: int | None = None
        self._left = False

    async def run(self) -> None:
        """Renew this node's entry and poll the other entries until this node leaves."""
        availability = StoreAvailability("members", self._telemetry)
        while not self._left:
            try:
                await self._renew()
                await self._refresh()
                availability.record_success()
            except LeaseLost:
                self._lease = None
                continue
            except (StoreUnavailable, StoreTimeout) as error:
                availability.record_failure(error)
            await trio.sleep(self._settings.member_renewal.total_seconds())

    async def leave(self) -> None:
        """Remove this node's entry, so that no node forwards requests to one that is stopping."""
        self._left = True
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except (StoreUnavailable, StoreTimeout, LeaseLost) as error:
            self._telemetry.event("release-failed", part="members", error=error.code)

    async def _renew(self) -> None:
        if self._lease is not None:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.grant_lease(self._settings.member_ttl)
        await self._store.commit({}, [Write(member_key(self._node), self._address.encode(), lease)])
        self._lease = lease

    async def _refresh(self) -> None:
        scan = await self._store.scan(MEMBER_PREFIX)
        found = {
            entry.key.removeprefix(MEMBER_PREFIX): entry.value.decode("ascii", "replace")
            for entry in scan.entries
        }
        found.pop(self._node, None)
        if found.keys() != self.addresses_by_node.keys():
            self._telemetry.event("members-changed", nodes=sorted(found), revision=scan.revision)
        self.addresses_by_node = found
