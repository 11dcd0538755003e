"""Gossip exchanges, at the caller and at the callee."""

from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta

from mimosapoint.errors import MimosapointError
from mimosapoint.membership._state_transfer import INLINE_LIMIT_BYTES
from mimosapoint.membership._table import NodeTable
from mimosapoint.membership.configuration_source import ConfigurationSource
from mimosapoint.membership.messages import Gossip, GossipReply
from mimosapoint.ports import Clock, Peers, Telemetry

__all__ = ["Exchanger"]


class Exchanger:
    """Make and serve gossip exchanges.

    :param table: records of the known nodes.
    :param peers: calls to other nodes.
    :param clock: the clock.
    :param configuration_source: the configuration that the gossip spreads.
    :param telemetry: receives refused configurations.
    :param timeout: timeout of one call.
    """

    def __init__(
        self,
        table: NodeTable,
        peers: Peers,
        clock: Clock,
        configuration_source: ConfigurationSource,
        telemetry: Telemetry,
        timeout: timedelta,
    ) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._configuration_source = configuration_source
        self._telemetry = telemetry
        self._timeout = timeout
        self._on_newer_version: Callable[[str, int], None] = lambda address, version: None
        self._version_from_peer = 0
        self._in_flight: Counter[str] = Counter()
        self._versions_by_address: dict[str, int] = {}
        self._acknowledged_revisions_by_address: dict[str, tuple[int, int]] = {}

    def on_newer_version(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback for the address of a peer with a version that this node lacks."""
        self._on_newer_version = callback

    def remove_peer(self, address: str) -> None:
        """Drop the recorded version and acknowledged revision of a peer that was removed."""
        self._versions_by_address.pop(address, None)
        self._acknowledged_revisions_by_address.pop(address, None)

    def is_idle(self, address: str) -> bool:
        """Return whether no exchange with the address is in progress."""
        return address not in self._in_flight

    def version_came_from_peer(self) -> bool:
        """Return whether the version in force was received from a peer."""
        return self._version_from_peer >= self._version_in_force() > 0

    def may_lack_version(self, address: str) -> bool:
        """Return whether the peer is not known to have the version in force."""
        return self._versions_by_address.get(address, -1) < self._version_in_force()

    async def exchange(self, address: str, concurrent: bool = False) -> bool:
        """Exchange gossip with a peer and return whether an exchange took place.

        The call is repeated when the reply shows that the peer lacks the version in force, unless
        the peer has to fetch it.

        :param concurrent: start the exchange even if another with the peer is in progress.
        :raises MimosapointError: the peer did not reply or refused the message.
        """
        if address in self._in_flight and not concurrent:
            return False
        self._in_flight[address] += 1
        try:
            await self._call(address)
            if self.may_lack_version(address) and self._has_inline_configuration():
                await self._call(address)
        finally:
            self._in_flight[address] -= 1
            if not self._in_flight[address]:
                del self._in_flight[address]
        return True

    def serve(self, request: Gossip) -> GossipReply:
        """Merge the request of a peer and return the reply."""
        now = self._clock.now()
        if request.state is not None:
            self._table.merge(request.state, now)
        self.install_configuration(request.configuration)
        same_roster = self._has_same_roster(request)
        newer = self._merge_heartbeats(request.heartbeats(), now) if same_roster else ()
        self._table.record_contact(request.node, request.incarnation, now)
        self._record_version(request)
        states = (
            self._table.states_after(request.revisions) if same_roster else self._table.states()
        )
        version, age = self._configuration_source.version_and_age(now)
        behind = request.version < version
        own = self._table.own
        return GossipReply(
            own.id,
            own.incarnation,
            self._table.member_digest,
            newer,
            states,
            version,
            age,
            self._inline_configuration(request.version) if behind else None,
        )

    def install_configuration(self, data: bytes | None) -> bool:
        """Install a configuration and return whether it could be used.

        An invalid one is logged and must not stop the heartbeats.
        """
        if data is None:
            return False
        before = self._version_in_force()
        try:
            self._configuration_source.install_bytes(data)
        except MimosapointError as error:
            self._telemetry.event("configuration-refused", code=error.code, detail=error.detail)
            return False
        version = self._version_in_force()
        if version > before:
            self._version_from_peer = version
        return True

    async def _call(self, address: str) -> None:
        request = self._request(address)
        sent_members = self._table.members()
        own_revision = (self._table.own.incarnation, self._table.own.revision)
        sent_at = self._clock.now()
        reply = await self._peers.call(address, request, self._timeout)
        self._versions_by_address[address] = reply.version
        self._merge_reply(request, sent_members, reply)
        if reply.roster == self._table.member_digest:
            self._acknowledged_revisions_by_address[address] = own_revision
        else:
            self._acknowledged_revisions_by_address.pop(address, None)
        self._apply_configuration(reply, sent_at)
        if reply.version > self._version_in_force():
            self._on_newer_version(address, reply.version)

    def _request(self, address: str) -> Gossip:
        own = self._table.own
        acknowledged = self._acknowledged_revisions_by_address.get(address)
        version = self._version_in_force()
        known = self._versions_by_address.get(address)
        behind = known is not None and known < version
        return Gossip(
            own.id,
            own.incarnation,
            self._table.member_digest,
            own.heartbeat,
            tuple(own.heartbeat - heartbeat for heartbeat in self._table.heartbeats()),
            self._table.revisions(),
            None if acknowledged == (own.incarnation, own.revision) else own,
            version,
            self._inline_configuration(known) if behind else None,
        )

    def _merge_reply(
        self, request: Gossip, sent_members: list[tuple[str, int]], reply: GossipReply
    ) -> None:
        now = self._clock.now()
        for state in reply.states:
            self._table.merge(state, now)
        if len(reply.newer) == len(sent_members):
            entries = zip(sent_members, request.heartbeats(), reply.newer)
            for (id, incarnation), heartbeat, lead in entries:
                self._table.merge_heartbeat(id, incarnation, heartbeat + lead, now)
        self._table.record_contact(reply.node, reply.incarnation, now)

    def _apply_configuration(self, reply: GossipReply, sent_at: datetime) -> None:
        self.install_configuration(reply.configuration)
        if reply.confirmed_age is not None:
            confirmed_at = sent_at - timedelta(seconds=reply.confirmed_age)
            self._configuration_source.confirm_version(reply.version, confirmed_at)

    def _has_same_roster(self, request: Gossip) -> bool:
        if request.roster != self._table.member_digest:
            return False
        known = len(self._table.records_by_id)
        return len(request.lags) == known == len(request.revisions)

    def _merge_heartbeats(self, heartbeats: tuple[int, ...], now: datetime) -> tuple[int, ...]:
        """Merge the caller's heartbeats and return how far this node's were ahead."""
        own = self._table.heartbeats()
        for (id, incarnation), heartbeat in zip(self._table.members(), heartbeats):
            self._table.merge_heartbeat(id, incarnation, heartbeat, now)
        return tuple(
            max(0, own_heartbeat - peer_heartbeat)
            for own_heartbeat, peer_heartbeat in zip(own, heartbeats)
        )

    def _record_version(self, request: Gossip) -> None:
        record = self._table.records_by_id.get(request.node)
        if record is not None:
            self._versions_by_address[record.state.address] = request.version
            if request.version > self._version_in_force():
                self._on_newer_version(record.state.address, request.version)

    def _has_inline_configuration(self) -> bool:
        return self._inline_configuration(self._version_in_force() - 1) is not None

    def _inline_configuration(self, version: int) -> bytes | None:
        """Return the encoded configuration for a peer with an older version, unless it is large.

        A call that carried a large one would time out on a slow link, with the heartbeats in it.
        """
        data = self._configuration_source.state_bytes_since(version)
        return data if data is not None and len(data) <= INLINE_LIMIT_BYTES else None

    def _version_in_force(self) -> int:
        return self._configuration_source.version_and_age(self._clock.now())[0]
