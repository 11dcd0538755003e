"""Tests of the node directory: nodes of a cell find each other through the store."""

import trio

from mimosapoint.cell.node_directory import NodeDirectory
from mimosapoint.cell.settings import CellSettings
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

SETTINGS = CellSettings()
RENEWAL_SECONDS = SETTINGS.member_renewal.total_seconds()
TTL_SECONDS = SETTINGS.member_ttl.total_seconds()


class NodeDirectoryTest(TrioTestCase):
    mock_clock = True

    def setUp(self):
        self.telemetry = MemoryTelemetry(strict=True)

    def start(self, nursery, store, name):
        directory = NodeDirectory(name, f"{name}:1", store, SETTINGS, self.telemetry)
        scope = trio.CancelScope()

        async def run():
            with scope:
                await directory.run()

        nursery.start_soon(run)
        return directory, scope

    async def test_nodes_find_each_other_and_drop_killed_and_leaving_nodes(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            second, killed = self.start(nursery, store, "b")
            third, stopped = self.start(nursery, store, "c")
            await trio.sleep(RENEWAL_SECONDS + 1)
            self.assertEqual({"b": "b:1", "c": "c:1"}, first.addresses_by_node)
            stopped.cancel()
            await third.leave()
            await trio.sleep(RENEWAL_SECONDS + 1)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            killed.cancel()
            await trio.sleep(TTL_SECONDS + RENEWAL_SECONDS + 1)
            self.assertEqual({}, first.addresses_by_node)
            nursery.cancel_scope.cancel()

    async def test_a_leaving_node_does_not_register_again_while_it_stops(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            leaving, _ = self.start(nursery, store, "b")
            await trio.sleep(RENEWAL_SECONDS + 1)
            await leaving.leave()
            await trio.sleep(2 * RENEWAL_SECONDS + 1)
            self.assertEqual({}, first.addresses_by_node)
            nursery.cancel_scope.cancel()

    async def test_addresses_are_kept_while_the_store_is_unavailable(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            self.start(nursery, store, "b")
            await trio.sleep(RENEWAL_SECONDS + 1)
            store.faults.refuse = True
            await trio.sleep(2 * TTL_SECONDS)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            store.faults.refuse = False
            await trio.sleep(2 * RENEWAL_SECONDS + 1)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            nursery.cancel_scope.cancel()
