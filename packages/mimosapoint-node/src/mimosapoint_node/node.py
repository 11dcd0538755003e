"""A node: the parts of the library put together over their network adapters."""

from datetime import datetime, timedelta
from functools import partial
from random import Random

import trio
from mimosapoint.configuration import Configuration
from mimosapoint.configuration.link import GossipLink
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.entry import Entry, EntrySettings, Operators, OwnerHandlers, Waiters, ZoneRouter
from mimosapoint.errors import MimosapointError
from mimosapoint.membership import Membership, MembershipSettings
from mimosapoint.memory import TrioClock
from mimosapoint.model import Vm, VmKind
from mimosapoint.ownership import OwnershipKeeper, OwnershipSettings, TakeZone
from mimosapoint.peers import Dispatcher
from mimosapoint.placement import OwnerParts, OwnerSettings
from mimosapoint.resilience import RateBudget
from mimosapoint.settings import NodeSettings
from mimosapoint.telemetry import LogTelemetry

from mimosapoint_node.grpc_peers import GrpcPeers, serve_peers
from mimosapoint_node.http import HttpLimits, make_app, serve
from mimosapoint_node.platform import HttpStore, HttpVmList, HttpWorkers

__all__ = ["Node"]

WRITE_BURST_SECONDS = 2.0
"""Unused store writes that may be saved up, in seconds of the budget."""

MILLISECOND = timedelta(milliseconds=1)
EPOCH = datetime.fromisoformat("1970-01-01T00:00:00+00:00")
BOOTSTRAP_PAUSE_SECONDS = 1.0


class Node:
    """One process of the system. It must be made within a trio run.

    :param settings: settings of the node.
    :param telemetry: logs, metrics and traces.
    :param initial: configuration that becomes version 1 where the store has none.
    """

    def __init__(
        self, settings: NodeSettings, telemetry: LogTelemetry, initial: Configuration | None = None
    ):
        self._settings = settings
        self._telemetry = telemetry
        self._initial = initial
        self._clock = TrioClock()
        self._vm = Vm(settings.id, VmKind.ENTRY, settings.zone, settings.peer_address)
        self._random = Random(f"{settings.id}{self._clock.now()}")
        self._dispatcher = Dispatcher()
        self._peers = GrpcPeers(settings.id, telemetry)
        self._store = HttpStore(
            settings.store_address, telemetry, timeout=settings.store.call_timeout
        )
        self._workers = HttpWorkers(telemetry, timeout=settings.workers.call_timeout)
        self._make_configuration()
        self._make_ownership()
        self._make_entry()

    def _make_configuration(self) -> None:
        settings = self._settings
        self._configuration = ConfigurationService(
            settings.id,
            self._store,
            self._clock,
            self._telemetry,
            settings.configuration,
            self._random,
        )
        self._membership = Membership(
            self._vm,
            HttpVmList(settings.vm_list_address, self._telemetry),
            self._peers,
            self._dispatcher,
            self._clock,
            self._telemetry,
            MembershipSettings(
                interval=settings.peers.heartbeat_interval,
                call_timeout=settings.peers.call_timeout,
            ),
            self._random,
            GossipLink(self._configuration),
        )
        self._configuration.on_install(self._spread)
        self._spread_wanted = trio.Event()

    def _spread(self, _: Configuration) -> None:
        self._spread_wanted.set()

    def _make_ownership(self) -> None:
        incarnation = (self._clock.now() - EPOCH) // MILLISECOND
        self._keeper = OwnershipKeeper(
            self._vm,
            f"{self._settings.id}#{incarnation}",
            self._membership,
            self._owner_parts,
            OwnershipSettings(buckets=self._settings.owner.buckets),
        )
        self._dispatcher.handle(TakeZone, self._keeper.take_zone)

    def _owner_parts(self, keeper: OwnershipKeeper) -> OwnerParts:
        settings = self._settings
        rate = settings.store.writes_per_second
        return OwnerParts(
            store=self._store,
            workers=self._workers,
            peers=self._peers,
            configuration=self._configuration,
            endpoints=self._membership.endpoints,
            address_of=keeper.address_of,
            load_of=keeper.load_of,
            budget=RateBudget(self._clock, rate, rate * WRITE_BURST_SECONDS),
            clock=self._clock,
            telemetry=self._telemetry,
            settings=OwnerSettings(
                commit_interval=settings.owner.commit_interval,
                reservation_ttl=settings.owner.reservation_ttl,
                retention=settings.owner.ended_retention,
                lease_ttl=settings.workers.lease_ttl,
                call_timeout=settings.workers.call_timeout,
            ),
            random=self._random,
        )

    def _make_entry(self) -> None:
        entry_settings = EntrySettings()
        OwnerHandlers(self._keeper.owner, self._dispatcher, self._telemetry)
        router = ZoneRouter(
            self._vm.address,
            self._keeper.address_of,
            self._peers,
            self._dispatcher,
            clock=self._clock,
            telemetry=self._telemetry,
            random=self._random,
            call_timeout=entry_settings.call_timeout,
        )
        self._entry = Entry(
            self._vm.address,
            lambda: self._configuration.current,
            router,
            Waiters(self._dispatcher),
            clock=self._clock,
            telemetry=self._telemetry,
            settings=entry_settings,
        )
        self._operators = Operators(
            self._configuration, self._membership, self._keeper, self._clock
        )

    async def run(self, stop: trio.Event) -> None:
        """Serve until the stop is wanted, then hand over and finish what is in progress.

        :param stop: set for a planned stop.
        :raises OSError: an address is taken.
        """
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_peers, self._vm.address, self._dispatcher, self._telemetry)
            nursery.start_soon(self._bootstrap)
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._spread_versions)
            await nursery.start(self._membership.run)
            await nursery.start(self._keeper.run)
            nursery.start_soon(self._entry.run)
            async with trio.open_nursery() as callers:
                callers.start_soon(self._stop_when, stop, shutdown)
                await self._serve_callers(callers, shutdown)
            nursery.cancel_scope.cancel()
        self._peers.close()
        self._telemetry.event("node-stopped")

    async def _serve_callers(self, nursery: trio.Nursery, shutdown: trio.Event) -> None:
        limits = self._settings.limits
        http_limits = HttpLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            connections=limits.connections,
            in_flight=limits.in_flight_requests,
            waiting=limits.waiting_answers,
        )
        app = make_app(
            self._entry,
            self._operators,
            self._telemetry,
            http_limits,
            self._clock,
            self._telemetry.render,
        )
        serving = partial(
            serve, app, self._settings.http_address, http_limits, shutdown, self._telemetry
        )
        address = await nursery.start(serving)
        self._telemetry.event("node-serving", address=address)

    async def _stop_when(self, stop: trio.Event, shutdown: trio.Event) -> None:
        """Hand every zone over first, so that requests in progress are served by new owners."""
        await stop.wait()
        self._telemetry.event("node-stopping")
        self._operators.stopping = True
        self._membership.set_leaving()
        await self._keeper.hand_over_all()
        shutdown.set()

    async def _spread_versions(self) -> None:
        """Push each new version to every live node at once."""
        while True:
            await self._spread_wanted.wait()
            self._spread_wanted = trio.Event()
            await self._membership.announce()

    async def _bootstrap(self) -> None:
        """Create version 1 in a store that has no configuration."""
        while self._initial is not None and self._configuration.current.version == 0:
            try:
                await self._configuration.bootstrap(self._initial)
                return
            except MimosapointError as error:
                self._telemetry.event("bootstrap-failed", code=error.code)
            await trio.sleep(BOOTSTRAP_PAUSE_SECONDS)
