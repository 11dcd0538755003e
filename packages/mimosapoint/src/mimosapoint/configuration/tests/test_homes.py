"""Tests of the homes of guarantees."""

import unittest
from collections import Counter

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapoint.codec import decode, encode
from mimosapoint.configuration import (
    Configuration,
    Guarantee,
    GuaranteeInstanceKey,
    ZoneMode,
    allocate_guarantees,
)
from mimosapoint.configuration.tests._sites import WORKER, rack_gang, site
from mimosapoint.model import Adjacency, Resources

ZONES = ("a", "b", "c")
SHAPES = st.builds(
    Resources,
    slots=st.integers(1, 8),
    cores=st.integers(0, 128),
    memory_gib=st.integers(0, 256),
    accelerators=st.integers(0, 8),
)
GUARANTEES = st.lists(
    st.tuples(
        st.integers(1, 24),
        SHAPES,
        st.sampled_from(Adjacency),
        st.integers(1, 3),
        st.sets(st.sampled_from(ZONES)).map(sorted).map(tuple),
    ),
    max_size=8,
)
OUT = st.sets(st.sampled_from(ZONES))


def with_out(configuration, out):
    zones = {
        id: attrs.evolve(zone, mode=ZoneMode.OUT if id in out else ZoneMode.IN_SERVICE)
        for id, zone in configuration.zones_by_id.items()
    }
    return attrs.evolve(configuration, zones_by_id=zones)


def used_by_worker(configuration):
    """Return what the homes take of each worker."""
    guarantees_by_id = {g.id: g for g in configuration.workspaces_by_id["desk"].guarantees}
    used = {}
    for key, home in allocate_guarantees(configuration).items():
        shape = guarantees_by_id[key.guarantee].shape
        for rack, worker, count in home.tasks:
            for _ in range(count):
                place = (home.zone, rack, worker)
                used[place] = used.get(place, Resources(0, 0, 0, 0)) + shape
    return used


class PropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(GUARANTEES, OUT)
    def test_homes_never_overlap_and_keep_adjacency(self, drawn, out):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = with_out(site(*guarantees, zones=ZONES, racks=2), out)
        for used in used_by_worker(configuration).values():
            self.assertTrue(used.fits_in(WORKER), used)
        guarantees_by_id = {g.id: g for g in guarantees}
        for key, home in allocate_guarantees(configuration).items():
            guarantee = guarantees_by_id[key.guarantee]
            self.assertEqual(sum(count for _, _, count in home.tasks), guarantee.gang)
            self.assertEqual(home.racks, tuple(sorted({rack for rack, _, _ in home.tasks})))
            self.assertIn(home.zone, guarantee.zones or ZONES)
            if guarantee.adjacency is Adjacency.RACK:
                self.assertEqual(len(home.racks), 1)
            if guarantee.adjacency is Adjacency.WORKER:
                self.assertEqual(len(home.tasks), 1)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(GUARANTEES, OUT)
    def test_every_node_works_out_the_same_homes(self, drawn, out):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = with_out(site(*guarantees, zones=ZONES, racks=2), out)
        copied = decode(encode(configuration), Configuration)
        self.assertEqual(allocate_guarantees(configuration), allocate_guarantees(copied))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(GUARANTEES, OUT)
    def test_a_zone_out_loses_no_home(self, drawn, out):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = site(*guarantees, zones=ZONES, racks=2)
        self.assertEqual(
            allocate_guarantees(configuration).keys(),
            allocate_guarantees(with_out(configuration, out)).keys(),
        )


class RehomeTest(unittest.TestCase):
    def zones(self, configuration):
        return Counter(home.zone for home in allocate_guarantees(configuration).values())

    def test_homes_of_a_zone_out_move_where_there_is_room_and_the_others_stay(self):
        configuration = site(rack_gang("g", 4, 6), zones=ZONES)
        before = allocate_guarantees(configuration)
        after = allocate_guarantees(with_out(configuration, {"a"}))
        self.assertEqual({home.zone for home in after.values()}, {"b", "c"})
        for key, home in before.items():
            if home.zone != "a":
                with self.subTest(key=key):
                    self.assertEqual(after[key], home)

    def test_others_move_when_only_that_makes_room(self):
        free = rack_gang("free", 8, 2)
        bound = rack_gang("bound", 16, 1, ("a", "b"))
        configuration = site(bound, free, zones=ZONES)
        before = allocate_guarantees(configuration)
        self.assertEqual(before[GuaranteeInstanceKey("desk", "bound", 0)].zone, "a")
        after = allocate_guarantees(with_out(configuration, {"a"}))
        self.assertEqual(after[GuaranteeInstanceKey("desk", "bound", 0)].zone, "b")
        self.assertEqual({home.zone for home in after.values()}, {"b", "c"})

    def test_what_has_no_room_keeps_its_home_in_the_zone_out(self):
        configuration = with_out(site(rack_gang("g", 16, 3), zones=ZONES), {"b"})
        self.assertEqual(self.zones(configuration), {"a": 1, "b": 1, "c": 1})

    def test_the_search_finds_what_first_fit_misses(self):
        sizes = (8, 7, 6, 5, 4, 2)  # two racks of 16 hold 8 + 6 + 2 and 7 + 5 + 4
        guarantees = [rack_gang(f"g{n}", size) for n, size in enumerate(sizes)]
        self.assertEqual(len(allocate_guarantees(site(*guarantees))), len(sizes))

    def test_the_result_is_remembered(self):
        configuration = site(rack_gang("g", 4, 6))
        self.assertIs(allocate_guarantees(configuration), allocate_guarantees(configuration))
