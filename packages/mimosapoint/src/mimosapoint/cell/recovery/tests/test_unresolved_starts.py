"""Tests of the bounds of unknown runs, on plain values."""

import unittest
from datetime import datetime, timedelta, timezone

from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.recovery import InheritedWorkers, UnresolvedStarts
from mimosapoint.errors import CodecError
from mimosapoint.workload import (
    AcceptedJob,
    JobProgress,
    Phase,
    ResourceAmounts,
    Step,
    UnitStart,
    check_progress,
)

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
TASK = ResourceAmounts(11_000, 16_000, 1)
CAPACITY = ResourceAmounts(128_000, 262_144, 8)
GANG = Step(4, TASK, gang=True)
SINGLES = Step(3, TASK)


def make_record(step, workspace="a", job="j"):
    second = timedelta(seconds=1)
    return AcceptedJob(job, "q", workspace, "pool", "", (step,), 1, 3, 3.0, second, NOW)


def make_job(step, starts=None, workspace="a", phase=Phase.RUNNING, job="j"):
    progress = JobProgress(phase, starts=starts or {}, has_all_starts=starts is not None)
    return Job(make_record(step, workspace, job), 1, progress, 1, NOW)


class BoundsTest(unittest.TestCase):
    def setUp(self):
        self.workers = InheritedWorkers({"w0": CAPACITY, "w1": CAPACITY})

    def starts(self, *jobs, **options):
        return UnresolvedStarts(jobs, self.workers, **options)

    def blocked(self, starts):
        return [unresolved.unit_id.key for unresolved in starts]

    def test_a_unit_waits_only_for_the_workers_of_its_recorded_start(self):
        job = make_job(SINGLES, {"0.0.0": UnitStart(1, ("w0",)), "0.0.2": UnitStart(2, ("w1",))})
        starts = self.starts(job)
        self.assertEqual(["0.0.0", "0.0.2"], self.blocked(starts))
        self.workers.resolve("w1")
        self.assertEqual(["0.0.2"], [each.unit_id.key for each in starts.remove_resolved()])
        self.assertEqual(["0.0.0"], self.blocked(starts))

    def test_only_the_tasks_on_unknown_workers_count_against_the_workspace(self):
        job = make_job(GANG, {"0.0.0": UnitStart(1, ("w0", "w0", "known", "w1"))})
        other = make_job(SINGLES, {}, workspace="b", job="k")
        starts = self.starts(job, other)
        starts.remove_resolved()
        use = starts.possible_use()
        self.assertEqual(TASK.scaled(3), use.of("a"))
        self.assertEqual(ResourceAmounts(), use.of("b"))

    def test_a_cancelled_job_counts_until_its_workers_are_known(self):
        """A run that is being stopped occupies the quota until it has ended."""
        start = {"0.0.0": UnitStart(1, ("w0",) * 4)}
        starts = self.starts(make_job(GANG, start, phase=Phase.CANCELLED))
        self.assertEqual(TASK.scaled(4), starts.possible_use().of("a"))
        self.workers.resolve("w0")
        self.workers.resolve("w1")
        starts.remove_resolved()
        self.assertEqual(ResourceAmounts(), starts.possible_use().of("a"))
        self.assertEqual(0, len(starts))

    def test_unrecorded_starts_may_be_anywhere_within_the_capacity(self):
        """An earlier version recorded no starts; its jobs must not be taken for waiting ones."""
        starts = self.starts(make_job(Step(30, TASK)))
        self.assertEqual(30, len(self.blocked(starts)))
        self.assertEqual(16, starts.possible_use().of("a").accelerators)
        self.workers.resolve("w0")
        self.assertEqual([], starts.remove_resolved())
        self.assertEqual(8, starts.possible_use().of("a").accelerators)
        self.workers.resolve("w1")
        self.assertEqual(30, len(starts.remove_resolved()))

    def test_a_job_that_never_started_waits_for_nothing(self):
        self.assertEqual([], self.blocked(self.starts(make_job(GANG, phase=Phase.QUEUED))))

    def test_an_unreadable_job_may_use_all_unknown_capacity_in_any_workspace(self):
        starts = self.starts(has_unreadable_jobs=True)
        self.assertEqual(CAPACITY.scaled(2), starts.possible_use().of("any"))
        self.workers.has_unlisted = True
        self.assertFalse(starts.possible_use().is_bounded)

    def test_an_unreadable_roster_keeps_recorded_starts_on_unlisted_workers(self):
        self.workers.has_unlisted = True
        job = make_job(GANG, {"0.0.0": UnitStart(1, ("elsewhere",) * 4)})
        starts = self.starts(job)
        self.assertEqual([], starts.remove_resolved())
        self.assertEqual(4, starts.possible_use().of("a").accelerators)
        self.workers.resolve("elsewhere")
        self.assertEqual(1, len(starts.remove_resolved()))


class CheckProgressTest(unittest.TestCase):
    def test_starts_of_other_units_are_refused(self):
        """A start without a worker for each task would end every decision of the next owner."""
        cases = (("0.0.0", ("w",)), ("0.0.1", ("w",) * 4), ("x", ()), ("0.0", ()), ("00.0.0", ()))
        for key, workers in (*cases, ("0.0." + "9" * 5000, ())):
            progress = JobProgress(Phase.RUNNING, starts={key: UnitStart(1, workers)})
            with self.subTest(key=key), self.assertRaises(CodecError):
                check_progress(make_record(GANG), progress)
