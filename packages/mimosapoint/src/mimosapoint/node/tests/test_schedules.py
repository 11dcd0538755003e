"""Fault schedules on a whole site: each fault alone, past failures, and random schedules.

``MIMOSAPOINT_FUZZ_EXAMPLES`` sets the number of random schedules and has a summary printed.
"""

import os
import unittest
from collections import Counter

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from mimosapoint.testing.fault_schedule import Fault, faults_by_name, simulate

EXAMPLES = int(os.environ.get("MIMOSAPOINT_FUZZ_EXAMPLES", "0"))
CI_EXAMPLES = 16
START_SECONDS = (0.0, 0.01, 0.02, 0.05, 0.3, 1.0, 2.0, 4.0, 8.0)
DURATION_SECONDS = (0.5, 2.5, 6.0, 25.0)

PAST_FAILURES = (
    # A thawed owner replied that jobs of the newer owner did not exist.
    (93758, Fault("kill", 0.047, 6.0), Fault("freeze-at", 0.318, 6.0)),
    (490667, Fault("freeze-at", 0.312, 6.0), Fault("kill", 0.014, 6.0)),
    (890231, Fault("cancel", 0.048, 6.0), Fault("freeze", 0.316, 6.0)),
    # A gang that waited for the store started on a worker that was already leaving.
    (815394, Fault("store-silent", 0.057, 25.0), Fault("list-lag", 1.03, 0.5)),
    (839755, Fault("store-out", 0.009, 6.0), Fault("list-lag", 0.32, 2.5)),
    # A thawed owner started tasks before it had read the VM list again.
    (
        532589,
        Fault("list-lag", 1.003, 2.5),
        Fault("store-out", 0.313, 6.0),
        Fault("freeze", 0.324, 6.0),
    ),
)

random_faults = st.builds(
    Fault,
    st.sampled_from(sorted(faults_by_name)),
    st.sampled_from(START_SECONDS),
    st.sampled_from(DURATION_SECONDS),
)


class SchedulesTest(unittest.TestCase):
    """No promise is violated, every call gets an outcome and no job is lost."""

    def test_each_fault_alone(self):
        for name in sorted(faults_by_name):
            for at, duration in ((0.3, 6.0),):
                with self.subTest(fault=name, at=at, duration=duration):
                    self.assertEqual(simulate([Fault(name, at, duration)]).violations, ())

    def test_past_failures(self):
        for seed, *faults in PAST_FAILURES:
            with self.subTest(faults=faults):
                self.assertEqual(simulate(faults, seed).violations, ())

    def test_random_schedules(self):
        tally = Counter()

        @settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLES or CI_EXAMPLES,
            database=None,
            suppress_health_check=list(HealthCheck),
            phases=(Phase.generate,),
        )
        @given(st.lists(random_faults, min_size=2, max_size=3), st.integers(0, 2**16))
        def check(faults, seed):
            result = simulate(faults, seed)
            tally["schedules"] += 1
            tally.update(f"outcome {outcome}" for outcome in result.outcomes)
            tally.update("+".join(sorted({f.name for f in faults})).split())
            self.assertEqual(result.violations, ())

        try:
            check()
        finally:
            if EXAMPLES:
                self.report(tally)

    def report(self, tally):
        """Print the number of schedules, outcomes and fault combinations."""
        fault_sets = [
            name for name in tally if name != "schedules" and not name.startswith("outcome")
        ]
        outcomes = {n.split()[1]: c for n, c in tally.items() if n.startswith("outcome")}
        print(
            f"\nschedules={tally['schedules']} sets_of_faults={len(fault_sets)} outcomes={outcomes}"
        )
        pairs = {
            tuple(sorted((a, b))) for s in fault_sets for a in s.split("+") for b in s.split("+")
        }
        distinct_pairs = {pair for pair in pairs if pair[0] != pair[1]}
        print(f"faults={len(faults_by_name)} pairs_of_faults={len(distinct_pairs)}")
