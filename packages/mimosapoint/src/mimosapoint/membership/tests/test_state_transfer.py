"""Tests of the transfer of a large configuration in parts."""

from datetime import datetime, timedelta, timezone
from random import Random

import trio

from mimosapoint.errors import Overloaded, PeerUnreachable
from mimosapoint.membership._state_transfer import (
    MAX_TRANSFERS,
    PART_BYTES,
    PART_TIMEOUT,
    StateFetcher,
    StateServer,
)
from mimosapoint.membership.messages import ConfigurationPart
from mimosapoint.membership.tests._cluster import FakeConfiguration
from mimosapoint.memory import TrioClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
PARTS = 20


class ServedPeers:
    """Peers with a version each, of which a call may fail."""

    def __init__(self, clock, *versions):
        self.configurations = []
        self.offsets = []
        self.before_call = lambda number: None
        self._servers = []
        for version in versions:
            configuration = FakeConfiguration(clock, lambda _: None)
            configuration.install(version)
            configuration.size = PARTS * PART_BYTES
            self.configurations.append(configuration)
            self._servers.append(StateServer(clock, configuration))

    async def call(self, address, message, timeout):
        await trio.sleep(0.01)
        self.before_call(len(self.offsets))
        reply = self._servers[int(address)].serve(message)
        self.offsets.append(reply.offset)
        return reply


class StateTransferTest(TrioTestCase):
    mock_clock = True

    def set_up(self, *versions):
        self.clock = TrioClock(START)
        self.peers = ServedPeers(self.clock, *versions)
        self.telemetry = MemoryTelemetry(strict=True)
        self.installed = []
        own = FakeConfiguration(self.clock, self.installed.append)
        self.usable = True

        def install(data):
            if self.usable:
                own.install_bytes(data)
            return self.usable

        self.fetcher = StateFetcher(
            "own", self.peers, self.clock, own, self.telemetry, Random(1), install
        )

    async def fetch(self, seconds=10.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetcher.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    # Guards against a retry that begins the same transfer anew.
    async def test_a_failed_transfer_goes_on_at_another_peer(self):
        self.set_up(2, 2)

        def fail(number):
            if number in (5, 12) and not fail.numbers.count(number):
                fail.numbers.append(number)
                raise PeerUnreachable("no reply")

        fail.numbers = []
        self.peers.before_call = fail
        for address in ("0", "1"):
            self.fetcher.add_source(address, 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetch)
            await trio.sleep(5)
            self.fetcher.add_source("0", 2)
        self.assertEqual([number * PART_BYTES for number in range(PARTS)], self.peers.offsets)
        self.assertEqual([2], self.installed)
        self.assertEqual(2, self.telemetry.event_names().count("configuration-fetch-failed"))

    # Guards against a transfer that never ends while operators change the configuration.
    async def test_a_version_that_changes_during_the_transfer_arrives(self):
        self.set_up(2)

        def change(number):
            if number < 3 * PARTS:
                self.peers.configurations[0].install(2 + number)

        self.peers.before_call = change
        self.fetcher.add_source("0", 2)
        await self.fetch()
        self.assertEqual([2], self.installed)
        self.assertEqual(PARTS, len(self.peers.offsets))

    # Guards against a configuration that cannot be used and is fetched again and again.
    async def test_a_refused_configuration_is_fetched_once(self):
        self.set_up(2)
        self.usable = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetch)
            for _ in range(20):
                self.fetcher.add_source("0", 2)
                await trio.sleep(0.4)
        self.assertEqual(PARTS, len(self.peers.offsets))

    # Guards against heartbeats that wait for the parts of many transfers on a slow link.
    async def test_the_number_of_transfers_is_bounded(self):
        self.set_up(2)
        server = StateServer(self.clock, self.peers.configurations[0])
        for number in range(MAX_TRANSFERS):
            server.serve(ConfigurationPart(f"n{number}", 1))
        with self.assertRaises(Overloaded):
            server.serve(ConfigurationPart("late", 1))
        self.assertEqual(PART_BYTES, len(server.serve(ConfigurationPart("n0", 1)).part))
        await trio.sleep((3 * PART_TIMEOUT) / timedelta(seconds=1))
        self.assertEqual(PART_BYTES, len(server.serve(ConfigurationPart("late", 1)).part))
