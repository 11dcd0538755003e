"""Membership of the nodes, maintained by gossip."""

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import trio

from mimosapoint.errors import MimosapointError, PeerUnreachable
from mimosapoint.membership._exchange import Exchanger
from mimosapoint.membership._failure_detector import FailureDetector
from mimosapoint.membership._state_transfer import StateFetcher, StateServer
from mimosapoint.membership._table import NodeTable
from mimosapoint.membership._vm_directory import VmDirectory
from mimosapoint.membership.configuration_source import ConfigurationSource, NullConfigurationSource
from mimosapoint.membership.messages import ConfigurationPart, Gossip, NodeState
from mimosapoint.membership.settings import MembershipSettings
from mimosapoint.model import Vm
from mimosapoint.peers import Dispatcher
from mimosapoint.ports import Clock, Peers, Telemetry, VmList

__all__ = ["Membership"]

MILLISECOND = timedelta(milliseconds=1)
UNIX_EPOCH = datetime.fromisoformat("1970-01-01T00:00:00+00:00")

AttachmentProvider = Callable[[], Any]
"""Returns the current JSON value of an attachment of this node."""


class Membership:
    """Track the live nodes and spread the configuration between them.

    :param node: this node; its address is where peers reach it.
    :param vm_list: the platform's VM list.
    :param peers: calls to other nodes.
    :param dispatcher: serves the calls of other nodes.
    :param clock: the clock.
    :param telemetry: receives the changes.
    :param settings: settings of the membership.
    :param random: source of randomness.
    :param configuration_source: the configuration that the gossip spreads, if any.
    """

    def __init__(
        self,
        node: Vm,
        vm_list: VmList,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
        telemetry: Telemetry,
        settings: MembershipSettings,
        random: random.Random,
        configuration_source: ConfigurationSource | None = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._random = random
        now = clock.now()
        incarnation = (now - UNIX_EPOCH) // MILLISECOND
        own = NodeState(node.id, incarnation, 0, 0, node.zone, node.address)
        self._table = NodeTable(own, now)
        self._vm_directory = VmDirectory(vm_list, clock, telemetry)
        source = configuration_source or NullConfigurationSource()
        timeout = settings.call_timeout
        self._exchanger = Exchanger(self._table, peers, clock, source, telemetry, timeout)
        self._state_server = StateServer(clock, source)
        self._state_fetcher = StateFetcher(
            node.id, peers, clock, source, telemetry, random, self._exchanger.install_configuration
        )
        self._exchanger.on_newer_version(self._state_fetcher.add_source)
        self._providers_by_name: dict[str, AttachmentProvider] = {}
        self._failure_detector = FailureDetector(
            node.id,
            self._table,
            self._vm_directory,
            clock,
            telemetry,
            settings.failure_timeout,
            self._notify,
        )
        self._generation = 0
        self._change_event = trio.Event()
        self._leave_event = trio.Event()
        self._last_round_at = now
        self._attachments_read_at: datetime | None = None
        self._round_number = 0
        dispatcher.handle(Gossip, self._serve)
        dispatcher.handle(ConfigurationPart, self._serve_part)
        self._failure_detector.refresh()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run gossip rounds until cancelled."""
        await self._vm_directory.refresh()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_vm_list)
            nursery.start_soon(self._broadcast_leaving)
            nursery.start_soon(self._state_fetcher.run)
            task_status.started()
            while True:
                self._run_round()
                for address in self._select_peers():
                    nursery.start_soon(self._exchange, address)
                await self._clock.sleep(self._settings.interval)

    def is_alive(self, node_id: str) -> bool:
        """Return whether a node is live, also when it is leaving; this node always is."""
        return self._failure_detector.is_alive(node_id)

    def time_since_progress(self, node_id: str) -> timedelta | None:
        """Return the time since a node last showed progress, ``None`` when it never did."""
        record = self._table.records_by_id.get(node_id)
        if record is None or record.progressed_at is None:
            return None
        return self._clock.now() - record.progressed_at

    def live_nodes(self) -> dict[str, Vm]:
        """Return the live nodes that are not leaving by id, this one included."""
        return self._failure_detector.refresh()

    def known_nodes(self) -> dict[str, Vm]:
        """Return every node known from the gossip or the VM list, by id."""
        known = dict(self._vm_directory.nodes_by_id)
        records = self._table.records_by_id
        known.update((id, self._failure_detector.vm(record)) for id, record in records.items())
        return known

    def workers(self) -> dict[str, Vm]:
        """Return the workers in the VM list by id, with their state."""
        return dict(self._vm_directory.endpoints_by_id)

    def attach(self, name: str, provider: AttachmentProvider) -> None:
        """Publish a value as part of the state of this node.

        :param provider: returns the current JSON value.
        """
        self._providers_by_name[name] = provider
        self._attachments_read_at = None

    def refresh_attachments(self) -> None:
        """Read the attachments now rather than at the next attachment interval."""
        self._attachments_read_at = self._clock.now()
        values = {name: provider() for name, provider in self._providers_by_name.items()}
        if values != self._table.own.attachments:
            self._table.update_own(attachments=values)

    def attachment(self, node_id: str, name: str) -> Any:
        """Return the newest known value of an attachment of a node, or ``None``."""
        record = self._table.records_by_id.get(node_id)
        return None if record is None else record.state.attachments.get(name)

    def set_leaving(self) -> None:
        """Announce the planned stop of this node to every live node at once."""
        if not self._table.own.leaving:
            self._table.update_own(leaving=True)
            self._failure_detector.refresh()
            self._leave_event.set()

    async def broadcast_version(self) -> frozenset[str]:
        """Spread the configuration version in force and return the ids of the nodes reached.

        A version that was not received from a peer goes to every live node at once, leaving ones
        included. One received from a peer goes to at most ``fanout`` nodes that may lack it, since
        the node that installed it first calls the others.
        """
        addresses_by_id = self._failure_detector.peer_addresses()
        if self._exchanger.version_came_from_peer():
            behind = {
                id: a for id, a in addresses_by_id.items() if self._exchanger.may_lack_version(a)
            }
            count = min(self._settings.fanout, len(behind))
            addresses_by_id = dict(self._random.sample(sorted(behind.items()), count))
        return await self._call_all(addresses_by_id)

    @property
    def generation(self) -> int:
        """Counter that is incremented when the live nodes or the VM list change."""
        return self._generation

    async def wait_for_change(self, after: int) -> int:
        """Wait until the generation is above the given one and return it."""
        while self._generation <= after:
            await self._change_event.wait()
        return self._generation

    def _run_round(self) -> None:
        now = self._clock.now()
        self._compensate_process_pause(now)
        self._table.advance_heartbeat(now, (now - UNIX_EPOCH) // self._settings.interval)
        self._round_number += 1
        if self._attachments_due(now):
            self.refresh_attachments()
        self._remove_silent_nodes(now)
        self._failure_detector.refresh()
        self._telemetry.gauge("members_known", len(self._table.records_by_id))

    def _attachments_due(self, now: datetime) -> bool:
        if self._attachments_read_at is None:
            return True
        return now - self._attachments_read_at >= self._settings.attachment_interval

    def _compensate_process_pause(self, now: datetime) -> None:
        """Extend the timeouts after a process pause, so that no live node is declared dead."""
        pause = now - self._last_round_at - self._settings.interval
        self._last_round_at = now
        if pause > self._settings.failure_timeout / 2:
            self._table.extend_timeouts(pause)
            self._telemetry.event("member-paused", seconds=pause)

    def _remove_silent_nodes(self, now: datetime) -> None:
        for id, record in list(self._table.records_by_id.items()):
            listed = id in self._vm_directory.nodes_by_id
            settings = self._settings
            removal_timeout = (
                settings.remove_listed_after if listed else settings.remove_unlisted_after
            )
            if id != self._node.id and now - record.last_active_at() >= removal_timeout:
                self._table.remove(id)
                self._exchanger.remove_peer(record.state.address)
                self._telemetry.event("member-forgotten", member=id)

    def _select_peers(self) -> list[str]:
        """Return the addresses to call in this round.

        Nodes that are not live are called every ``dead_peer_interval_rounds`` rounds, and in every
        round while fewer than ``fanout`` other nodes are live.
        """
        live = self._failure_detector.peer_addresses()
        not_live = [
            vm.address
            for id, vm in self.known_nodes().items()
            if id not in live and id != self._node.id
        ]
        is_idle = self._exchanger.is_idle
        live_targets = self._sample([a for a in live.values() if is_idle(a)], self._settings.fanout)
        dead_peer_count = self._settings.fanout - len(live)
        if self._round_number % self._settings.dead_peer_interval_rounds == 0:
            dead_peer_count = max(dead_peer_count, 1)
        return live_targets + self._sample([a for a in not_live if is_idle(a)], dead_peer_count)

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._random.sample(addresses, max(0, min(count, len(addresses))))

    async def _exchange(self, address: str, concurrent: bool = False) -> bool:
        try:
            reached = await self._exchanger.exchange(address, concurrent)
        except PeerUnreachable:
            return False
        except MimosapointError as error:
            self._telemetry.event("gossip-failed", peer=address, code=error.code, detail=error)
            return False
        self._failure_detector.refresh()
        return reached

    async def _serve(self, message: Gossip) -> Any:
        reply = self._exchanger.serve(message)
        self._failure_detector.refresh()
        return reply

    async def _serve_part(self, message: ConfigurationPart) -> Any:
        return self._state_server.serve(message)

    async def _poll_vm_list(self) -> None:
        while True:
            await self._clock.sleep(self._settings.list_interval)
            if await self._vm_directory.refresh():
                self._notify()
                self._failure_detector.refresh()

    async def _broadcast_leaving(self) -> None:
        await self._leave_event.wait()
        await self._call_all(self._failure_detector.peer_addresses())

    async def _call_all(self, addresses_by_id: dict[str, str]) -> frozenset[str]:
        limit = trio.CapacityLimiter(self._settings.max_concurrent_broadcasts)
        reached = set()

        async def call(id: str, address: str) -> None:
            async with limit:
                if await self._exchange(address, concurrent=True):
                    reached.add(id)

        async with trio.open_nursery() as nursery:
            for id, address in addresses_by_id.items():
                nursery.start_soon(call, id, address)
        return frozenset(reached)

    def _notify(self) -> None:
        self._generation += 1
        self._change_event.set()
        self._change_event = trio.Event()
