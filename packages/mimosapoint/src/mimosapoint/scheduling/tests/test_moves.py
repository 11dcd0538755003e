"""Tests of zone summaries, moves to other zones and the drain order."""

import unittest
from datetime import timedelta

import attrs

from mimosapoint.configuration import Guarantee, Service, Zone, ZoneMode
from mimosapoint.model import Adjacency, JobClass
from mimosapoint.scheduling import ZoneSummary, make_policy, summarize
from mimosapoint.scheduling.moves import MAX_MOVES
from mimosapoint.scheduling.tests._zone import FakeZoneOwner, configuration, task_resources

ZONE_WITH_CAPACITY = ZoneSummary(
    "b", True, 48, 48, 48, tasks_by_size={1: (24, 48), 2: (12, 24), 4: (6, 12), 8: (3, 6)}
)


def two_zones(policy: str = "zone-moves", **guarantees) -> FakeZoneOwner:
    """Return the owner of a full zone ``a``, with a zone ``b`` that has free capacity."""
    document = configuration(guarantees=guarantees or None)
    zones = dict(document.zones_by_id)
    zones["b"] = Zone("region", zones["a"].capacity)
    zone = FakeZoneOwner(make_policy(policy), attrs.evolve(document, zones_by_id=zones))
    for _ in range(6):
        zone.submit("borrower", accelerators=8, interruptible=False)
        zone.submit("borrower", accelerators=8)
    zone.step()
    zone.view.waiting.clear()
    zone.view.other_zones_by_id = {"b": ZONE_WITH_CAPACITY}
    return zone


def planned_moves(zone: FakeZoneOwner, seconds: float) -> list[tuple[str, str]]:
    return [(move.job, move.zone) for move in zone.decide(seconds).moves]


class BalanceTest(unittest.TestCase):
    def test_conditions_for_a_move(self):
        stale = attrs.evolve(ZONE_WITH_CAPACITY, age=60.0)
        out = attrs.evolve(ZONE_WITH_CAPACITY, in_service=False)
        full = attrs.evolve(ZONE_WITH_CAPACITY, free_accelerators=0, tasks_by_size={1: (0, 0)})
        fragmented = attrs.evolve(ZONE_WITH_CAPACITY, tasks_by_size={1: (24, 48), 8: (1, 2)})
        cases = (
            ("capacity elsewhere", {"b": ZONE_WITH_CAPACITY}, {}, 1),
            ("no other zone", {}, {}, 0),
            ("stale summary", {"b": stale}, {}, 0),
            ("withdrawn zone", {"b": out}, {}, 0),
            ("no capacity", {"b": full}, {}, 0),
            ("no adjacent capacity", {"b": fragmented}, {"gang": 2, "accelerators": 8}, 0),
            ("not allowed there", {"b": ZONE_WITH_CAPACITY}, {"zones": ("a",)}, 0),
        )
        for name, others, fields, count in cases:
            with self.subTest(name):
                zone = two_zones()
                zone.view.other_zones_by_id = others
                fields.setdefault("accelerators", 8)
                zone.submit("borrower", **fields)
                zone.decide(1)
                self.assertEqual(count, len(planned_moves(zone, 30)))

    def test_a_job_waits_before_its_first_move_and_stays_after_the_maximum(self):
        zone = two_zones()
        job = zone.submit("borrower", accelerators=8)
        self.assertEqual([], planned_moves(zone, 1))
        self.assertEqual([(job, "b")], planned_moves(zone, 10))
        zone.view.waiting[0] = attrs.evolve(zone.view.waiting[0], moves=MAX_MOVES)
        zone.view.other_zones_by_id = {"b": attrs.evolve(ZONE_WITH_CAPACITY, age=0.0)}
        self.assertEqual([], planned_moves(zone, 86_400))

    def test_only_a_share_of_the_free_capacity_is_used_before_the_next_summary(self):
        zone = two_zones()
        for _ in range(10):
            zone.submit("borrower", accelerators=8)
        zone.decide(1)
        self.assertEqual(3, len(planned_moves(zone, 30)))

    def test_a_summary_that_is_always_fresh_resets_the_deductions(self):
        zone = two_zones()
        zone.view.other_zones_by_id = {"b": attrs.evolve(ZONE_WITH_CAPACITY, free_accelerators=16)}
        for _ in range(2):
            zone.submit("borrower", accelerators=8)
        zone.decide(1)
        (moved,) = planned_moves(zone, 30)
        zone.view.waiting = [record for record in zone.view.waiting if record.id != moved[0]]
        self.assertEqual(1, len(planned_moves(zone, 1)))

    def test_a_gang_moves_to_a_zone_where_its_guarantee_is_unclaimed(self):
        guarantees = {
            "north": (Guarantee("g", 2, task_resources(8), zones=("b",)),),
            "borrower": (),
        }
        zone = two_zones(**guarantees)
        zone.view.other_zones_by_id = {
            "b": attrs.evolve(
                ZONE_WITH_CAPACITY,
                free_accelerators=0,
                tasks_by_size={},
                unclaimed_by_guarantee={"north/g": 1},
            )
        }
        job = zone.submit("north", 2, 8)
        zone.submit("north", 2, 8)
        zone.decide(1)
        self.assertEqual([(job, "b")], planned_moves(zone, 30), "there is one unclaimed instance")


class LoadBalancingTest(unittest.TestCase):
    def test_jobs_move_from_a_long_queue_to_a_zone_with_a_short_one(self):
        busy = attrs.evolve(
            ZONE_WITH_CAPACITY, free_accelerators=0, tasks_by_size={}, capacity_accelerators=48
        )
        queued = attrs.evolve(busy, waiting_accelerators=400)
        for name, summary, count in (("short queue", busy, 5), ("long queue", queued, 0)):
            with self.subTest(name):
                zone = two_zones("balanced")
                zone.view.other_zones_by_id = {"b": summary}
                for _ in range(12):
                    zone.submit("borrower", accelerators=8)
                zone.decide(1)
                self.assertEqual(
                    count, len(planned_moves(zone, 30)), "until the loads differ by the tolerance"
                )


class WithdrawnZoneTest(unittest.TestCase):
    def test_jobs_of_a_withdrawn_zone_move_urgent_first(self):
        zone = two_zones()
        zones = dict(zone.view.configuration.zones_by_id)
        zones["a"] = attrs.evolve(zones["a"], mode=ZoneMode.OUT)
        zone.view.configuration = attrs.evolve(
            zone.view.configuration, version=2, zones_by_id=zones
        )
        late = zone.submit("borrower", job_class=JobClass.DEFERRABLE)
        urgent = zone.submit("borrower", job_class=JobClass.URGENT)
        self.assertEqual([(urgent, "b"), (late, "b")], planned_moves(zone, 1))

    def test_a_service_bound_to_the_zone_stays(self):
        zone = two_zones()
        workspace = zone.view.configuration.workspaces_by_id["borrower"]
        workspace.services_by_id["service"] = Service(zones=("a",))
        zone.submit("borrower")
        zone.decide(1)
        self.assertEqual([], planned_moves(zone, 30))


class SummaryTest(unittest.TestCase):
    def test_free_capacity_claims_and_queue_are_counted(self):
        zone = FakeZoneOwner(make_policy("zone-moves"), configuration())
        zone.submit("north", 2, 8)
        zone.step()
        zone.submit("borrower", 64, 1)
        found = summarize(zone.view)
        self.assertEqual((32, 46), (found.free_accelerators, found.free_slots))
        self.assertEqual({"south/small": 2}, found.unclaimed_by_guarantee)
        self.assertEqual((1, 64), (found.waiting, found.waiting_accelerators))
        self.assertEqual((3, 4), found.tasks_by_size[8])
        self.assertEqual(24, found.largest_block_by_adjacency[Adjacency.RACK])


class DrainOrderTest(unittest.TestCase):
    def test_tight_deadlines_first_then_most_work_left(self):
        zone = FakeZoneOwner(make_policy("zone-moves"), configuration(guarantees={"borrower": ()}))
        short = zone.submit("borrower", run_time=60.0)
        long = zone.submit("borrower", run_time=6000.0)
        wide = zone.submit("borrower", 4, run_time=6000.0)
        due = zone.submit("borrower", finish_by=zone.view.now + timedelta(hours=1))
        zone.step()
        self.assertEqual([due, wide, long, short], zone.policy.drain_order(zone.view))


if __name__ == "__main__":
    unittest.main()
