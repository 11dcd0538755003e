"""Tests of one seed of the soak test, and that its checks detect violations."""

import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import trio
from mimosapoint.memory import RunRecord
from mimosapoint.testing.run_checks import run_violations
from mimosapoint.workload import ResourceAmounts, RunEnd, Step, TaskId

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.run import find_violations, run_seed  # noqa: E402 (needs the path)

SEED = 1
TASK = TaskId("a", 0, 0, 0)
STEP = Step(1, ResourceAmounts(1))


def record(run, began, ended, end=RunEnd.STOPPED, **more):
    return RunRecord(TASK, run, "w", STEP, began, ended, end, **more)


class CheckTest(unittest.TestCase):
    def test_a_correct_history_has_no_violations(self):
        history = [record(1, 0, 1), record(2, 1, 2, RunEnd.DONE)]
        self.assertEqual([], run_violations(history, []))

    def test_a_run_whose_end_a_restarted_worker_forgot_may_be_repeated(self):
        history = [record(1, 0, 1, RunEnd.DONE, end_unreported=True), record(2, 1, 2, RunEnd.DONE)]
        self.assertEqual([], run_violations(history, []))

    def test_every_violation_is_found(self):
        cases = (
            ("twice at once", [record(1, 0, 2), record(2, 1, 3)], []),
            ("twice at once", [record(1, 0, None, None), record(2, 1, 3)], []),
            ("after it was done", [record(1, 0, 1, RunEnd.DONE), record(2, 1, 2)], []),
            ("has run 1 after 2", [record(2, 0, 1), record(1, 1, 2)], []),
            ("over its capacity", [], ["w"]),
        )
        for expected, history, over_capacity in cases:
            with self.subTest(expected=expected):
                found = run_violations(history, over_capacity)
                self.assertTrue(any(expected in line for line in found), found)

    def test_replies_that_contradict_the_workers_are_found(self):
        simulation = SimpleNamespace(history=[record(1, 0, None, None)], over_capacity_workers=[])
        site = SimpleNamespace(simulation=simulation)
        refused = SimpleNamespace(refused={"a"}, cancelled=set())
        self.assertEqual(["a ran though it was refused"], find_violations(site, refused))
        cancelled = SimpleNamespace(refused=set(), cancelled={"a"})
        self.assertEqual(["a runs on though cancelled"], find_violations(site, cancelled))


class SeedTest(unittest.TestCase):
    def test_a_seed_keeps_every_promise(self):
        with tempfile.TemporaryDirectory() as folder:
            violations, faults, accepted = trio.run(run_seed, SEED, Path(folder))
        self.assertEqual([], violations, faults)
        self.assertGreater(accepted, 0)
