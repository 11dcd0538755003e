"""Tests of reservations for large gangs, run-time estimates and refusal of infeasible jobs."""

import unittest
from datetime import timedelta

import attrs

from mimosapoint.configuration import Guarantee
from mimosapoint.model import JobClass, JobState, Placement, Succeeded
from mimosapoint.scheduling import make_policy
from mimosapoint.scheduling.run_time_estimates import RunTimeEstimator
from mimosapoint.scheduling.tests._zone import FakeZoneOwner, configuration, task_resources


def owner(**fields) -> FakeZoneOwner:
    fields.setdefault("guarantees", {"borrower": ()})
    return FakeZoneOwner(make_policy("reserving"), configuration(**fields))


def record_run_times(zone: FakeZoneOwner, job: str, seconds: float) -> None:
    """Report to the policy ten jobs like this one that ended after this run time."""
    record = next(r for r in zone.view.waiting if r.id == job)
    for _ in range(10):
        ended = attrs.evolve(
            record,
            state=JobState.ENDED,
            placement=Placement(1, ("r0w0",)),
            started_at=zone.view.now,
            ended_at=zone.view.now + timedelta(seconds=seconds),
            outcome=Succeeded(()),
        )
        zone.policy.job_ended(ended)


class LargeGangTest(unittest.TestCase):
    def test_a_stream_of_small_jobs_does_not_starve_a_large_gang(self):
        zone = owner(racks=1, workers=2)
        for _ in range(8):
            zone.submit("borrower", accelerators=2)
        zone.step()
        large = zone.submit("borrower", 2, 8)
        started_after = None
        for minute in range(30):
            for _ in range(4):
                zone.submit("borrower", accelerators=2)
            zone.end(min(zone.running()))
            zone.step(60)
            zone.finish_stops()
            zone.step()
            if large in zone.running():
                started_after = minute
                break
        self.assertIsNotNone(started_after)
        self.assertGreaterEqual(started_after, 9, "not before the starvation time")

    def test_borrowers_larger_or_more_urgent_than_the_gang_are_not_preempted(self):
        zone = owner(racks=1, workers=2)
        zone.submit("borrower", 2, 4, job_class=JobClass.URGENT)
        zone.step()
        zone.submit("borrower", 2, 8)
        for _ in range(20):
            self.assertEqual((), zone.step(60).preemptions)

    def backfilled(self, seconds: float) -> bool:
        zone = owner(racks=1, workers=2)
        zone.submit("borrower", accelerators=8, interruptible=False, run_time=2000.0)
        zone.step()
        zone.submit("borrower", 2, 8)
        zone.step()
        zone.step(601)
        small = zone.submit("borrower", accelerators=1)
        record_run_times(zone, small, seconds)
        zone.step()
        return small in zone.running()

    def test_only_jobs_that_end_in_time_run_on_reserved_capacity(self):
        self.assertTrue(self.backfilled(30.0))
        self.assertFalse(self.backfilled(30_000.0))

    def test_claims_and_urgent_work_ignore_reservations(self):
        zone = owner(
            racks=1,
            workers=2,
            guarantees={"north": (Guarantee("g", 1, task_resources(4)),), "borrower": ()},
        )
        zone.submit("borrower", accelerators=4, interruptible=False, run_time=9000.0)
        zone.step()
        zone.submit("borrower", 2, 8)
        zone.step()
        zone.step(601)
        claim = zone.submit("north", accelerators=4)
        urgent = zone.submit("borrower", accelerators=1, job_class=JobClass.URGENT)
        zone.step()
        self.assertLessEqual({claim, urgent}, zone.running())


class OwnGuaranteeTest(unittest.TestCase):
    def zone_with_starving_gang(self) -> tuple[FakeZoneOwner, str, str]:
        """Return a zone whose non-preemptible job blocks a gang's allocation, and both jobs."""
        guarantees = {"north": (Guarantee("g", 2, task_resources(8)),), "borrower": ()}
        zone = owner(racks=1, workers=2, guarantees=guarantees)
        blocking_job = zone.submit("north", accelerators=8, interruptible=False, run_time=9000.0)
        zone.step()
        zone.submit("borrower", accelerators=8)
        zone.step()
        gang = zone.submit("north", 2, 8)
        zone.step()
        zone.step(601)
        return zone, blocking_job, gang

    def test_a_starving_gang_may_still_claim_its_guarantee_and_is_placed_once(self):
        zone, blocking_job, gang = self.zone_with_starving_gang()
        zone.end(blocking_job)
        self.assertEqual([gang], [found.preemptor for found in zone.step().preemptions])
        zone.finish_stops()
        placed = [found.job for found in zone.step().assignments]
        self.assertEqual(1, placed.count(gang))

    def test_newer_claims_of_the_workspace_wait_for_a_bounded_time(self):
        zone, blocking_job, _ = self.zone_with_starving_gang()
        small = zone.submit("north", accelerators=1)
        zone.step()
        self.assertNotIn(small, zone.running())
        zone.step(1900)
        zone.finish_stops()
        zone.step()
        self.assertIn(small, zone.running())


class InfeasibleJobTest(unittest.TestCase):
    def test_infeasible_jobs_are_refused(self):
        cases = (
            ("too large for any rack", {"gang": 4, "accelerators": 8}, 1),
            ("large but possible", {"gang": 3, "accelerators": 8}, 0),
            (
                "non-preemptible on allocations of others",
                {"gang": 3, "accelerators": 8, "interruptible": False},
                1,
            ),
            (
                "non-preemptible beside allocations",
                {"gang": 1, "accelerators": 8, "interruptible": False},
                0,
            ),
        )
        for name, fields, count in cases:
            with self.subTest(name):
                zone = owner(
                    racks=1,
                    guarantees={"north": (Guarantee("g", 2, task_resources(8)),), "borrower": ()},
                )
                zone.submit("borrower", **fields)
                refusals = zone.step().refusals
                self.assertEqual(count, len(refusals))
                self.assertTrue(all(refusal.code == "never-fits" for refusal in refusals))

    def test_a_job_that_has_run_is_not_refused(self):
        zone = owner(racks=1)
        zone.submit("borrower", 4, 8)
        placement = Placement(1, ("r0w0",))
        zone.view.waiting[0] = attrs.evolve(zone.view.waiting[0], placement=placement)
        self.assertEqual((), zone.step().refusals)


class RunTimeEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.zone = owner()
        self.zone.submit("borrower", run_time=10.0)
        (self.record,) = self.zone.view.waiting

    def estimator_with(self, *seconds: float) -> RunTimeEstimator:
        found = RunTimeEstimator()
        now = self.zone.view.now
        for value in seconds:
            ended = now + timedelta(seconds=value)
            found.observe(
                attrs.evolve(
                    self.record,
                    placement=Placement(1, ("r0w0",)),
                    started_at=now,
                    ended_at=ended,
                    outcome=Succeeded(()),
                )
            )
        return found

    def test_declared_run_times_are_used_until_there_are_enough_samples(self):
        self.assertEqual(
            30.0, self.estimator_with(100.0).conservative_estimate(self.record.request)
        )
        self.assertEqual(
            100.0, self.estimator_with(*[100.0] * 5).conservative_estimate(self.record.request)
        )

    def test_remaining_time_is_estimated_from_longer_runs(self):
        known = self.estimator_with(10.0, 20.0, 100.0, 200.0, 300.0)
        running = attrs.evolve(self.record, started_at=self.zone.view.now)
        later = self.zone.view.now + timedelta(seconds=50)
        self.assertEqual(150.0, known.estimate_remaining(running, later))
        much_later = self.zone.view.now + timedelta(seconds=400)
        self.assertEqual(200.0, known.estimate_remaining(running, much_later))


if __name__ == "__main__":
    unittest.main()
