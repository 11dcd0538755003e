"""Tests of the store and the peers with circuit breakers."""

from datetime import timedelta

import trio

from mimosapoint.errors import CircuitOpen, PeerUnreachable, StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.resilience.circuit_breaking import CircuitBreakingPeers, CircuitBreakingStore
from mimosapoint.testing import TrioTestCase

SECOND = timedelta(seconds=1)


class UnresponsivePeers:
    """Peers that do not reply; counts the calls."""

    def __init__(self):
        self.calls = 0

    async def call(self, address, message, timeout):
        self.calls += 1
        raise PeerUnreachable()


class CircuitBreakingTest(TrioTestCase):
    mock_clock = True

    async def test_outage_of_store_limits_calls_and_recovers_soon(self):
        clock = TrioClock()
        store = MemoryStore(clock)
        breaking_store = CircuitBreakingStore(store, clock)
        store.faults.refuse = True
        for _ in range(100):
            with self.assertRaises((StoreUnavailable, StoreTimeout)):
                await breaking_store.get("a")
            await trio.sleep(0.1)
        self.assertLessEqual(store.counts["get"], 16)
        store.faults.refuse = False
        await trio.sleep(1)
        self.assertIsNone(await breaking_store.get("a"))

    async def test_unresponsive_peer_delays_only_first_calls(self):
        clock, peers = TrioClock(), UnresponsivePeers()
        breaking_peers = CircuitBreakingPeers(peers, clock, frozenset({int}))
        errors = []
        for _ in range(10):
            try:
                await breaking_peers.call("p", "job", SECOND)
            except (PeerUnreachable, CircuitOpen) as error:
                errors.append(type(error))
        self.assertEqual([PeerUnreachable] * 5 + [CircuitOpen] * 5, errors)
        with self.assertRaises(PeerUnreachable):
            await breaking_peers.call("p", 1, SECOND)
        with self.assertRaises(PeerUnreachable):
            await breaking_peers.call("q", "job", SECOND)
