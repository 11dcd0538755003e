"""A node's part in carrying orders: for its own ownership, or for another owner."""

import trio

from mimosapoint.cell.claim import Claimant, OwnerRecord
from mimosapoint.ports import NodeLinks, RunWorkers, Telemetry
from mimosapoint.relay import Relay, carry

__all__ = ["Carriers"]

JOIN_PAUSE_SECONDS = 1.0
"""Pause before an owner is joined again; it doubles while the owner has enough carriers."""

JOIN_PAUSE_MAX_SECONDS = 8.0
"""Longest pause; a lost carrier is replaced within it, and orders go straight meanwhile."""


class Carriers:
    """Joins owners that want carriers, and lets others join this node while it is the owner.

    :param links: streams to other nodes.
    :param workers: how this node reaches the workers.
    :param claimant: tells who owns the cell.
    :param telemetry: told of changes.
    """

    def __init__(
        self, links: NodeLinks, workers: RunWorkers, claimant: Claimant, telemetry: Telemetry
    ):
        self._links = links
        self._workers = workers
        self._claimant = claimant
        self._telemetry = telemetry
        self._relay: Relay | None = None
        self._dismissed = trio.Event()

    def relay(self) -> Relay:
        """Return the way to the workers for an ownership that begins."""
        self._relay = Relay(self._workers, self._telemetry)
        self._dismissed = trio.Event()
        return self._relay

    def dismiss(self) -> None:
        """Let those go that carry orders; the ownership is over."""
        self._relay = None
        self._dismissed.set()

    async def run(self) -> None:
        """Join and accept until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve)
            nursery.start_soon(self._follow_owner)

    async def _serve(self) -> None:
        try:
            await self._links.serve(self._accept)
        except OSError as error:
            # An owner without carriers orders by itself; the node goes on.
            self._telemetry.event("carriers-not-served", error=repr(error))

    async def _accept(self, stream: trio.abc.Stream) -> None:
        async with stream:
            relay, dismissed = self._relay, self._dismissed
            if relay is None:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, dismissed, nursery.cancel_scope)
                await relay.accept(stream)
                nursery.cancel_scope.cancel()

    async def _follow_owner(self) -> None:
        pause = JOIN_PAUSE_SECONDS
        while True:
            changed = self._claimant.owner_changed
            owner = self._claimant.owner
            if not owner.carriers_address:
                await changed.wait()
                continue
            began = trio.current_time()
            await self._carry_for(owner)
            was_used = trio.current_time() - began > JOIN_PAUSE_SECONDS
            pause = JOIN_PAUSE_SECONDS if was_used else min(2 * pause, JOIN_PAUSE_MAX_SECONDS)
            with trio.move_on_after(pause):
                await changed.wait()
                pause = JOIN_PAUSE_SECONDS

    async def _carry_for(self, record: OwnerRecord) -> None:
        owner, address = record.node, record.carriers_address
        try:
            stream = await self._links.connect(address)
        except OSError as error:
            self._telemetry.event("owner-not-joined", owner=owner, error=repr(error))
            return
        async with stream:
            self._telemetry.event("owner-joined", owner=owner, address=address)
            reason = await carry(stream, self._workers, self._telemetry)
            self._telemetry.event("owner-left", owner=owner, reason=reason)


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
