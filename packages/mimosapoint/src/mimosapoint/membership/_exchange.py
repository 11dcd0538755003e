"""One exchange of gossip, at both ends."""

from datetime import datetime, timedelta

from mimosapoint.errors import MimosapointError
from mimosapoint.membership._table import NodeTable
from mimosapoint.membership.configuration_source import ConfigurationSource
from mimosapoint.membership.messages import Gossip, GossipReply
from mimosapoint.ports import Clock, Peers, Telemetry

__all__ = ["Exchanger"]


class Exchanger:
    """Makes and serves exchanges.

    :param table: what this node knows.
    :param peers: calls to other nodes.
    :param clock: the clock.
    :param link: holder of the configuration.
    :param telemetry: where refusals are told.
    :param timeout: timeout of one call.
    """

    def __init__(
        self,
        table: NodeTable,
        peers: Peers,
        clock: Clock,
        link: ConfigurationSource,
        telemetry: Telemetry,
        timeout: timedelta,
    ) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._link = link
        self._telemetry = telemetry
        self._timeout = timeout
        self._version_from_peer = 0
        self._in_flight: set[str] = set()
        self._versions_by_address: dict[str, int] = {}
        self._acknowledged_by_address: dict[str, tuple[int, int]] = {}

    def forget(self, address: str) -> None:
        """Drop what is known of a peer that is gone."""
        self._versions_by_address.pop(address, None)
        self._acknowledged_by_address.pop(address, None)

    def idle(self, address: str) -> bool:
        """Tell whether no exchange with the address is under way."""
        return address not in self._in_flight

    def version_came_from_peer(self) -> bool:
        """Tell whether the version in force came from a peer."""
        return self._version_from_peer >= self._version() > 0

    def may_lack_version(self, address: str) -> bool:
        """Tell whether the peer is not known to have the version in force."""
        return self._versions_by_address.get(address, -1) < self._version()

    async def exchange(self, address: str, concurrent: bool = False) -> bool:
        """Exchange gossip with a peer; tells whether there was an exchange.

        :param concurrent: exchange even if another exchange is under way.
        :raises MimosapointError: the peer did not answer or refused.
        """
        if address in self._in_flight and not concurrent:
            return False
        self._in_flight.add(address)
        try:
            await self._call(address)
            if self.may_lack_version(address):
                await self._call(address)
        finally:
            self._in_flight.discard(address)
        return True

    def serve(self, request: Gossip) -> GossipReply:
        """Take in a request and return the reply."""
        now = self._clock.now()
        if request.state is not None:
            self._table.merge(request.state, now)
        self._install_configuration(request.configuration)
        same = self._same_roster(request)
        newer = self._merge_heartbeats(request.heartbeats(), now) if same else ()
        self._table.record_contact(request.node, request.incarnation, now)
        self._note_version(request)
        states = self._table.states_after(request.revisions) if same else self._table.states()
        version, age = self._link.version_and_age(now)
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
            self._link.state_bytes_since(request.version) if behind else None,
        )

    async def _call(self, address: str) -> None:
        request = self._request(address)
        sent = self._table.members()
        told = (self._table.own.incarnation, self._table.own.revision)
        sent_at = self._clock.now()
        reply = await self._peers.call(address, request, self._timeout)
        self._versions_by_address[address] = reply.version
        self._accept(request, sent, reply)
        if reply.roster == self._table.member_digest:
            self._acknowledged_by_address[address] = told
        else:
            self._acknowledged_by_address.pop(address, None)
        self._accept_configuration(reply, sent_at)

    def _request(self, address: str) -> Gossip:
        own = self._table.own
        told = self._acknowledged_by_address.get(address)
        version = self._version()
        known = self._versions_by_address.get(address)
        behind = known is not None and known < version
        return Gossip(
            own.id,
            own.incarnation,
            self._table.member_digest,
            own.heartbeat,
            tuple(own.heartbeat - heartbeat for heartbeat in self._table.heartbeats()),
            self._table.revisions(),
            None if told == (own.incarnation, own.revision) else own,
            version,
            self._link.state_bytes_since(known) if behind else None,
        )

    def _accept(self, request: Gossip, sent: list[tuple[str, int]], reply: GossipReply) -> None:
        now = self._clock.now()
        for state in reply.states:
            self._table.merge(state, now)
        if len(reply.newer) == len(sent):
            lines = zip(sent, request.heartbeats(), reply.newer)
            for (id, incarnation), heartbeat, more in lines:
                self._table.merge_heartbeat(id, incarnation, heartbeat + more, now)
        self._table.record_contact(reply.node, reply.incarnation, now)

    def _accept_configuration(self, reply: GossipReply, sent_at: datetime) -> None:
        self._install_configuration(reply.configuration)
        if reply.confirmed_age is not None:
            confirmed_at = sent_at - timedelta(seconds=reply.confirmed_age)
            self._link.confirm_version(reply.version, confirmed_at)

    def _install_configuration(self, data: bytes | None) -> None:
        """Hand over a configuration; one that cannot be used must not stop the heartbeats."""
        if data is None:
            return
        before = self._version()
        try:
            self._link.install_bytes(data)
        except MimosapointError as error:
            self._telemetry.event("configuration-refused", code=error.code, detail=error.detail)
        version = self._version()
        if version > before:
            self._version_from_peer = version

    def _same_roster(self, request: Gossip) -> bool:
        if request.roster != self._table.member_digest:
            return False
        known = len(self._table.records_by_id)
        return len(request.lags) == known == len(request.revisions)

    def _merge_heartbeats(self, heartbeats: tuple[int, ...], now: datetime) -> tuple[int, ...]:
        """Take in the caller's heartbeats and return how far this node's are ahead."""
        own = self._table.heartbeats()
        for (id, incarnation), heartbeat in zip(self._table.members(), heartbeats):
            self._table.merge_heartbeat(id, incarnation, heartbeat, now)
        return tuple(max(0, mine - theirs) for mine, theirs in zip(own, heartbeats))

    def _note_version(self, request: Gossip) -> None:
        record = self._table.records_by_id.get(request.node)
        if record is not None:
            self._versions_by_address[record.state.address] = request.version

    def _version(self) -> int:
        return self._link.version_and_age(self._clock.now())[0]
