"""A node's part in carrying orders: for its own ownership, or for another owner."""

import trio

from mimosapoint.cell.election import CellOwnerRecord, OwnerElection
from mimosapoint.ports import NodeTransport, RunWorkers, Telemetry
from mimosapoint.relay import RelayedWorkers, serve_relay

__all__ = ["RelayManager"]

JOIN_BACKOFF_SECONDS = 1.0
"""Pause before an owner is joined again; it doubles while the owner has enough carriers."""

JOIN_BACKOFF_MAX_SECONDS = 8.0
"""Longest pause; a lost carrier is replaced within it, and orders go straight meanwhile."""


class RelayManager:
    """Joins owners that want carriers, and lets others join this node while it is the owner.

    :param links: streams to other nodes.
    :param workers: how this node reaches the workers.
    :param claimant: tells who owns the cell.
    :param telemetry: told of changes.
    """

    def __init__(
        self,
        links: NodeTransport,
        workers: RunWorkers,
        claimant: OwnerElection,
        telemetry: Telemetry,
    ):
        self._links = links
        self._workers = workers
        self._claimant = claimant
        self._telemetry = telemetry
        self._relay: RelayedWorkers | None = None
        self._ownership_ended = trio.Event()

    def begin_ownership(self) -> RelayedWorkers:
        """Return the way to the workers for an ownership that begins."""
        self._relay = RelayedWorkers(self._workers, self._telemetry)
        self._ownership_ended = trio.Event()
        return self._relay

    def end_ownership(self) -> None:
        """Let those go that carry orders; the ownership is over."""
        self._relay = None
        self._ownership_ended.set()

    async def run(self) -> None:
        """Join and accept until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve)
            nursery.start_soon(self._join_owners)

    async def _serve(self) -> None:
        try:
            await self._links.serve(self._accept)
        except OSError as error:
            # An owner without carriers orders by itself; the node goes on.
            self._telemetry.event("carriers-not-served", error=repr(error))

    async def _accept(self, stream: trio.abc.Stream) -> None:
        async with stream:
            relay, dismissed = self._relay, self._ownership_ended
            if relay is None:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, dismissed, nursery.cancel_scope)
                await relay.accept(stream)
                nursery.cancel_scope.cancel()

    async def _join_owners(self) -> None:
        pause = JOIN_BACKOFF_SECONDS
        while True:
            changed = self._claimant.owner_changed
            owner = self._claimant.owner
            if not owner.carriers_address:
                await changed.wait()
                continue
            began = trio.current_time()
            await self._relay_for(owner)
            was_used = trio.current_time() - began > JOIN_BACKOFF_SECONDS
            pause = JOIN_BACKOFF_SECONDS if was_used else min(2 * pause, JOIN_BACKOFF_MAX_SECONDS)
            with trio.move_on_after(pause):
                await changed.wait()
                pause = JOIN_BACKOFF_SECONDS

    async def _relay_for(self, record: CellOwnerRecord) -> None:
        owner, address = record.node, record.carriers_address
        try:
            stream = await self._links.connect(address)
        except OSError as error:
            self._telemetry.event("owner-not-joined", owner=owner, error=repr(error))
            return
        async with stream:
            self._telemetry.event("owner-joined", owner=owner, address=address)
            reason = await serve_relay(stream, self._workers, self._telemetry)
            self._telemetry.event("owner-left", owner=owner, reason=reason)


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
