"""Tests of the guarded ports."""

from datetime import timedelta

import trio

from mimosapoint.errors import CircuitOpen, PeerUnreachable, StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.resilience.circuit_breaking import CircuitBreakingPeers, CircuitBreakingStore
from mimosapoint.testing import TrioTestCase

SECOND = timedelta(seconds=1)


class UnresponsivePeers:
    """Peers that do not answer, and count the calls."""

    def __init__(self):
        self.calls = 0

    async def call(self, address, message, timeout):
        self.calls += 1
        raise PeerUnreachable()


class GuardedTest(TrioTestCase):
    mock_clock = True

    async def test_an_outage_takes_few_calls_and_is_over_soon(self):
        clock = TrioClock()
        store = MemoryStore(clock)
        guarded = CircuitBreakingStore(store, clock)
        store.faults.refuse = True
        for _ in range(100):
            with self.assertRaises((StoreUnavailable, StoreTimeout)):
                await guarded.get("a")
            await trio.sleep(0.1)
        self.assertLessEqual(store.counts["get"], 16)
        store.faults.refuse = False
        await trio.sleep(1)
        self.assertIsNone(await guarded.get("a"))

    async def test_a_silent_peer_holds_up_only_the_first_calls(self):
        clock, peers = TrioClock(), UnresponsivePeers()
        guarded = CircuitBreakingPeers(peers, clock, frozenset({int}))
        errors = []
        for _ in range(10):
            try:
                await guarded.call("p", "job", SECOND)
            except (PeerUnreachable, CircuitOpen) as error:
                errors.append(type(error))
        self.assertEqual([PeerUnreachable] * 5 + [CircuitOpen] * 5, errors)
        with self.assertRaises(PeerUnreachable):
            await guarded.call("p", 1, SECOND)
        with self.assertRaises(PeerUnreachable):
            await guarded.call("q", "job", SECOND)
