"""Freshness of the configuration while no node can reach the store."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.errors import MimosapointError
from mimosapoint.peers import Dispatcher, peer_message
from mimosapoint.ports import Clock, Peers, Telemetry

__all__ = ["StoreOutageDetector", "StoreProbe", "StoreProbeReply"]

PROBE_INTERVAL = timedelta(milliseconds=500)
"""Time between two rounds of probes while the store is unreachable."""

PROBE_TIMEOUT = timedelta(milliseconds=800)
"""Time that each node has to answer a probe."""


@attrs.frozen
class StoreProbeReply:
    """State of the store as seen by a node.

    :param cut_off: whether the node cannot reach the store and has no commit in progress.
    :param version: version in force on the node.
    """

    cut_off: bool
    version: int


@peer_message("store-probe", reply=StoreProbeReply)
@attrs.frozen
class StoreProbe:
    """Asks whether the receiver can reach the store."""


class StoreOutageDetector:
    """Confirms the version in force while no node can reach the store.

    Versions are committed only through the store and only by nodes. If every node known from the
    platform's VM list or from gossip replies that it is cut off and has no newer version, then no
    newer version was committed before the probes were sent. If one node does not reply, nothing
    is confirmed.

    :param service: configuration service of this node.
    :param addresses: returns the peer addresses of all other known nodes.
    """

    def __init__(
        self,
        service: ConfigurationService,
        addresses: Callable[[], list[str]],
        peers: Peers,
        dispatcher: Dispatcher,
        *,
        clock: Clock,
        telemetry: Telemetry,
    ):
        self._service = service
        self._addresses = addresses
        self._peers = peers
        self._clock = clock
        self._telemetry = telemetry
        dispatcher.handle(StoreProbe, self._handle_probe)

    async def _handle_probe(self, _: StoreProbe) -> StoreProbeReply:
        return StoreProbeReply(self._service.cut_off, self._service.current.version)

    async def run(self) -> None:
        """Probe the other nodes periodically while this node is cut off, until cancelled."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            if self._service.cut_off:
                await self.probe_peers()

    async def probe_peers(self) -> bool:
        """Probe every other node once and confirm the version in force if possible.

        :returns: whether every other node is cut off and has no newer version.
        """
        sent_at = self._clock.now()
        version = self._service.current.version
        replies: list[StoreProbeReply] = []
        addresses = self._addresses()
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._probe_peer, address, replies)
        no_newer_version = len(replies) == len(addresses) and all(
            reply.cut_off and reply.version <= version for reply in replies
        )
        if no_newer_version and self._service.cut_off:
            self._confirm(version, sent_at)
        return no_newer_version

    async def _probe_peer(self, address: str, replies: list[StoreProbeReply]) -> None:
        try:
            replies.append(await self._peers.call(address, StoreProbe(), PROBE_TIMEOUT))
        except MimosapointError:
            return

    def _confirm(self, version: int, sent_at: datetime) -> None:
        self._telemetry.count("outage_confirmations_total")
        self._service.accept_confirmation(version, sent_at)
