"""The parts of a node put together, whatever adapters they stand on."""

from datetime import datetime, timedelta
from random import Random

import attrs
import trio

from mimosapoint.configuration import Configuration
from mimosapoint.configuration.link import GossipLink
from mimosapoint.configuration.outage import OutageWitness, StoreProbe
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.entry import Entry, Operators, OwnerHandlers, Waiters, ZoneRouter
from mimosapoint.errors import MimosapointError
from mimosapoint.membership import Gossip, Membership
from mimosapoint.model import Vm
from mimosapoint.node.settings import PartSettings
from mimosapoint.ownership import OwnershipKeeper, TakeZone, ZoneDirectory
from mimosapoint.peers import Dispatcher
from mimosapoint.placement import OwnerParts
from mimosapoint.ports import Clock, Peers, Store, Telemetry, VmList, Workers
from mimosapoint.resilience import GuardedPeers, GuardedStore, RateBudget

__all__ = ["Adapters", "NodeCore"]

WRITE_BURST_SECONDS = 2.0
"""Unused store writes that may be saved up, in seconds of the budget."""

MILLISECOND = timedelta(milliseconds=1)
EPOCH = datetime.fromisoformat("1970-01-01T00:00:00+00:00")
BOOTSTRAP_PAUSE = timedelta(seconds=1)


@attrs.frozen
class Adapters:
    """What a node stands on.

    :param store: the platform's store.
    :param workers: the workers.
    :param vm_list: the platform's list of VMs.
    :param peers: calls to other nodes.
    :param dispatcher: serves the calls of other nodes.
    """

    store: Store
    workers: Workers
    vm_list: VmList
    peers: Peers
    dispatcher: Dispatcher
    clock: Clock
    telemetry: Telemetry
    random: Random


def _guarded(adapters: Adapters) -> Adapters:
    """Put a circuit breaker before the store and before each peer."""
    unguarded = frozenset({Gossip, StoreProbe})
    return attrs.evolve(
        adapters,
        store=GuardedStore(adapters.store, adapters.clock),
        peers=GuardedPeers(adapters.peers, adapters.clock, unguarded),
    )


class NodeCore:
    """Configuration, membership, ownership and entry of one node.

    :param vm: this node's VM; its address is where peers reach it.
    :param initial: configuration that becomes version 1 where the store has none.
    """

    def __init__(
        self,
        vm: Vm,
        adapters: Adapters,
        settings: PartSettings,
        initial: Configuration | None = None,
    ):
        self.vm = vm
        self._adapters = _guarded(adapters)
        self._settings = settings
        self._initial = initial
        self._spread_wanted = trio.Event()
        self.configuration = self._make_configuration()
        self.membership = self._make_membership()
        self.witness = self._make_witness()
        self.keeper = self._make_keeper()
        self.jobs = self._make_entry()
        self.operators = Operators(self.configuration, self.membership, self.keeper, adapters.clock)
        self.configuration.on_install(self._spread)

    def _make_configuration(self) -> ConfigurationService:
        adapters = self._adapters
        return ConfigurationService(
            self.vm.id,
            adapters.store,
            adapters.clock,
            adapters.telemetry,
            self._settings.configuration,
            adapters.random,
        )

    def _make_membership(self) -> Membership:
        adapters = self._adapters
        return Membership(
            self.vm,
            adapters.vm_list,
            adapters.peers,
            adapters.dispatcher,
            adapters.clock,
            adapters.telemetry,
            self._settings.membership,
            adapters.random,
            GossipLink(self.configuration),
        )

    def _make_witness(self) -> OutageWitness:
        adapters = self._adapters
        return OutageWitness(
            self.configuration,
            self._other_addresses,
            adapters.peers,
            adapters.dispatcher,
            clock=adapters.clock,
            telemetry=adapters.telemetry,
        )

    def _other_addresses(self) -> list[str]:
        nodes = self.membership.known_nodes()
        return [vm.address for id, vm in nodes.items() if id != self.vm.id]

    def _make_keeper(self) -> OwnershipKeeper:
        incarnation = (self._adapters.clock.now() - EPOCH) // MILLISECOND
        keeper = OwnershipKeeper(
            self.vm,
            f"{self.vm.id}#{incarnation}",
            self.membership,
            self._adapters.clock,
            self._owner_parts,
            self._settings.ownership,
        )
        self._adapters.dispatcher.handle(TakeZone, keeper.take_zone)
        return keeper

    def _owner_parts(self, directory: ZoneDirectory) -> OwnerParts:
        adapters = self._adapters
        rate = self._settings.writes_per_second
        return OwnerParts(
            store=adapters.store,
            workers=adapters.workers,
            peers=adapters.peers,
            configuration=self.configuration,
            endpoints=self.membership.endpoints,
            address_of=directory.address_of,
            summaries_by_zone=directory.summaries_by_zone,
            budget=RateBudget(adapters.clock, rate, rate * WRITE_BURST_SECONDS),
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            settings=self._settings.owner,
            random=adapters.random,
        )

    def _make_entry(self) -> Entry:
        adapters = self._adapters
        OwnerHandlers(self.keeper.owner, adapters.dispatcher, adapters.telemetry)
        router = ZoneRouter(
            self.vm.address,
            self.keeper.directory.address_of,
            adapters.peers,
            adapters.dispatcher,
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            random=adapters.random,
            call_timeout=self._settings.entry.call_timeout,
        )
        return Entry(
            self.vm.address,
            lambda: self.configuration.current,
            router,
            Waiters(adapters.dispatcher),
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            settings=self._settings.entry,
        )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Do the node's work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._bootstrap)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.witness.run)
            nursery.start_soon(self._spread_versions)
            await nursery.start(self.membership.run)
            await nursery.start(self.keeper.run)
            nursery.start_soon(self.jobs.run)
            task_status.started()

    async def leave(self) -> None:
        """Begin a planned stop: announce it and hand every zone over."""
        self._adapters.telemetry.event("node-stopping")
        self.operators.stopping = True
        self.membership.set_leaving()
        await self.keeper.hand_over_all()

    def _spread(self, _: Configuration) -> None:
        self._spread_wanted.set()

    async def _spread_versions(self) -> None:
        """Push each new version to every live node at once."""
        while True:
            await self._spread_wanted.wait()
            self._spread_wanted = trio.Event()
            await self.membership.announce()

    async def _bootstrap(self) -> None:
        """Create version 1 in a store that has no configuration."""
        while self._initial is not None and self.configuration.current.version == 0:
            try:
                await self.configuration.bootstrap(self._initial)
                return
            except MimosapointError as error:
                self._adapters.telemetry.event("bootstrap-failed", code=error.code)
            await self._adapters.clock.sleep(BOOTSTRAP_PAUSE)
