"""Tests of guarantees: allocation, borrowing, reclaim and preemption by urgent work."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapoint.configuration import Guarantee, ZoneMode
from mimosapoint.model import Adjacency, JobClass, JobState
from mimosapoint.scheduling import invariant_violations, make_policy, policy_names
from mimosapoint.scheduling.tests._zone import FakeZoneOwner, configuration, task_resources

POLICIES = [name for name in policy_names() if name != "fifo-first-fit"]


def owner(policy: str = "urgent-lane", **fields) -> FakeZoneOwner:
    return FakeZoneOwner(make_policy(policy), configuration(**fields))


def fill_with_borrowers(zone: FakeZoneOwner, **fields) -> set[str]:
    """Fill every accelerator with borrowers, and return their ids."""
    for _ in range(6):
        zone.submit("borrower", accelerators=8, **fields)
    zone.step()
    return zone.running()


class BorrowingTest(unittest.TestCase):
    def test_preemptible_work_may_borrow_every_accelerator(self):
        for policy in POLICIES:
            with self.subTest(policy):
                self.assertEqual(6, len(fill_with_borrowers(owner(policy))))

    def test_non_preemptible_work_may_not_borrow_allocations(self):
        for policy in POLICIES:
            with self.subTest(policy):
                zone = owner(policy)
                borrowers = fill_with_borrowers(zone, interruptible=False)
                self.assertEqual(
                    3, len(borrowers), "allocations take 2 workers whole and share a third"
                )

    def test_work_of_a_workspace_may_use_its_allocation_and_uncommitted_capacity(self):
        zone = owner(racks=1, guarantees={"north": (Guarantee("wide", 2, task_resources(8)),)})
        job = zone.submit("north", 3, 8, interruptible=False)
        zone.step()
        self.assertIn(job, zone.running())

    def test_a_workspace_without_permission_does_not_borrow(self):
        zone = owner(guarantees={"borrower": ()})
        workspaces = zone.view.configuration.workspaces_by_id
        object.__setattr__(workspaces["borrower"], "may_borrow", False)
        zone.submit("borrower")
        self.assertEqual((), zone.step().assignments)


class ReclaimTest(unittest.TestCase):
    def test_a_claim_preempts_borrowers_and_gets_their_capacity(self):
        for policy in POLICIES:
            with self.subTest(policy):
                zone = owner(policy)
                fill_with_borrowers(zone)
                preemptor = zone.submit("north", 2, 8)
                preemptions = zone.step().preemptions
                self.assertEqual({preemptor}, {preemption.preemptor for preemption in preemptions})
                self.assertEqual(2, len(preemptions))
                self.assertEqual((), zone.step().preemptions, "victims are preempted once")
                zone.finish_stops()
                (assignment,) = zone.step().assignments
                self.assertEqual((preemptor, "wide"), (assignment.job, assignment.guarantee))

    def test_the_gang_with_the_least_work_since_its_checkpoint_is_preempted(self):
        zone = owner(
            racks=1, workers=1, guarantees={"north": (Guarantee("g", 1, task_resources(4)),)}
        )
        zone.view.configuration.workspaces_by_id["borrower"] = (
            zone.view.configuration.workspaces_by_id["north"].__class__("region")
        )
        old = zone.submit("borrower", accelerators=4)
        zone.step()
        new = zone.submit("borrower", accelerators=4)
        zone.step(600)
        zone.submit("north", accelerators=4)
        (preemption,) = zone.step(10).preemptions
        self.assertEqual(new, preemption.job)
        self.assertNotEqual(old, preemption.job)

    def test_a_plan_whose_victims_do_not_stop_is_made_again(self):
        zone = owner()
        fill_with_borrowers(zone)
        preemptor = zone.submit("north", 2, 8)
        zone.step()
        zone.step(60)
        zone.finish_stops()
        zone.step()
        self.assertIn(preemptor, zone.running())

    def test_a_new_owner_waits_for_gangs_that_are_stopping_already(self):
        zone = owner()
        fill_with_borrowers(zone)
        preemptor = zone.submit("north", 2, 8)
        zone.step()
        zone.policy = make_policy("urgent-lane")
        self.assertEqual((), zone.step().preemptions)
        zone.finish_stops()
        zone.step()
        self.assertIn(preemptor, zone.running())


class UrgentTest(unittest.TestCase):
    def test_urgent_work_preempts_borrowers_with_short_grace(self):
        zone = owner()
        fill_with_borrowers(zone)
        job = zone.submit("borrower", job_class=JobClass.URGENT)
        (preemption,) = zone.step().preemptions
        self.assertLessEqual(preemption.grace, 1.0)
        zone.finish_stops()
        self.assertIn(job, {a.job for a in zone.step().assignments})

    def test_urgent_work_is_placed_before_a_long_queue(self):
        zone = owner()
        for _ in range(500):
            zone.submit("borrower", accelerators=8)
        job = zone.submit("borrower", accelerators=8, job_class=JobClass.URGENT)
        self.assertEqual(job, zone.step().assignments[0].job)

    def test_urgent_work_does_not_preempt_claims_or_urgent_work(self):
        zone = owner(
            racks=1, workers=2, guarantees={"north": (Guarantee("g", 1, task_resources(8)),)}
        )
        zone.submit("north", accelerators=8)
        zone.step()
        self.assertEqual("g", zone.view.running_by_id["a~0001"].placement.guarantee)
        zone.submit("north", accelerators=8, job_class=JobClass.URGENT)
        zone.step()
        zone.submit("north", accelerators=8, job_class=JobClass.URGENT)
        self.assertEqual((), zone.step().preemptions)


class OutTest(unittest.TestCase):
    def test_nothing_is_placed_in_a_zone_that_is_out(self):
        for policy in POLICIES:
            with self.subTest(policy):
                zone = owner(policy)
                zone.set_mode(ZoneMode.OUT)
                zone.submit("borrower")
                self.assertEqual((), zone.step().assignments)
                zone.set_mode(ZoneMode.IN_SERVICE)
                self.assertEqual(1, len(zone.step(120).assignments))


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ("submit", "submit", "submit", "end", "stopped", "lose", "back", "mode", "wait")
        ),
        st.integers(0, 1_000_000),
    ),
    max_size=60,
)


def perform_action(zone: FakeZoneOwner, action: str, draw: int) -> None:
    workers = sorted(zone.view.workers_by_id)
    running = sorted(zone.view.running_by_id)
    if action == "submit":
        zone.submit(
            ("north", "south", "borrower")[draw % 3],
            (1, 2, 3, 4)[draw // 3 % 4],
            (0, 1, 2, 4, 8)[draw // 12 % 5],
            tuple(JobClass)[draw // 60 % 3],
            interruptible=draw // 180 % 2 == 0,
            adjacency=tuple(Adjacency)[draw // 360 % 3],
        )
    elif action == "end" and running:
        zone.end(running[draw % len(running)])
    elif action == "stopped":
        zone.finish_stops()
    elif action == "lose":
        zone.fail_worker(workers[draw % len(workers)])
    elif action == "back":
        zone.view.workers_by_id[workers[draw % len(workers)]].usable = True
    elif action == "wait":
        zone.view.now += timedelta(seconds=draw % 1500)
    elif action == "mode":
        zone.set_mode(tuple(ZoneMode)[draw % 2])


class InvariantTest(unittest.TestCase):
    def check(self, zone: FakeZoneOwner, decision) -> None:
        allocations = zone.policy.allocations_by_instance
        self.assertEqual((), invariant_violations(zone.view, decision, allocations))
        waiting = {record.id: record for record in zone.view.waiting}
        if zone.view.configuration.zones_by_id["a"].mode is ZoneMode.OUT:
            self.assertEqual((), decision.assignments)
        assigned = [found.job for found in decision.assignments]
        self.assertEqual(len(set(assigned)), len(assigned))
        for found in decision.assignments:
            request = waiting[found.job].request
            workers = [zone.view.workers_by_id[id] for id in found.workers]
            self.assertEqual(request.gang, len(workers))
            self.assertTrue(all(worker.usable for worker in workers))
            if request.adjacency is Adjacency.RACK:
                self.assertEqual(1, len({worker.rack for worker in workers}))
        for preemption in decision.preemptions:
            record = zone.view.running_by_id[preemption.job]
            self.assertTrue(record.request.interruptible)
            self.assertIsNone(record.placement.guarantee)
            self.assertIsNot(record.state, JobState.STOPPING)

    def test_every_unclaimed_guarantee_remains_claimable(self):
        @settings(max_examples=150, deadline=None, derandomize=True)
        @given(st.sampled_from(POLICIES), ACTIONS)
        def run_actions(policy, actions):
            zone = owner(policy)
            for action, draw in actions:
                perform_action(zone, action, draw)
                decision = zone.decide()
                self.check(zone, decision)
                zone.apply(decision)

        run_actions()

    def test_a_claim_within_the_guarantee_is_never_refused(self):
        @settings(max_examples=60, deadline=None, derandomize=True)
        @given(ACTIONS)
        def run_actions(actions):
            zone = owner("packed")
            for action, draw in actions:
                if action in ("submit", "end", "stopped"):
                    perform_action(zone, action, draw - draw % 3 + 2)
                    zone.step()
            preemptor = zone.submit("north", 2, 8)
            for _ in range(3):
                zone.step()
                zone.finish_stops()
            self.assertIn(preemptor, zone.running())

        run_actions()


if __name__ == "__main__":
    unittest.main()
