"""Tests of the preferred owners of zones."""

import unittest
from collections import Counter

from mimosapoint.membership import preferred_owner, preferred_owners, ranked_nodes
from mimosapoint.model import Vm, VmKind

ZONES = ("mvd-centro", "mvd-cerro", "canelones", "maldonado", "klang-a", "klang-b", "sepang-c")
REGIONS_BY_ZONE = {
    zone: "my-central" if zone.startswith(("klang", "sepang")) else "uy-sur" for zone in ZONES
}


def nodes(zones):
    """Return one node for each item of a list of zones, by id."""
    vms = (Vm(f"node-{n}", VmKind.ENTRY, zone, f"10.0.0.{n}:1") for n, zone in enumerate(zones))
    return {vm.id: vm for vm in vms}


class PreferredOwnerTest(unittest.TestCase):
    def test_order_of_preference(self):
        cases = (
            ("klang-a", ["mvd-cerro", "klang-a", "klang-b"], "klang-a"),
            ("klang-a", ["mvd-cerro", "klang-b", "mvd-centro"], "klang-b"),
            ("klang-a", ["mvd-cerro"], "mvd-cerro"),
        )
        for zone, zones, expected in cases:
            with self.subTest(zones=zones):
                candidates = nodes(zones)
                owner = preferred_owner(zone, candidates, REGIONS_BY_ZONE)
                self.assertEqual(candidates[owner].zone, expected)
        self.assertIsNone(preferred_owner("klang-a", {}))

    def test_order_of_the_mapping_does_not_matter(self):
        candidates = nodes(ZONES * 4)
        backwards = dict(reversed(candidates.items()))
        for zone in ZONES:
            self.assertEqual(ranked_nodes(zone, candidates), ranked_nodes(zone, backwards))

    def test_loss_of_a_node_moves_only_what_it_owned(self):
        candidates = nodes(["elsewhere"] * 12)
        zones = [f"zone-{number}" for number in range(200)]
        before = {zone: preferred_owner(zone, candidates) for zone in zones}
        failed = before[zones[0]]
        remaining = {id: vm for id, vm in candidates.items() if id != failed}
        for zone in zones:
            if before[zone] != failed:
                self.assertEqual(preferred_owner(zone, remaining), before[zone])

    def test_owners_are_balanced(self):
        cases = ((ZONES, ZONES), (ZONES, ZONES[:2]), (ZONES, ["mvd-cerro"] * 4), (ZONES, ZONES * 7))
        for zones, node_zones in cases:
            with self.subTest(nodes=len(node_zones)):
                candidates = nodes(node_zones)
                owners = preferred_owners(zones, candidates, REGIONS_BY_ZONE)
                max_zones_per_node = max(Counter(owners.values()).values())
                self.assertEqual(set(owners), set(zones))
                self.assertLessEqual(max_zones_per_node, -(-len(zones) // len(candidates)))
        self.assertEqual(preferred_owners(ZONES, {}), {})
