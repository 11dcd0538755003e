"""Freshness while the store is out for everyone."""

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
"""Time between two rounds of questions while the store is out of reach."""

PROBE_TIMEOUT = timedelta(milliseconds=800)
"""Time in which every node has to answer."""


@attrs.frozen
class StoreProbeReply:
    """What a node knows of the store.

    :param cut_off: whether it cannot reach the store and has no write under way.
    :param version: version that it has in force.
    """

    cut_off: bool
    version: int


@peer_message("store-probe", reply=StoreProbeReply)
@attrs.frozen
class StoreProbe:
    """Asks whether the receiver reaches the store."""


class StoreOutageDetector:
    """Finds out that no newer version can exist, because nobody reaches the store.

    Versions are committed only through the store and only by nodes. If every node that the
    platform's list or the gossip shows answers that it is cut off and has nothing newer, none
    was committed before the questions were sent. One silent node leaves the question open.

    :param service: holder of the configuration.
    :param addresses: returns the peer address of every other known node.
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
        dispatcher.handle(StoreProbe, self._answer)

    async def _answer(self, _: StoreProbe) -> StoreProbeReply:
        return StoreProbeReply(self._service.cut_off, self._service.current.version)

    async def run(self) -> None:
        """Ask while this node is cut off from the store, until cancelled."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            if self._service.cut_off:
                await self.probe_peers()

    async def probe_peers(self) -> bool:
        """Ask every node once; tell whether the version in force was confirmed."""
        sent_at = self._clock.now()
        version = self._service.current.version
        replies: list[StoreProbeReply] = []
        addresses = self._addresses()
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._probe_peer, address, replies)
        agreed = len(replies) == len(addresses) and all(
            reply.cut_off and reply.version <= version for reply in replies
        )
        if agreed and self._service.cut_off:
            self._confirm(version, sent_at)
        return agreed

    async def _probe_peer(self, address: str, replies: list[StoreProbeReply]) -> None:
        try:
            replies.append(await self._peers.call(address, StoreProbe(), PROBE_TIMEOUT))
        except MimosapointError:
            return

    def _confirm(self, version: int, sent_at: datetime) -> None:
        self._telemetry.count("outage_confirmations_total")
        self._service.accept_confirmation(version, sent_at)
