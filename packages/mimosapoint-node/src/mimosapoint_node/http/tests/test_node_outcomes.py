"""Tests of the memory of which nodes served."""

import unittest
from random import Random

import trio
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http._node_outcomes import OUTCOME_MEMORY_SECONDS, NodeOutcomes


class NodeOutcomesTest(TrioTestCase):
    mock_clock = True

    def setUp(self):
        self.outcomes = NodeOutcomes(Random(1))

    async def record(self, node, served):
        self.outcomes.record(node, served)
        await trio.sleep(0.1)

    # Guards against nodes that are tried last although they served meanwhile, or the reverse.
    async def test_order_follows_the_last_outcome(self):
        await self.record("failed-first", False)
        await self.record("failed-last", True)
        await self.record("failed-last", False)
        await self.record("served", False)
        await self.record("served", True)
        nodes = ["failed-last", "unknown", "failed-first", "served"]
        order = ["served", "unknown", "failed-first", "failed-last"]
        self.assertEqual(order, self.outcomes.order(nodes))

    # Guards against a node whose outcome of long ago decides for ever.
    async def test_outcomes_are_forgotten_after_a_time(self):
        await self.record("failed", False)
        await self.record("served", True)
        await trio.sleep(OUTCOME_MEMORY_SECONDS)
        first_nodes = {self.outcomes.order(["failed", "unknown", "served"])[0] for _ in range(50)}
        self.assertEqual({"failed", "unknown", "served"}, first_nodes)
        self.assertFalse(self.outcomes.all_failed(["failed"]))

    # Guards against a memory that grows with every node that was ever known.
    async def test_nodes_that_left_are_forgotten(self):
        for number in range(1000):
            self.outcomes.order([f"n{number}", "stays"])
            self.outcomes.record(f"n{number}", True)
            self.outcomes.record("stays", False)
        self.assertLessEqual(len(self.outcomes), 3)

    # Guards against a back-off while a node that may serve is left, and against none without one.
    async def test_all_failed_is_about_the_current_nodes(self):
        self.assertFalse(self.outcomes.all_failed(["a"]))
        await self.record("a", False)
        self.assertTrue(self.outcomes.all_failed(["a"]))
        self.assertFalse(self.outcomes.all_failed(["a", "b"]))
        await self.record("b", True)
        self.assertFalse(self.outcomes.all_failed(["a", "b"]))


if __name__ == "__main__":
    unittest.main()
