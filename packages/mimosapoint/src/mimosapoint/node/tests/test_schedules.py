"""Schedules of faults on a whole site: every fault alone, those that once failed, and drawn ones.

``MIMOSAPOINT_FUZZ_EXAMPLES`` sets how many schedules are drawn; a summary is then printed.
"""

import os
import unittest
from collections import Counter

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from mimosapoint.testing.fault_schedule import Fault, faults_by_name, simulate

EXAMPLES = int(os.environ.get("MIMOSAPOINT_FUZZ_EXAMPLES", "0"))
CI_EXAMPLES = 16
MOMENTS = (0.0, 0.01, 0.02, 0.05, 0.3, 1.0, 2.0, 4.0, 8.0)
LENGTHS = (0.5, 2.5, 6.0, 25.0)

ONCE_FAILED = (
    # A thawed owner told callers of the newer owner's jobs that there is no such job.
    (93758, Fault("kill", 0.047, 6.0), Fault("freeze-at", 0.318, 6.0)),
    (490667, Fault("freeze-at", 0.312, 6.0), Fault("kill", 0.014, 6.0)),
    (890231, Fault("cancel", 0.048, 6.0), Fault("freeze", 0.316, 6.0)),
    # A gang that waited for the store started on an endpoint that had begun to leave.
    (815394, Fault("store-silent", 0.057, 25.0), Fault("list-lag", 1.03, 0.5)),
    (839755, Fault("store-out", 0.009, 6.0), Fault("list-lag", 0.32, 2.5)),
    # A thawed owner started work before it had read the list of VMs anew.
    (
        532589,
        Fault("list-lag", 1.003, 2.5),
        Fault("store-out", 0.313, 6.0),
        Fault("freeze", 0.324, 6.0),
    ),
)

drawn_faults = st.builds(
    Fault,
    st.sampled_from(sorted(faults_by_name)),
    st.sampled_from(MOMENTS),
    st.sampled_from(LENGTHS),
)


class SchedulesTest(unittest.TestCase):
    """Every promise is kept, every call is answered and no job is lost."""

    def test_each_fault_alone(self):
        for name in sorted(faults_by_name):
            for at, lasts in ((0.3, 6.0),):
                with self.subTest(fault=name, at=at, lasts=lasts):
                    self.assertEqual(simulate([Fault(name, at, lasts)]).violations, ())

    def test_once_failed(self):
        for seed, *faults in ONCE_FAILED:
            with self.subTest(faults=faults):
                self.assertEqual(simulate(faults, seed).violations, ())

    def test_drawn(self):
        seen = Counter()

        @settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLES or CI_EXAMPLES,
            database=None,
            suppress_health_check=list(HealthCheck),
            phases=(Phase.generate,),
        )
        @given(st.lists(drawn_faults, min_size=2, max_size=3), st.integers(0, 2**16))
        def check(faults, seed):
            played = simulate(faults, seed)
            seen["schedules"] += 1
            seen.update(f"outcome {outcome}" for outcome in played.outcomes)
            seen.update("+".join(sorted({f.name for f in faults})).split())
            self.assertEqual(played.violations, ())

        try:
            check()
        finally:
            if EXAMPLES:
                self.report(seen)

    def report(self, seen):
        """Print what was played."""
        sets = [name for name in seen if name != "schedules" and not name.startswith("outcome")]
        outcomes = {n.split()[1]: c for n, c in seen.items() if n.startswith("outcome")}
        print(f"\nschedules={seen['schedules']} sets_of_faults={len(sets)} outcomes={outcomes}")
        pairs = {tuple(sorted((a, b))) for s in sets for a in s.split("+") for b in s.split("+")}
        played = {pair for pair in pairs if pair[0] != pair[1]}
        print(f"faults={len(faults_by_name)} pairs_of_faults={len(played)}")
