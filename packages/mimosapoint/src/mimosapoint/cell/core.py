"""A node's part in a cell: every node follows the operators, one at a time is the owner."""

import traceback
from random import Random

import attrs
import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import OwnerElection, Ownership
from mimosapoint.cell.gateway import CellGateway
from mimosapoint.cell.node_directory import NodeDirectory
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.owner import Owner
from mimosapoint.cell.relay_manager import RelayManager
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import MimosapointError
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

MAX_TRACEBACK_CHARACTERS = 3000
"""Characters of a fault's trace that are logged."""


class CellNode:
    """One node of a cell.

    :param node: id of the node.
    :param store: the store.
    :param workers: the workers.
    :param operator_decoder: how operators write.
    :param worker_decoder: how workers register.
    :param clock: clock of the node.
    :param telemetry: logs and metrics.
    :param settings: times.
    :param random: source of delays.
    :param links: streams to other nodes; ``None`` when there are none.
    :param peers_address: where other nodes hand requests over to this one; empty for none.
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
        links: NodeTransport | None = None,
        peers_address: str = "",
    ):
        self.view = OperatorView(store, operator_decoder, clock, settings, telemetry)
        self.gateway = CellGateway(store, self.view, clock, settings, telemetry)
        self.name = node
        self.owner: Owner | None = None
        self._ports = CellOwnerDependencies(
            store, workers, worker_decoder, self.view, clock, telemetry
        )
        self._settings = settings
        self._telemetry = telemetry
        wants_carriers = links is not None and not settings.is_preferred_owner
        self._election = OwnerElection(
            node,
            store,
            clock,
            settings,
            telemetry,
            random,
            links.address if wants_carriers else "",
        )
        self._relay_manager = (
            RelayManager(links, workers, self._election, telemetry) if links else None
        )
        self._wants_relays = wants_carriers
        self._directory = NodeDirectory(node, peers_address, store, settings, telemetry)
        self._has_peers = bool(peers_address)
        self._leaving = trio.Event()

    @property
    def owner_id(self) -> str:
        """Id of the cell's owner, as far as this node knows; empty for none."""
        return self.name if self.owner is not None else self._election.owner.node

    def node_addresses(self) -> dict[str, str]:
        """Return where other nodes take over requests, by their ids."""
        return self._directory.addresses_by_node

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here.

        A node that the store turns away says so before its view is too old to serve: the balancer
        takes two seconds to notice.
        """
        return self.view.is_fresh() and self.view.is_store_available and not self._leaving.is_set()

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.view.run)
            if self._has_peers:
                nursery.start_soon(self._directory.run)
            if self._relay_manager is not None:
                nursery.start_soon(self._relay_manager.run)
            while not self._leaving.is_set():
                claim = await self._acquire_ownership()
                if claim is not None:
                    await self._run_as_owner(claim)
            if self._has_peers:
                await self._directory.leave()
            await trio.sleep_forever()

    def leave(self) -> None:
        """Give up the ownership, for a planned stop."""
        self._leaving.set()

    async def _acquire_ownership(self) -> Ownership | None:
        """Return a won ownership, or ``None`` when the node leaves first."""
        won: list[Ownership] = []

        async def wait_won() -> None:
            won.append(await self._election.acquire())
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_won)
            await self._leaving.wait()
            nursery.cancel_scope.cancel()
        return won[0] if won else None

    async def _run_as_owner(self, claim: Ownership) -> None:
        """Own the cell until the ownership is lost or given up."""
        ports = self._ports
        if self._wants_relays:
            ports = attrs.evolve(ports, workers=self._relay_manager.begin_ownership())
        self.owner = Owner(claim, ports, self._settings)
        reason = "leaving"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._election.renew_until_lost, claim)
                nursery.start_soon(self.owner.run)
                await self._leaving.wait()
                nursery.cancel_scope.cancel()
        except* MimosapointError as group:
            reason = ",".join(_codes(group))
        except* Exception as group:
            # A fault of one ownership must not end the process, which serves callers, too.
            reason = "fault"
            self._telemetry.event("owner-fault", epoch=claim.epoch, trace=_format_traceback(group))
        self.owner = None
        if self._wants_relays:
            self._relay_manager.end_ownership()
        self._telemetry.event("cell-given-up", epoch=claim.epoch, reason=reason)
        with trio.move_on_after(self._settings.ownership_renewal.total_seconds()):
            await self._election.release(claim)


def _format_traceback(group: BaseExceptionGroup) -> str:
    return "".join(traceback.format_exception(group))[-MAX_TRACEBACK_CHARACTERS:]


def _codes(group: BaseExceptionGroup) -> list[str]:
    codes = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            codes += _codes(error)
        else:
            codes.append(getattr(error, "code", type(error).__name__))
    return sorted(codes)
