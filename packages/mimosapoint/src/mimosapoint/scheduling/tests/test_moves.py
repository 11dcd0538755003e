"""Tests of summaries and of offers to other zones."""

import unittest
from datetime import timedelta

import attrs

from mimosapoint.configuration import Guarantee, Service, Zone, ZoneMode
from mimosapoint.model import Adjacency, JobClass
from mimosapoint.scheduling import ZoneSummary, make_policy, summarize
from mimosapoint.scheduling.moves import MAX_MOVES
from mimosapoint.scheduling.tests._zone import FakeZoneOwner, configuration, task_resources

ROOMY = ZoneSummary(
    "b", True, 48, 48, 48, tasks_by_size={1: (24, 48), 2: (12, 24), 4: (6, 12), 8: (3, 6)}
)


def two_zones(policy: str = "zone-moves", **guarantees) -> FakeZoneOwner:
    """Return the owner of a full zone ``a`` beside a zone ``b`` with room."""
    document = configuration(guarantees=guarantees or None)
    zones = dict(document.zones_by_id)
    zones["b"] = Zone("region", zones["a"].capacity)
    zone = FakeZoneOwner(make_policy(policy), attrs.evolve(document, zones_by_id=zones))
    for _ in range(6):
        zone.submit("guest", accelerators=8, interruptible=False)
        zone.submit("guest", accelerators=8)
    zone.step()
    zone.view.waiting.clear()
    zone.view.other_zones_by_id = {"b": ROOMY}
    return zone


def moves(zone: FakeZoneOwner, seconds: float) -> list[tuple[str, str]]:
    return [(move.job, move.zone) for move in zone.decide(seconds).moves]


class BalanceTest(unittest.TestCase):
    def test_what_moves_and_what_stays(self):
        stale = attrs.evolve(ROOMY, age=60.0)
        out = attrs.evolve(ROOMY, in_service=False)
        full = attrs.evolve(ROOMY, free_accelerators=0, tasks_by_size={1: (0, 0)})
        broken = attrs.evolve(ROOMY, tasks_by_size={1: (24, 48), 8: (1, 2)})
        cases = (
            ("room elsewhere", {"b": ROOMY}, {}, 1),
            ("no other zone", {}, {}, 0),
            ("stale summary", {"b": stale}, {}, 0),
            ("zone out", {"b": out}, {}, 0),
            ("no room", {"b": full}, {}, 0),
            ("no adjacent room", {"b": broken}, {"gang": 2, "accelerators": 8}, 0),
            ("not allowed there", {"b": ROOMY}, {"zones": ("a",)}, 0),
        )
        for name, others, fields, count in cases:
            with self.subTest(name):
                zone = two_zones()
                zone.view.other_zones_by_id = others
                fields.setdefault("accelerators", 8)
                zone.submit("guest", **fields)
                zone.decide(1)
                self.assertEqual(count, len(moves(zone, 30)))

    def test_a_job_is_patient_first_and_after_many_moves_stays(self):
        zone = two_zones()
        job = zone.submit("guest", accelerators=8)
        self.assertEqual([], moves(zone, 1))
        self.assertEqual([(job, "b")], moves(zone, 10))
        zone.view.waiting[0] = attrs.evolve(zone.view.waiting[0], moves=MAX_MOVES)
        zone.view.other_zones_by_id = {"b": attrs.evolve(ROOMY, age=0.0)}
        self.assertEqual([], moves(zone, 86_400))

    def test_only_a_share_of_the_free_room_is_offered_before_the_next_summary(self):
        zone = two_zones()
        for _ in range(10):
            zone.submit("guest", accelerators=8)
        zone.decide(1)
        self.assertEqual(3, len(moves(zone, 30)))

    def test_a_summary_that_is_always_fresh_is_offered_to_again(self):
        zone = two_zones()
        zone.view.other_zones_by_id = {"b": attrs.evolve(ROOMY, free_accelerators=16)}
        for _ in range(2):
            zone.submit("guest", accelerators=8)
        zone.decide(1)
        (moved,) = moves(zone, 30)
        zone.view.waiting = [record for record in zone.view.waiting if record.id != moved[0]]
        self.assertEqual(1, len(moves(zone, 1)))

    def test_a_gang_goes_where_its_guarantee_is_unclaimed(self):
        guarantees = {"north": (Guarantee("g", 2, task_resources(8), zones=("b",)),), "guest": ()}
        zone = two_zones(**guarantees)
        zone.view.other_zones_by_id = {
            "b": attrs.evolve(
                ROOMY, free_accelerators=0, tasks_by_size={}, unclaimed_by_guarantee={"north/g": 1}
            )
        }
        job = zone.submit("north", 2, 8)
        zone.submit("north", 2, 8)
        zone.decide(1)
        self.assertEqual([(job, "b")], moves(zone, 30), "the second has no home")


class EvenTest(unittest.TestCase):
    def test_long_queues_are_shared_with_zones_that_have_short_ones(self):
        busy = attrs.evolve(ROOMY, free_accelerators=0, tasks_by_size={}, capacity_accelerators=48)
        queued = attrs.evolve(busy, waiting_accelerators=400)
        for name, summary, count in (("short queue", busy, 5), ("long queue", queued, 0)):
            with self.subTest(name):
                zone = two_zones("balanced")
                zone.view.other_zones_by_id = {"b": summary}
                for _ in range(12):
                    zone.submit("guest", accelerators=8)
                zone.decide(1)
                self.assertEqual(count, len(moves(zone, 30)), "until half a zone of work is left")


class LeavingTest(unittest.TestCase):
    def test_jobs_of_a_zone_that_is_out_go_elsewhere_urgent_first(self):
        zone = two_zones()
        zones = dict(zone.view.configuration.zones_by_id)
        zones["a"] = attrs.evolve(zones["a"], mode=ZoneMode.OUT)
        zone.view.configuration = attrs.evolve(
            zone.view.configuration, version=2, zones_by_id=zones
        )
        late = zone.submit("guest", job_class=JobClass.DEFERRABLE)
        urgent = zone.submit("guest", job_class=JobClass.URGENT)
        self.assertEqual([(urgent, "b"), (late, "b")], moves(zone, 1))

    def test_a_service_bound_to_the_zone_stays(self):
        zone = two_zones()
        workspace = zone.view.configuration.workspaces_by_id["guest"]
        workspace.services_by_id["service"] = Service(zones=("a",))
        zone.submit("guest")
        zone.decide(1)
        self.assertEqual([], moves(zone, 30))


class SummaryTest(unittest.TestCase):
    def test_room_claims_and_queue_are_counted(self):
        zone = FakeZoneOwner(make_policy("zone-moves"), configuration())
        zone.submit("north", 2, 8)
        zone.step()
        zone.submit("guest", 64, 1)
        found = summarize(zone.view)
        self.assertEqual((32, 46), (found.free_accelerators, found.free_slots))
        self.assertEqual({"south/small": 2}, found.unclaimed_by_guarantee)
        self.assertEqual((1, 64), (found.waiting, found.waiting_accelerators))
        self.assertEqual((3, 4), found.tasks_by_size[8])
        self.assertEqual(24, found.largest_block_by_adjacency[Adjacency.RACK])


class DrainOrderTest(unittest.TestCase):
    def test_tight_deadlines_first_then_most_work_left(self):
        zone = FakeZoneOwner(make_policy("zone-moves"), configuration(guarantees={"guest": ()}))
        short = zone.submit("guest", run_time=60.0)
        long = zone.submit("guest", run_time=6000.0)
        wide = zone.submit("guest", 4, run_time=6000.0)
        due = zone.submit("guest", finish_by=zone.view.now + timedelta(hours=1))
        zone.step()
        self.assertEqual([due, wide, long, short], zone.policy.drain_order(zone.view))


if __name__ == "__main__":
    unittest.main()
