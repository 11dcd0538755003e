"""A node's part in a cell: every node follows the operators, one at a time is the owner."""

import traceback
from random import Random

import attrs
import trio

from mimosapoint.cell.carriers import Carriers
from mimosapoint.cell.claim import Claim, Claimant
from mimosapoint.cell.entry import CellEntry
from mimosapoint.cell.members import Members
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.owner import Owner
from mimosapoint.cell.ports import Ports
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import MimosapointError
from mimosapoint.ports import (
    Clock,
    NodeLinks,
    OperatorFormat,
    RunWorkers,
    Telemetry,
    TransactionStore,
    WorkerFormat,
)

__all__ = ["CellNode"]

TRACE_CHARACTERS = 3000
"""Characters of a fault's trace that are logged."""


class CellNode:
    """One node of a cell.

    :param node: id of the node.
    :param store: the store.
    :param workers: the workers.
    :param operator_format: how operators write.
    :param worker_format: how workers register.
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
        operator_format: OperatorFormat,
        worker_format: WorkerFormat,
        clock: Clock,
        telemetry: Telemetry,
        settings: CellSettings,
        random: Random,
        links: NodeLinks | None = None,
        peers_address: str = "",
    ):
        self.view = OperatorView(store, operator_format, clock, settings, telemetry)
        self.entry = CellEntry(store, self.view, clock, settings, telemetry)
        self.name = node
        self.owner: Owner | None = None
        self._ports = Ports(store, workers, worker_format, self.view, clock, telemetry)
        self._settings = settings
        self._telemetry = telemetry
        wants_carriers = links is not None and not settings.is_strong
        self._claimant = Claimant(
            node,
            store,
            clock,
            settings,
            telemetry,
            random,
            links.address if wants_carriers else "",
        )
        self._carriers = Carriers(links, workers, self._claimant, telemetry) if links else None
        self._wants_carriers = wants_carriers
        self._members = Members(node, peers_address, store, settings, telemetry)
        self._has_peers = bool(peers_address)
        self._leaving = trio.Event()

    @property
    def owner_name(self) -> str:
        """Id of the cell's owner, as far as this node knows; empty for none."""
        return self.name if self.owner is not None else self._claimant.owner.node

    def other_nodes(self) -> dict[str, str]:
        """Return where other nodes take over requests, by their ids."""
        return self._members.addresses_by_node

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here.

        A node that the store turns away says so before its view is too old to serve: the balancer
        takes two seconds to notice.
        """
        return self.view.is_fresh() and self.view.reaches_store and not self._leaving.is_set()

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.view.run)
            if self._has_peers:
                nursery.start_soon(self._members.run)
            if self._carriers is not None:
                nursery.start_soon(self._carriers.run)
            while not self._leaving.is_set():
                claim = await self._claim()
                if claim is not None:
                    await self._own(claim)
            if self._has_peers:
                await self._members.leave()
            await trio.sleep_forever()

    def leave(self) -> None:
        """Give up the ownership, for a planned stop."""
        self._leaving.set()

    async def _claim(self) -> Claim | None:
        """Return a won ownership, or ``None`` when the node leaves first."""
        won: list[Claim] = []

        async def wait_won() -> None:
            won.append(await self._claimant.claim())
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_won)
            await self._leaving.wait()
            nursery.cancel_scope.cancel()
        return won[0] if won else None

    async def _own(self, claim: Claim) -> None:
        """Own the cell until the ownership is lost or given up."""
        ports = self._ports
        if self._wants_carriers:
            ports = attrs.evolve(ports, workers=self._carriers.relay())
        self.owner = Owner(claim, ports, self._settings)
        reason = "leaving"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._claimant.keep, claim)
                nursery.start_soon(self.owner.run)
                await self._leaving.wait()
                nursery.cancel_scope.cancel()
        except* MimosapointError as group:
            reason = ",".join(_codes(group))
        except* Exception as group:
            # A fault of one ownership must not end the process, which serves callers, too.
            reason = "fault"
            self._telemetry.event("owner-fault", epoch=claim.epoch, trace=_trace(group))
        self.owner = None
        if self._wants_carriers:
            self._carriers.dismiss()
        self._telemetry.event("cell-given-up", epoch=claim.epoch, reason=reason)
        with trio.move_on_after(self._settings.ownership_renewal.total_seconds()):
            await self._claimant.release(claim)


def _trace(group: BaseExceptionGroup) -> str:
    return "".join(traceback.format_exception(group))[-TRACE_CHARACTERS:]


def _codes(group: BaseExceptionGroup) -> list[str]:
    codes = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            codes += _codes(error)
        else:
            codes.append(getattr(error, "code", type(error).__name__))
    return sorted(codes)
