"""The nodes that are live, learnt by gossip."""

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import trio

from mimosapoint.errors import MimosapointError, PeerUnreachable
from mimosapoint.membership._exchange import Exchanger
from mimosapoint.membership._failure_detector import FailureDetector
from mimosapoint.membership._table import NodeTable
from mimosapoint.membership._vm_directory import VmDirectory
from mimosapoint.membership.configuration_source import ConfigurationSource, NullConfigurationSource
from mimosapoint.membership.messages import Gossip, NodeState
from mimosapoint.membership.settings import MembershipSettings
from mimosapoint.model import Vm
from mimosapoint.peers import Dispatcher
from mimosapoint.ports import Clock, Peers, Telemetry, VmList

__all__ = ["Membership"]

MILLISECOND = timedelta(milliseconds=1)
UNIX_EPOCH = datetime.fromisoformat("1970-01-01T00:00:00+00:00")

AttachmentProvider = Callable[[], Any]
"""Returns the JSON value that this node attaches now."""


class Membership:
    """Tells which nodes are live and carries the configuration between them.

    :param node: this node; its address is where peers reach it.
    :param vm_list: the platform's list of VMs.
    :param peers: calls to other nodes.
    :param dispatcher: serves the calls of other nodes.
    :param clock: the clock.
    :param telemetry: where changes are told.
    :param settings: settings of the membership.
    :param random: source of randomness.
    :param configuration_source: holder of the configuration, if any.
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
        configuration_link: ConfigurationSource | None = None,
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
        self._directory = VmDirectory(vm_list, clock, telemetry)
        link = configuration_link or NullConfigurationSource()
        timeout = settings.call_timeout
        self._exchanger = Exchanger(self._table, peers, clock, link, telemetry, timeout)
        self._providers_by_name: dict[str, AttachmentProvider] = {}
        self._view = FailureDetector(
            node.id,
            self._table,
            self._directory,
            clock,
            telemetry,
            settings.failure_timeout,
            self._notify,
        )
        self._generation = 0
        self._changed = trio.Event()
        self._leave_requested = trio.Event()
        self._last_round_at = now
        self._attached_at: datetime | None = None
        self._round = 0
        dispatcher.handle(Gossip, self._serve)
        self._view.refresh()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Gossip until cancelled."""
        await self._directory.refresh()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_list)
            nursery.start_soon(self._broadcast_leaving)
            task_status.started()
            while True:
                self._run_round()
                for address in self._select_peers():
                    nursery.start_soon(self._exchange, address)
                await self._clock.sleep(self._settings.interval)

    def alive(self, node_id: str) -> bool:
        """Tell whether a node's heartbeat progresses; this node always lives."""
        return self._view.alive(node_id)

    def time_since_heartbeat(self, node_id: str) -> timedelta | None:
        """Return the time since a node's heartbeat progressed, ``None`` when it never did."""
        record = self._table.records_by_id.get(node_id)
        if record is None or record.progressed_at is None:
            return None
        return self._clock.now() - record.progressed_at

    def live_nodes(self) -> dict[str, Vm]:
        """Return the live nodes that are not leaving by id, this one included."""
        return self._view.refresh()

    def known_nodes(self) -> dict[str, Vm]:
        """Return every node that the gossip or the list of VMs shows, by id."""
        known = dict(self._directory.nodes_by_id)
        records = self._table.records_by_id
        known.update((id, self._view.vm(record)) for id, record in records.items())
        return known

    def endpoints(self) -> dict[str, Vm]:
        """Return the workers of the list of VMs by id, with their state."""
        return dict(self._directory.endpoints_by_id)

    def attach(self, name: str, provider: AttachmentProvider) -> None:
        """Add a value to what this node says of itself.

        :param provider: returns the JSON value as it is now.
        """
        self._providers_by_name[name] = provider
        self._attached_at = None

    def refresh_attachments(self) -> None:
        """Take the attachments as they are now rather than at the next look."""
        self._attached_at = self._clock.now()
        values = {name: provider() for name, provider in self._providers_by_name.items()}
        if values != self._table.own.attachments:
            self._table.change_own(attachments=values)

    def attachment(self, node_id: str, name: str) -> Any:
        """Return the newest value that a node attached, or ``None``."""
        record = self._table.records_by_id.get(node_id)
        return None if record is None else record.state.attachments.get(name)

    def set_leaving(self) -> None:
        """Tell every live node at once that this one stops as planned."""
        if not self._table.own.leaving:
            self._table.change_own(leaving=True)
            self._view.refresh()
            self._leave_requested.set()

    async def broadcast_version(self) -> frozenset[str]:
        """Spread the version of the configuration in force and return who answered.

        A version that this node installed first goes to every live node at once. One that a peer
        sent is passed on to a few that may lack it, since the first node calls the others.
        """
        addresses_by_id = self._view.peer_addresses()
        if self._exchanger.version_came_from_peer():
            behind = {
                id: a for id, a in addresses_by_id.items() if self._exchanger.may_lack_version(a)
            }
            most = min(self._settings.fanout, len(behind))
            addresses_by_id = dict(self._random.sample(sorted(behind.items()), most))
        return await self._call_all(addresses_by_id)

    @property
    def generation(self) -> int:
        """Number that rises when the live nodes or the endpoints change."""
        return self._generation

    async def wait_for_change(self, after: int) -> int:
        """Wait until the generation is above a number and return it."""
        while self._generation <= after:
            await self._changed.wait()
        return self._generation

    def _run_round(self) -> None:
        now = self._clock.now()
        self._compensate_pause(now)
        self._table.advance_heartbeat(now, (now - UNIX_EPOCH) // self._settings.interval)
        self._round += 1
        if self._attachments_due(now):
            self.refresh_attachments()
        self._forget_silent(now)
        self._view.refresh()
        self._telemetry.gauge("members_known", len(self._table.records_by_id))

    def _attachments_due(self, now: datetime) -> bool:
        if self._attached_at is None:
            return True
        return now - self._attached_at >= self._settings.attachment_interval

    def _compensate_pause(self, now: datetime) -> None:
        """A node that was paused must not take the others for dead."""
        late = now - self._last_round_at - self._settings.interval
        self._last_round_at = now
        if late > self._settings.failure_timeout / 2:
            self._table.extend_timeouts(late)
            self._telemetry.event("member-paused", seconds=late)

    def _forget_silent(self, now: datetime) -> None:
        for id, record in list(self._table.records_by_id.items()):
            listed = id in self._directory.nodes_by_id
            settings = self._settings
            bound = settings.remove_listed_after if listed else settings.remove_unlisted_after
            if id != self._node.id and now - record.silent_since() >= bound:
                self._table.forget(id)
                self._exchanger.forget(record.state.address)
                self._telemetry.event("member-forgotten", member=id)

    def _select_peers(self) -> list[str]:
        """Return the addresses to call in this round."""
        live = self._view.peer_addresses()
        suspected = [
            vm.address
            for id, vm in self.known_nodes().items()
            if id not in live and id != self._node.id
        ]
        idle = self._exchanger.idle
        targets = self._sample([a for a in live.values() if idle(a)], self._settings.fanout)
        wanted = self._settings.fanout - len(live)
        if self._round % self._settings.dead_peer_interval_rounds == 0:
            wanted = max(wanted, 1)
        return targets + self._sample([a for a in suspected if idle(a)], wanted)

    def _sample(self, addresses: list[str], most: int) -> list[str]:
        return self._random.sample(addresses, max(0, min(most, len(addresses))))

    async def _exchange(self, address: str, anew: bool = False) -> bool:
        try:
            answered = await self._exchanger.exchange(address, anew)
        except PeerUnreachable:
            return False
        except MimosapointError as error:
            self._telemetry.event("gossip-failed", peer=address, code=error.code, detail=error)
            return False
        self._view.refresh()
        return answered

    async def _serve(self, message: Gossip) -> Any:
        reply = self._exchanger.serve(message)
        self._view.refresh()
        return reply

    async def _read_list(self) -> None:
        while True:
            await self._clock.sleep(self._settings.list_interval)
            if await self._directory.refresh():
                self._notify()
                self._view.refresh()

    async def _broadcast_leaving(self) -> None:
        await self._leave_requested.wait()
        await self._call_all(self._view.peer_addresses())

    async def _call_all(self, addresses_by_id: dict[str, str]) -> frozenset[str]:
        limit = trio.CapacityLimiter(self._settings.max_concurrent_broadcasts)
        answered = set()

        async def call(id: str, address: str) -> None:
            async with limit:
                if await self._exchange(address, anew=True):
                    answered.add(id)

        async with trio.open_nursery() as nursery:
            for id, address in addresses_by_id.items():
                nursery.start_soon(call, id, address)
        return frozenset(answered)

    def _notify(self) -> None:
        self._generation += 1
        self._changed.set()
        self._changed = trio.Event()
