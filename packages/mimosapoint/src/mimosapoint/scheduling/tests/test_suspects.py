"""Tests of the quarantine of workers."""

import unittest
from datetime import timedelta

import attrs

from mimosapoint.model import Failed, JobState, Placement, Succeeded
from mimosapoint.scheduling import make_policy
from mimosapoint.scheduling.quarantine import WorkerQuarantine
from mimosapoint.scheduling.tests._zone import START, FakeZoneOwner, configuration

WORKERS = [f"w{number}" for number in range(10)]


def seconds(value: float):
    return START + timedelta(seconds=value)


class SuspectsTest(unittest.TestCase):
    def setUp(self):
        zone = FakeZoneOwner(make_policy("quarantining"), configuration())
        zone.submit("guest")
        (self.record,) = zone.view.waiting
        self.suspects = WorkerQuarantine()

    def attempt(self, job: str, *workers: str, failures: int = 1, outcome=None, at=0.0, ran=1.0):
        record = attrs.evolve(
            self.record,
            id=job,
            placement=Placement(failures, workers),
            failures=failures,
            outcome=outcome,
            state=JobState.ENDED if outcome else JobState.QUEUED,
            started_at=seconds(at - ran),
            ended_at=seconds(at) if outcome else None,
        )
        if outcome is None:
            self.suspects.sync([record], seconds(at))
        else:
            self.suspects.ended(record)

    def held(self, at: float = 0.0) -> set[str]:
        return set(self.suspects.quarantined(WORKERS, seconds(at)))

    def test_a_worker_that_fails_three_jobs_gets_no_work_for_a_minute(self):
        for number in range(3):
            self.assertEqual(set(), self.held())
            self.attempt(f"job{number}", "w1")
        self.assertEqual({"w1"}, self.held())
        self.assertEqual(set(), self.held(61))
        self.attempt("job9", "w1", at=62)
        self.assertEqual({"w1"}, self.held(62), "one more is enough after a quarantine")
        self.assertEqual({"w1"}, self.held(150), "twice as long")

    def test_failures_that_run_count_too_and_a_success_clears(self):
        for number in range(2):
            self.attempt(f"job{number}", "w1", outcome=Failed("task-failed"))
        self.attempt("good", "w1", outcome=Succeeded(()), at=5)
        self.attempt("job3", "w1", outcome=Failed("task-failed"), at=6)
        self.assertEqual(set(), self.held(6))

    def test_a_success_that_started_before_the_failures_clears_nothing(self):
        for number in range(3):
            self.attempt(f"job{number}", "w1", at=number)
        self.attempt("old", "w1", outcome=Succeeded(()), at=5, ran=60)
        self.assertEqual({"w1"}, self.held(5))

    def test_the_same_job_counts_once(self):
        for number in range(1, 5):
            self.attempt("job", "w1", failures=number)
        self.assertEqual(set(), self.held())

    def test_a_job_that_fails_wherever_it_runs_is_the_suspect(self):
        for job in ("a", "b", "c"):
            for number, worker in enumerate(("w1", "w2", "w3"), 1):
                self.attempt(job, worker, failures=number)
        self.assertEqual(set(), self.held())

    def test_only_a_share_of_the_zone_may_be_in_quarantine(self):
        for worker in WORKERS[:5]:
            for number in range(3):
                self.attempt(f"{worker}-{number}", worker)
        self.assertEqual(1, len(self.held()))

    def test_the_worker_that_the_failed_gangs_share_is_the_one(self):
        for number, others in enumerate((("w0", "w2"), ("w0", "w2"), ("w0", "w2"))):
            self.attempt(f"wide{number}", *others, "w5")
        self.attempt("small", "w5")
        self.assertEqual({"w5"}, self.held())

    def test_old_failures_are_forgotten(self):
        self.attempt("a", "w1")
        self.attempt("b", "w1", at=10)
        self.attempt("c", "w1", at=700)
        self.assertEqual(set(), self.held(700))


class QuarantineTest(unittest.TestCase):
    def test_work_goes_round_a_worker_in_quarantine(self):
        zone = FakeZoneOwner(make_policy("quarantining"), configuration(guarantees={"guest": ()}))
        for _ in range(3):
            job = zone.submit("guest")
            zone.step()
            record = zone.end(job)
            back = attrs.evolve(record, state=JobState.QUEUED, failures=1)
            zone.view.waiting = [back]
            zone.decide()
            zone.view.waiting = []
        bad = back.placement.workers[0]
        for _ in range(20):
            zone.submit("guest")
        used = {worker for found in zone.step().assignments for worker in found.workers}
        self.assertNotIn(bad, used)
        self.assertEqual(20, len(zone.running()))


if __name__ == "__main__":
    unittest.main()
