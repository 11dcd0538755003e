"""Tests of exchanges in progress, with peers whose replies take a chosen time."""

from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.membership._exchange import Exchanger
from mimosapoint.membership._table import NodeTable
from mimosapoint.membership.configuration_source import NullConfigurationSource
from mimosapoint.membership.messages import GossipReply, NodeState
from mimosapoint.memory import TrioClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
PEER = "10.0.0.1:7000"


class DelayedPeers:
    """Replies to each call after the next of the given delays, in seconds."""

    def __init__(self, *delays):
        self._delays = list(delays)

    async def call(self, address, message, timeout):
        await trio.sleep(self._delays.pop(0))
        return GossipReply("other", 1, "roster")


class ExchangerTest(TrioTestCase):
    mock_clock = True

    def make_exchanger(self, peers):
        own = NodeState("own", 1, 0, 0, "a", "10.0.0.0:7000")
        clock = TrioClock(START)
        return Exchanger(
            NodeTable(own, clock.now()),
            peers,
            clock,
            NullConfigurationSource(),
            MemoryTelemetry(strict=True),
            timedelta(seconds=1),
        )

    # Guards against further rounds to a peer that has not replied to the last one.
    async def test_a_peer_is_idle_only_after_its_last_exchange(self):
        exchanger = self.make_exchanger(DelayedPeers(0.8, 0.2))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchanger.exchange, PEER)
            await trio.sleep(0.1)
            await exchanger.exchange(PEER, concurrent=True)
            self.assertFalse(exchanger.is_idle(PEER))
        self.assertTrue(exchanger.is_idle(PEER))
