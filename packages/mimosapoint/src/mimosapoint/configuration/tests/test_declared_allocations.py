"""Tests of the declared allocations of guarantees."""

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
from mimosapoint.configuration.tests._sites import WORKER, make_configuration, rack_gang
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
WITHDRAWN_ZONES = st.sets(st.sampled_from(ZONES))


def with_withdrawn_zones(configuration, withdrawn):
    zones = {
        id: attrs.evolve(zone, mode=ZoneMode.OUT if id in withdrawn else ZoneMode.IN_SERVICE)
        for id, zone in configuration.zones_by_id.items()
    }
    return attrs.evolve(configuration, zones_by_id=zones)


def allocated_by_worker(configuration):
    """Return the resources allocated on each worker, by zone, rack and worker index."""
    guarantees_by_id = {g.id: g for g in configuration.workspaces_by_id["desk"].guarantees}
    allocated = {}
    for key, allocation in allocate_guarantees(configuration).items():
        shape = guarantees_by_id[key.guarantee].shape
        for rack, worker, count in allocation.tasks:
            for _ in range(count):
                worker_key = (allocation.zone, rack, worker)
                allocated[worker_key] = allocated.get(worker_key, Resources(0, 0, 0, 0)) + shape
    return allocated


class PropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(GUARANTEES, WITHDRAWN_ZONES)
    def test_allocations_never_overlap_and_respect_adjacency(self, drawn, withdrawn):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = with_withdrawn_zones(
            make_configuration(*guarantees, zones=ZONES, racks=2), withdrawn
        )
        for allocated in allocated_by_worker(configuration).values():
            self.assertTrue(allocated.fits_in(WORKER), allocated)
        guarantees_by_id = {g.id: g for g in guarantees}
        for key, allocation in allocate_guarantees(configuration).items():
            guarantee = guarantees_by_id[key.guarantee]
            self.assertEqual(sum(count for _, _, count in allocation.tasks), guarantee.gang)
            self.assertEqual(
                allocation.racks, tuple(sorted({rack for rack, _, _ in allocation.tasks}))
            )
            self.assertIn(allocation.zone, guarantee.zones or ZONES)
            if guarantee.adjacency is Adjacency.RACK:
                self.assertEqual(len(allocation.racks), 1)
            if guarantee.adjacency is Adjacency.WORKER:
                self.assertEqual(len(allocation.tasks), 1)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(GUARANTEES, WITHDRAWN_ZONES)
    def test_equal_configurations_get_equal_allocations(self, drawn, withdrawn):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = with_withdrawn_zones(
            make_configuration(*guarantees, zones=ZONES, racks=2), withdrawn
        )
        copied = decode(encode(configuration), Configuration)
        self.assertEqual(allocate_guarantees(configuration), allocate_guarantees(copied))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(GUARANTEES, WITHDRAWN_ZONES)
    def test_a_zone_out_loses_no_home(self, drawn, withdrawn):
        guarantees = [Guarantee(f"g{n}", *rest) for n, rest in enumerate(drawn)]
        configuration = make_configuration(*guarantees, zones=ZONES, racks=2)
        self.assertEqual(
            allocate_guarantees(configuration).keys(),
            allocate_guarantees(with_withdrawn_zones(configuration, withdrawn)).keys(),
        )


class ReallocationTest(unittest.TestCase):
    def zones(self, configuration):
        return Counter(
            allocation.zone for allocation in allocate_guarantees(configuration).values()
        )

    def test_allocations_leave_a_withdrawn_zone_and_others_stay(self):
        configuration = make_configuration(rack_gang("g", 4, 6), zones=ZONES)
        before = allocate_guarantees(configuration)
        after = allocate_guarantees(with_withdrawn_zones(configuration, {"a"}))
        self.assertEqual({allocation.zone for allocation in after.values()}, {"b", "c"})
        for key, allocation in before.items():
            if allocation.zone != "a":
                with self.subTest(key=key):
                    self.assertEqual(after[key], allocation)

    def test_other_allocations_move_if_necessary(self):
        flexible = rack_gang("free", 8, 2)
        restricted = rack_gang("bound", 16, 1, ("a", "b"))
        configuration = make_configuration(restricted, flexible, zones=ZONES)
        before = allocate_guarantees(configuration)
        self.assertEqual(before[GuaranteeInstanceKey("desk", "bound", 0)].zone, "a")
        after = allocate_guarantees(with_withdrawn_zones(configuration, {"a"}))
        self.assertEqual(after[GuaranteeInstanceKey("desk", "bound", 0)].zone, "b")
        self.assertEqual({allocation.zone for allocation in after.values()}, {"b", "c"})

    def test_allocation_without_other_capacity_stays_in_withdrawn_zone(self):
        configuration = with_withdrawn_zones(
            make_configuration(rack_gang("g", 16, 3), zones=ZONES), {"b"}
        )
        self.assertEqual(self.zones(configuration), {"a": 1, "b": 1, "c": 1})

    def test_the_search_finds_what_first_fit_misses(self):
        sizes = (8, 7, 6, 5, 4, 2)  # two racks of 16 hold 8 + 6 + 2 and 7 + 5 + 4
        guarantees = [rack_gang(f"g{n}", size) for n, size in enumerate(sizes)]
        self.assertEqual(len(allocate_guarantees(make_configuration(*guarantees))), len(sizes))

    def test_result_is_cached(self):
        configuration = make_configuration(rack_gang("g", 4, 6))
        self.assertIs(allocate_guarantees(configuration), allocate_guarantees(configuration))
