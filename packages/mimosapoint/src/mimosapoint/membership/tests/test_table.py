"""Tests of the table of nodes."""

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


def changed(**changes):
    return attrs.evolve(OTHER, **changes)


MERGES = {
    "same": (OTHER, OTHER, False),
    "older heartbeat": (changed(heartbeat=9), OTHER, False),
    "older revision": (changed(heartbeat=11, revision=2), changed(heartbeat=11), True),
    "newer heartbeat": (changed(heartbeat=11), changed(heartbeat=11), True),
    "older incarnation": (changed(incarnation=4, heartbeat=99, revision=9), OTHER, False),
    "newer incarnation": (changed(incarnation=6, heartbeat=1), None, True),
    "newer revision": (changed(revision=4, leaving=True), changed(revision=4, leaving=True), False),
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
            changed(incarnation=n % 3, heartbeat=n, revision=n // 2, leaving=n % 4 == 0)
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

    def test_own_state_outbids_an_earlier_process(self):
        self.table.merge(attrs.evolve(OWN, incarnation=9, heartbeat=7), NOW)
        self.assertEqual(self.table.own.incarnation, 10)

    def test_forgotten_node_returns_with_a_later_heartbeat_only(self):
        self.table.merge(OTHER, NOW)
        self.table.forget("other")
        self.table.merge(OTHER, NOW)
        self.assertNotIn("other", self.table.records_by_id)
        self.table.merge(changed(heartbeat=11), NOW)
        self.assertIn("other", self.table.records_by_id)

    def test_forgotten_nodes_are_bounded(self):
        for number in range(MAX_TOMBSTONES + 50):
            self.table.merge(changed(id=f"node-{number}"), NOW)
            self.table.forget(f"node-{number}")
        self.assertEqual(len(self.table._tombstones_by_id), MAX_TOMBSTONES)

    def test_roster_follows_ids_and_incarnations(self):
        rosters = [self.table.member_digest]
        for state in (OTHER, changed(incarnation=6)):
            self.table.merge(state, NOW)
            rosters.append(self.table.member_digest)
        self.assertEqual(len(set(rosters)), 3)
        self.table.merge(changed(incarnation=6, heartbeat=99, revision=9), NOW)
        self.assertEqual(self.table.member_digest, rosters[-1])
