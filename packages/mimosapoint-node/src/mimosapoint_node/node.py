"""Composition of a node with network adapters."""

from functools import partial
from random import Random

import trio
from mimosapoint.configuration import Configuration
from mimosapoint.memory import TrioClock
from mimosapoint.model import Vm, VmKind
from mimosapoint.node import Adapters, ComponentSettings, NodeCore
from mimosapoint.peers import Dispatcher
from mimosapoint.settings import NodeSettings
from mimosapoint.telemetry import LogTelemetry

from mimosapoint_node.grpc_peers import GrpcPeers, serve_peers
from mimosapoint_node.http import HttpLimits, make_app, serve
from mimosapoint_node.platform import HttpStore, HttpVmList, HttpWorkers

__all__ = ["Node"]


class Node:
    """Node process, to be created within a trio run.

    :param settings: settings of the node.
    :param telemetry: logs, metrics and traces.
    :param initial: configuration that becomes version 1 if the store has none.
    """

    def __init__(
        self, settings: NodeSettings, telemetry: LogTelemetry, initial: Configuration | None = None
    ):
        self._settings = settings
        self._telemetry = telemetry
        self._clock = TrioClock()
        self._dispatcher = Dispatcher()
        self._peers = GrpcPeers(settings.id, telemetry)
        vm = Vm(settings.id, VmKind.ENTRY, settings.zone, settings.peer_address)
        self._core = NodeCore(
            vm, self._make_adapters(), ComponentSettings.from_node_settings(settings), initial
        )

    def _make_adapters(self) -> Adapters:
        settings = self._settings
        telemetry = self._telemetry
        return Adapters(
            store=HttpStore(settings.store_address, telemetry, timeout=settings.store.call_timeout),
            workers=HttpWorkers(telemetry, timeout=settings.workers.call_timeout),
            vm_list=HttpVmList(settings.vm_list_address, telemetry),
            peers=self._peers,
            dispatcher=self._dispatcher,
            clock=self._clock,
            telemetry=telemetry,
            random=Random(f"{settings.id}{self._clock.now()}"),
        )

    async def run(self, stop: trio.Event) -> None:
        """Serve until a stop is requested, then hand over zones and finish requests in progress.

        :param stop: set for a planned stop.
        :raises OSError: an address is already in use.
        """
        async with trio.open_nursery() as nursery:
            address = self._settings.peer_address
            await nursery.start(serve_peers, address, self._dispatcher, self._telemetry)
            await nursery.start(self._core.run)
            await self._serve_callers(stop)
            nursery.cancel_scope.cancel()
        self._peers.close()
        self._telemetry.event("node-stopped")

    async def _serve_callers(self, stop: trio.Event) -> None:
        """Serve callers until a planned stop has finished the requests in progress."""
        limits = _http_limits(self._settings)
        app = make_app(
            self._core.gateway,
            self._core.operators,
            self._telemetry,
            limits,
            self._clock,
            self._telemetry.render,
            self._settings.limits.authentication,
        )
        shutdown = trio.Event()
        address = self._settings.http_address
        serving = partial(serve, app, address, limits, shutdown, self._telemetry)
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serving)
            self._telemetry.event("node-serving", address=bound)
            await stop.wait()
            # Zones are handed over first, so that the new owners serve requests in progress.
            await self._core.leave()
            shutdown.set()


def _http_limits(settings: NodeSettings) -> HttpLimits:
    limits = settings.limits
    return HttpLimits(
        body_bytes=limits.body_bytes,
        header_bytes=limits.header_bytes,
        connections=limits.connections,
        in_flight=limits.in_flight_requests,
        max_waiting=limits.waiting_answers,
    )
