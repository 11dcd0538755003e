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


class WorkerQuarantineTest(unittest.TestCase):
    def setUp(self):
        zone = FakeZoneOwner(make_policy("quarantining"), configuration())
        zone.submit("borrower")
        (self.record,) = zone.view.waiting
        self.quarantine = WorkerQuarantine()

    def record_attempt(
        self, job: str, *workers: str, failures: int = 1, outcome=None, at=0.0, run_seconds=1.0
    ):
        record = attrs.evolve(
            self.record,
            id=job,
            placement=Placement(failures, workers),
            failures=failures,
            outcome=outcome,
            state=JobState.ENDED if outcome else JobState.QUEUED,
            started_at=seconds(at - run_seconds),
            ended_at=seconds(at) if outcome else None,
        )
        if outcome is None:
            self.quarantine.sync([record], seconds(at))
        else:
            self.quarantine.record_job_end(record)

    def quarantined_workers(self, at: float = 0.0) -> set[str]:
        return set(self.quarantine.quarantined(WORKERS, seconds(at)))

    def test_a_worker_that_fails_three_jobs_gets_no_work_for_a_minute(self):
        for number in range(3):
            self.assertEqual(set(), self.quarantined_workers())
            self.record_attempt(f"job{number}", "w1")
        self.assertEqual({"w1"}, self.quarantined_workers())
        self.assertEqual(set(), self.quarantined_workers(61))
        self.record_attempt("job9", "w1", at=62)
        self.assertEqual(
            {"w1"}, self.quarantined_workers(62), "one more failed job is enough after a quarantine"
        )
        self.assertEqual({"w1"}, self.quarantined_workers(150), "twice as long")

    def test_failed_outcomes_count_and_a_success_clears_them(self):
        for number in range(2):
            self.record_attempt(f"job{number}", "w1", outcome=Failed("task-failed"))
        self.record_attempt("good", "w1", outcome=Succeeded(()), at=5)
        self.record_attempt("job3", "w1", outcome=Failed("task-failed"), at=6)
        self.assertEqual(set(), self.quarantined_workers(6))

    def test_a_success_that_started_before_the_failures_clears_nothing(self):
        for number in range(3):
            self.record_attempt(f"job{number}", "w1", at=number)
        self.record_attempt("old", "w1", outcome=Succeeded(()), at=5, run_seconds=60)
        self.assertEqual({"w1"}, self.quarantined_workers(5))

    def test_the_same_job_counts_once(self):
        for number in range(1, 5):
            self.record_attempt("job", "w1", failures=number)
        self.assertEqual(set(), self.quarantined_workers())

    def test_a_job_that_fails_on_every_worker_quarantines_none(self):
        for job in ("a", "b", "c"):
            for number, worker in enumerate(("w1", "w2", "w3"), 1):
                self.record_attempt(job, worker, failures=number)
        self.assertEqual(set(), self.quarantined_workers())

    def test_only_a_share_of_the_zone_may_be_in_quarantine(self):
        for worker in WORKERS[:5]:
            for number in range(3):
                self.record_attempt(f"{worker}-{number}", worker)
        self.assertEqual(1, len(self.quarantined_workers()))

    def test_the_worker_shared_by_failed_gangs_is_quarantined(self):
        for number, others in enumerate((("w0", "w2"), ("w0", "w2"), ("w0", "w2"))):
            self.record_attempt(f"wide{number}", *others, "w5")
        self.record_attempt("small", "w5")
        self.assertEqual({"w5"}, self.quarantined_workers())

    def test_failures_outside_the_window_are_ignored(self):
        self.record_attempt("a", "w1")
        self.record_attempt("b", "w1", at=10)
        self.record_attempt("c", "w1", at=700)
        self.assertEqual(set(), self.quarantined_workers(700))


class QuarantineTest(unittest.TestCase):
    def test_no_work_is_placed_on_a_quarantined_worker(self):
        zone = FakeZoneOwner(
            make_policy("quarantining"), configuration(guarantees={"borrower": ()})
        )
        for _ in range(3):
            job = zone.submit("borrower")
            zone.step()
            record = zone.end(job)
            back = attrs.evolve(record, state=JobState.QUEUED, failures=1)
            zone.view.waiting = [back]
            zone.decide()
            zone.view.waiting = []
        bad = back.placement.workers[0]
        for _ in range(20):
            zone.submit("borrower")
        used = {worker for found in zone.step().assignments for worker in found.workers}
        self.assertNotIn(bad, used)
        self.assertEqual(20, len(zone.running()))


if __name__ == "__main__":
    unittest.main()
