"""Composition of a node's components on any adapters."""

from datetime import datetime, timedelta
from random import Random

import attrs
import trio

from mimosapoint.configuration import Configuration
from mimosapoint.configuration.gossip_source import GossipConfigurationSource
from mimosapoint.configuration.outage import StoreOutageDetector, StoreProbe
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.errors import MimosapointError
from mimosapoint.gateway import JobGateway, JobWaiters, OperatorService, OwnerHandlers, ZoneRouter
from mimosapoint.membership import Gossip, Membership
from mimosapoint.model import Vm
from mimosapoint.node.settings import ComponentSettings
from mimosapoint.ownership import OwnershipManager, TakeZone, ZoneDirectory
from mimosapoint.peers import Dispatcher
from mimosapoint.placement import ZoneOwnerDependencies
from mimosapoint.ports import Clock, Peers, Store, Telemetry, VmList, Workers
from mimosapoint.resilience import CircuitBreakingPeers, CircuitBreakingStore, RateLimiter

__all__ = ["Adapters", "NodeCore"]

WRITE_BURST_SECONDS = 2.0
"""Unused store writes that may accumulate, in seconds of the rate limit."""

MILLISECOND = timedelta(milliseconds=1)
UNIX_EPOCH = datetime.fromisoformat("1970-01-01T00:00:00+00:00")
BOOTSTRAP_RETRY_INTERVAL = timedelta(seconds=1)


@attrs.frozen
class Adapters:
    """Adapters that a node runs on.

    :param store: the platform's store.
    :param workers: calls to workers.
    :param vm_list: the platform's VM list.
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


def _with_circuit_breakers(adapters: Adapters) -> Adapters:
    """Add circuit breakers to the store and to each peer, except for gossip and store probes."""
    exempt_messages = frozenset({Gossip, StoreProbe})
    return attrs.evolve(
        adapters,
        store=CircuitBreakingStore(adapters.store, adapters.clock),
        peers=CircuitBreakingPeers(adapters.peers, adapters.clock, exempt_messages),
    )


class NodeCore:
    """Configuration, membership, ownership and gateway of one node.

    :param vm: this node's VM, with the address for peers.
    :param adapters: adapters that the node runs on.
    :param settings: settings of the components.
    :param initial: configuration that becomes version 1 if the store has none.
    """

    def __init__(
        self,
        vm: Vm,
        adapters: Adapters,
        settings: ComponentSettings,
        initial: Configuration | None = None,
    ):
        self.vm = vm
        self._adapters = _with_circuit_breakers(adapters)
        self._settings = settings
        self._initial = initial
        self._announce_requested = trio.Event()
        self.configuration = self._make_configuration()
        self.membership = self._make_membership()
        self.outage_detector = self._make_outage_detector()
        self.ownership_manager = self._make_ownership_manager()
        self.gateway = self._make_gateway()
        self.operators = OperatorService(
            self.configuration, self.membership, self.ownership_manager, adapters.clock
        )
        self.configuration.on_install(self._request_announce)

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
            GossipConfigurationSource(self.configuration),
        )

    def _make_outage_detector(self) -> StoreOutageDetector:
        adapters = self._adapters
        return StoreOutageDetector(
            self.configuration,
            self._other_node_addresses,
            adapters.peers,
            adapters.dispatcher,
            clock=adapters.clock,
            telemetry=adapters.telemetry,
        )

    def _other_node_addresses(self) -> list[str]:
        nodes = self.membership.known_nodes()
        return [vm.address for id, vm in nodes.items() if id != self.vm.id]

    def _make_ownership_manager(self) -> OwnershipManager:
        incarnation = (self._adapters.clock.now() - UNIX_EPOCH) // MILLISECOND
        manager = OwnershipManager(
            self.vm,
            f"{self.vm.id}#{incarnation}",
            self.membership,
            self._adapters.clock,
            self._make_owner_dependencies,
            self._settings.ownership,
        )
        self._adapters.dispatcher.handle(TakeZone, manager.take_zone)
        return manager

    def _make_owner_dependencies(self, directory: ZoneDirectory) -> ZoneOwnerDependencies:
        adapters = self._adapters
        rate = self._settings.writes_per_second
        return ZoneOwnerDependencies(
            store=adapters.store,
            workers=adapters.workers,
            peers=adapters.peers,
            configuration=self.configuration,
            endpoints=self.membership.workers,
            address_of=directory.address_of,
            summaries_by_zone=directory.summaries_by_zone,
            write_limiter=RateLimiter(adapters.clock, rate, rate * WRITE_BURST_SECONDS),
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            settings=self._settings.owner,
            random=adapters.random,
        )

    def _make_gateway(self) -> JobGateway:
        adapters = self._adapters
        OwnerHandlers(self.ownership_manager.owner, adapters.dispatcher, adapters.telemetry)
        router = ZoneRouter(
            self.vm.address,
            self.ownership_manager.directory.address_of,
            adapters.peers,
            adapters.dispatcher,
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            random=adapters.random,
            call_timeout=self._settings.gateway.call_timeout,
        )
        return JobGateway(
            self.vm.address,
            lambda: self.configuration.current,
            router,
            JobWaiters(adapters.dispatcher),
            clock=adapters.clock,
            telemetry=adapters.telemetry,
            settings=self._settings.gateway,
        )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the components until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._bootstrap)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.outage_detector.run)
            nursery.start_soon(self._announce_versions)
            await nursery.start(self.membership.run)
            await nursery.start(self.ownership_manager.run)
            nursery.start_soon(self.gateway.run)
            task_status.started()

    async def leave(self) -> None:
        """Begin a planned stop: announce it and hand over every zone."""
        self._adapters.telemetry.event("node-stopping")
        self.operators.stopping = True
        self.membership.set_leaving()
        await self.ownership_manager.hand_over_all()

    def _request_announce(self, _: Configuration) -> None:
        self._announce_requested.set()

    async def _announce_versions(self) -> None:
        """Spread each new configuration version without delay, see ``broadcast_version``."""
        while True:
            await self._announce_requested.wait()
            self._announce_requested = trio.Event()
            await self.membership.broadcast_version()

    async def _bootstrap(self) -> None:
        """Create version 1 if the store has no configuration, and retry until it succeeds."""
        while self._initial is not None and self.configuration.current.version == 0:
            try:
                await self.configuration.bootstrap(self._initial)
                return
            except MimosapointError as error:
                self._adapters.telemetry.event("bootstrap-failed", code=error.code)
            await self._adapters.clock.sleep(BOOTSTRAP_RETRY_INTERVAL)
