"""Tests of the node table."""

import random
import unittest
from datetime import datetime, timedelta, timezone

import attrs

from mimosapoint.membership import NodeState
from mimosapoint.membership._table import MAX_TOMBSTONES, NodeTable

NOW = datetime(2026, 12, 3, tzinfo=timezone.utc)
LATER = NOW + timedelta(seconds=1)
OWN = NodeState("own", 5, 1, 0, "canelones", "10.0.0.1:1")
OTHER = NodeState("other", 5, 10, 3, "canelones", "10.0.0.2:1")


def other_state(**changes):
    return attrs.evolve(OTHER, **changes)


MERGES = {
    "same": (OTHER, OTHER, False),
    "older heartbeat": (other_state(heartbeat=9), OTHER, False),
    "older revision": (other_state(heartbeat=11, revision=2), other_state(heartbeat=11), True),
    "newer heartbeat": (other_state(heartbeat=11), other_state(heartbeat=11), True),
    "older incarnation": (other_state(incarnation=4, heartbeat=99, revision=9), OTHER, False),
    "newer incarnation": (other_state(incarnation=6, heartbeat=1), None, True),
    "newer revision": (
        other_state(revision=4, leaving=True),
        other_state(revision=4, leaving=True),
        False,
    ),
}


class NodeTableTest(unittest.TestCase):
    def setUp(self):
        self.table = NodeTable(OWN, NOW)

    def test_merges(self):
        for name, (sent, expected, progressed) in MERGES.items():
            with self.subTest(name):
                self.setUp()
                self.table.merge(OTHER, NOW)
                self.table.merge(sent, LATER)
                record = self.table.records_by_id["other"]
                self.assertEqual(record.current(), expected or sent)
                self.assertEqual(record.progressed_at, LATER if progressed else None)

    def test_order_of_merges_does_not_matter(self):
        numbers = random.Random(1)
        states = [
            other_state(incarnation=n % 3, heartbeat=n, revision=n // 2, leaving=n % 4 == 0)
            for n in range(30)
        ]
        results = set()
        for _ in range(20):
            numbers.shuffle(states)
            self.setUp()
            for state in states:
                self.table.merge(state, NOW)
            current = self.table.records_by_id["other"].current()
            results.add((current.incarnation, current.heartbeat, current.revision, current.leaving))
        self.assertEqual(len(results), 1)

    def test_own_incarnation_exceeds_that_of_an_earlier_process(self):
        self.table.merge(attrs.evolve(OWN, incarnation=9, heartbeat=7), NOW)
        self.assertEqual(self.table.own.incarnation, 10)

    def test_removed_node_returns_with_a_later_heartbeat_only(self):
        self.table.merge(OTHER, NOW)
        self.table.remove("other")
        self.table.merge(OTHER, NOW)
        self.assertNotIn("other", self.table.records_by_id)
        self.table.merge(other_state(heartbeat=11), NOW)
        self.assertIn("other", self.table.records_by_id)

    def test_number_of_tombstones_is_bounded(self):
        for number in range(MAX_TOMBSTONES + 50):
            self.table.merge(other_state(id=f"node-{number}"), NOW)
            self.table.remove(f"node-{number}")
        self.assertEqual(len(self.table._tombstones_by_id), MAX_TOMBSTONES)

    def test_member_digest_depends_on_ids_and_incarnations_only(self):
        digests = [self.table.member_digest]
        for state in (OTHER, other_state(incarnation=6)):
            self.table.merge(state, NOW)
            digests.append(self.table.member_digest)
        self.assertEqual(len(set(digests)), 3)
        self.table.merge(other_state(incarnation=6, heartbeat=99, revision=9), NOW)
        self.assertEqual(self.table.member_digest, digests[-1])
