"""Node of a cell: every node serves callers, and one node at a time is the owner."""

from random import Random

import attrs
import trio

from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import OwnerElection, Ownership
from mimosapoint.cell.gateway import CellGateway
from mimosapoint.cell.node_directory import NodeDirectory
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.owner import Owner
from mimosapoint.cell.relay_manager import RelayManager
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.unexpected import format_traceback, keep_running
from mimosapoint.errors import MimosapointError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Clock,
    NodeTransport,
    OperatorEntryDecoder,
    RunWorkers,
    Telemetry,
    TransactionStore,
    WorkerEntryDecoder,
)

__all__ = ["CellNode"]


class CellNode:
    """One node of a cell.

    :param node: id of the node.
    :param store: the store.
    :param workers: port to the workers.
    :param operator_decoder: decoder of the operators' entries.
    :param worker_decoder: decoder of the workers' entries.
    :param clock: clock of the node.
    :param telemetry: logs and metrics.
    :param settings: settings of the cell.
    :param random: source of the random delays before claims.
    :param transport: streams to other nodes; ``None`` for a node without relays.
    :param peers_address: address to which other nodes forward requests; empty for none.
    """

    def __init__(
        self,
        node: str,
        store: TransactionStore,
        workers: RunWorkers,
        operator_decoder: OperatorEntryDecoder,
        worker_decoder: WorkerEntryDecoder,
        clock: Clock,
        telemetry: Telemetry,
        settings: CellSettings,
        random: Random,
        transport: NodeTransport | None = None,
        peers_address: str = "",
    ):
        self.view = OperatorView(store, operator_decoder, clock, settings, telemetry)
        self.gateway = CellGateway(store, self.view, clock, settings, telemetry, self._find_job)
        self.name = node
        self.owner: Owner | None = None
        self._dependencies = CellOwnerDependencies(
            store, workers, worker_decoder, self.view, clock, telemetry
        )
        self._settings = settings
        self._telemetry = telemetry
        self._election = OwnerElection(
            node,
            store,
            clock,
            settings,
            telemetry,
            random,
            transport.address if transport else "",
            self.view.is_fresh,
        )
        self._relay_manager = (
            RelayManager(transport, workers, self._election, telemetry) if transport else None
        )
        self._directory = NodeDirectory(node, peers_address, store, settings, telemetry)
        self._has_peers = bool(peers_address)
        self._leaving = trio.Event()

    @property
    def owner_id(self) -> str:
        """Id of the cell's owner, as last known to this node; empty for none."""
        return self.name if self.owner is not None else self._election.owner.node

    def _find_job(self, job_id: str) -> Job | None:
        """Return a job that this node has as the owner."""
        return self.owner.job_table.jobs_by_id.get(job_id) if self.owner is not None else None

    def node_addresses(self) -> dict[str, str]:
        """Return the addresses to which requests can be forwarded, by node id."""
        return self._directory.addresses_by_node

    def is_ready(self) -> bool:
        """Return whether callers should be routed to this node.

        A node that loses the store is not ready even while its view is still fresh, as the load
        balancer takes two seconds to notice.
        """
        return self.view.is_fresh() and self.view.is_store_available and not self._leaving.is_set()

    async def run(self) -> None:
        """Run the node until cancelled, as the owner whenever it acquires the cell."""
        async with trio.open_nursery() as nursery:
            # An error of one part must not end the process, which also serves callers.
            parts = {"view": self.view.run}
            if self._has_peers:
                parts["directory"] = self._directory.run
            if self._relay_manager is not None:
                parts["relays"] = self._relay_manager.run
            for part, run in parts.items():
                nursery.start_soon(keep_running, part, run, self._telemetry)
            while not self._leaving.is_set():
                await keep_running("ownership", self._own_once, self._telemetry)
            if self._has_peers:
                await self._directory.leave()
            await trio.sleep_forever()

    def leave(self) -> None:
        """Release the ownership for a planned stop, and do not acquire it again."""
        self._leaving.set()

    async def _own_once(self) -> None:
        ownership = await self._acquire_ownership()
        if ownership is not None:
            await self._run_as_owner(ownership)

    async def _acquire_ownership(self) -> Ownership | None:
        """Return an acquired ownership, or ``None`` if the node leaves first."""
        acquired: list[Ownership] = []

        async def acquire() -> None:
            acquired.append(await self._election.acquire())
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(acquire)
            await self._leaving.wait()
            nursery.cancel_scope.cancel()
        return acquired[0] if acquired else None

    async def _run_as_owner(self, ownership: Ownership) -> None:
        """Run the owner until the ownership is lost or the node leaves."""
        dependencies = self._dependencies
        if self._relay_manager is not None:
            workers = self._relay_manager.begin_ownership(self._settings.direct_workers)
            dependencies = attrs.evolve(dependencies, workers=workers)
        self.owner = Owner(ownership, dependencies, self._settings)
        reason = "leaving"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._election.renew_until_lost, ownership)
                nursery.start_soon(self.owner.run)
                if self._relay_manager is not None:
                    nursery.start_soon(self._request_relays_for_large_fleet, ownership)
                await self._leaving.wait()
                nursery.cancel_scope.cancel()
        except* MimosapointError as group:
            reason = ",".join(_error_codes(group))
        except* Exception as group:
            reason = "fault"
            self._telemetry.event(
                "owner-fault", epoch=ownership.epoch, trace=format_traceback(group)
            )
        self.owner = None
        if self._relay_manager is not None:
            self._relay_manager.end_ownership()
        self._telemetry.event("cell-given-up", epoch=ownership.epoch, reason=reason)
        with trio.move_on_after(self._settings.ownership_renewal.total_seconds()):
            await self._election.release(ownership)

    async def _request_relays_for_large_fleet(self, ownership: Ownership) -> None:
        """Request relay nodes once there are more workers than this node serves itself."""
        limit, owner = self._settings.direct_workers, self.owner
        await owner.loaded.wait()
        while limit:
            if owner.fleet_size() <= limit:
                await trio.sleep(self._settings.registration_poll.total_seconds())
                continue
            try:
                await self._election.request_relays(ownership)
            except (StoreUnavailable, StoreTimeout) as error:
                self._telemetry.event("relays-not-requested", error=error.code)
            else:
                self._telemetry.event("relays-requested", workers=owner.fleet_size())
                return


def _error_codes(group: BaseExceptionGroup) -> list[str]:
    codes = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            codes += _error_codes(error)
        else:
            codes.append(getattr(error, "code", type(error).__name__))
    return sorted(codes)
