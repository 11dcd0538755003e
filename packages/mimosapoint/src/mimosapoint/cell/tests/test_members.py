"""The nodes of a cell know each other by the store."""

import trio

from mimosapoint.cell.node_directory import NodeDirectory
from mimosapoint.cell.settings import CellSettings
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

SETTINGS = CellSettings()
POLL = SETTINGS.member_renewal.total_seconds()
TTL = SETTINGS.member_ttl.total_seconds()


class MembersTest(TrioTestCase):
    mock_clock = True

    def setUp(self):
        self.telemetry = MemoryTelemetry(strict=True)

    def start(self, nursery, store, name):
        members = NodeDirectory(name, f"{name}:1", store, SETTINGS, self.telemetry)
        scope = trio.CancelScope()

        async def run():
            with scope:
                await members.run()

        nursery.start_soon(run)
        return members, scope

    async def test_nodes_find_each_other_and_forget_those_that_died_or_left(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            second, killed = self.start(nursery, store, "b")
            third, stopped = self.start(nursery, store, "c")
            await trio.sleep(POLL + 1)
            self.assertEqual({"b": "b:1", "c": "c:1"}, first.addresses_by_node)
            stopped.cancel()
            await third.leave()
            await trio.sleep(POLL + 1)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            killed.cancel()
            await trio.sleep(TTL + POLL + 1)
            self.assertEqual({}, first.addresses_by_node)
            nursery.cancel_scope.cancel()

    async def test_a_node_that_leaves_does_not_come_back_while_it_stops(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            leaving, _ = self.start(nursery, store, "b")
            await trio.sleep(POLL + 1)
            await leaving.leave()
            await trio.sleep(2 * POLL + 1)
            self.assertEqual({}, first.addresses_by_node)
            nursery.cancel_scope.cancel()

    async def test_the_others_are_remembered_while_the_store_is_away(self):
        store = MemoryTransactionStore(TrioClock())
        async with trio.open_nursery() as nursery:
            first, _ = self.start(nursery, store, "a")
            self.start(nursery, store, "b")
            await trio.sleep(POLL + 1)
            store.faults.refuse = True
            await trio.sleep(2 * TTL)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            store.faults.refuse = False
            await trio.sleep(2 * POLL + 1)
            self.assertEqual({"b": "b:1"}, first.addresses_by_node)
            nursery.cancel_scope.cancel()
