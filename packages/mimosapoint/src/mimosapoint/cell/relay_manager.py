"""Relaying of orders to workers: for this node as the owner, or by this node for another owner."""

import trio

from mimosapoint.cell.election import CellOwnerRecord, OwnerElection
from mimosapoint.ports import NodeTransport, RunWorkers, Telemetry
from mimosapoint.relay import RelayedWorkers, serve_relay

__all__ = ["RelayManager"]

JOIN_BACKOFF_SECONDS = 1.0
"""First delay before a reconnection to the owner; it doubles while the owner has enough relays."""

JOIN_BACKOFF_MAX_SECONDS = 8.0
"""Longest such delay; it bounds the time until a lost relay is replaced. The owner needs no relay
meanwhile: it sends the orders directly."""


class RelayManager:
    """Connects to owners that want relays, and accepts relay nodes while this node is the owner.

    :param transport: streams to other nodes.
    :param workers: port to the workers.
    :param election: source of the current owner.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        transport: NodeTransport,
        workers: RunWorkers,
        election: OwnerElection,
        telemetry: Telemetry,
    ):
        self._transport = transport
        self._workers = workers
        self._election = election
        self._telemetry = telemetry
        self._relay: RelayedWorkers | None = None
        self._ownership_ended = trio.Event()

    def begin_ownership(self, direct_workers: int) -> RelayedWorkers:
        """Return the port to the workers for a new ownership, and accept relay nodes for it.

        :param direct_workers: number of workers up to which no relay node is used.
        """
        self._relay = RelayedWorkers(self._workers, self._telemetry, direct_workers)
        self._ownership_ended = trio.Event()
        return self._relay

    def end_ownership(self) -> None:
        """Close the connections of the relay nodes at the end of the ownership."""
        self._relay = None
        self._ownership_ended.set()

    async def run(self) -> None:
        """Connect to owners and accept relay nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept_relays)
            nursery.start_soon(self._relay_for_owners)

    async def _accept_relays(self) -> None:
        try:
            await self._transport.serve(self._accept)
        except OSError as error:
            # An owner without relays sends its orders directly, so the node continues.
            self._telemetry.event("carriers-not-served", error=repr(error))

    async def _accept(self, stream: trio.abc.Stream) -> None:
        async with stream:
            relay, ownership_ended = self._relay, self._ownership_ended
            if relay is None:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, ownership_ended, nursery.cancel_scope)
                await relay.accept(stream)
                nursery.cancel_scope.cancel()

    async def _relay_for_owners(self) -> None:
        delay = JOIN_BACKOFF_SECONDS
        while True:
            changed = self._election.owner_changed
            owner = self._election.owner
            if not owner.carriers_address:
                await changed.wait()
                continue
            started_at = trio.current_time()
            await self._relay_for(owner)
            was_relaying = trio.current_time() - started_at > JOIN_BACKOFF_SECONDS
            delay = (
                JOIN_BACKOFF_SECONDS if was_relaying else min(2 * delay, JOIN_BACKOFF_MAX_SECONDS)
            )
            with trio.move_on_after(delay):
                await changed.wait()
                delay = JOIN_BACKOFF_SECONDS

    async def _relay_for(self, record: CellOwnerRecord) -> None:
        owner, address = record.node, record.carriers_address
        try:
            stream = await self._transport.connect(address)
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
