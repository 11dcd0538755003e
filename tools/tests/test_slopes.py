"""Tests of the line fits through measured points and of the capacity derived from them."""

import tempfile
import unittest
from pathlib import Path

from mimosapoint_standins import load_inventory

from benchmarks.slopes.capacity import capacity, capacity_table
from benchmarks.slopes.fit import Point, Slope, fit
from benchmarks.slopes.site import SizedSite

LINES = (
    ("exact", [(0, 1), (2, 5), (4, 9)], 2, 1, 0),
    ("flat", [(1, 3), (9, 3)], 0, 3, 0),
    ("scattered", [(0, 1), (1, 0), (2, 1), (3, 2)], 0.4, 0.4, 0.8),
)

NAMES = (
    "bucket.write_bytes",
    "configuration.bytes",
    "connection.memory",
    "fleet.store_calls",
    "job.life_cpu",
    "list.read_bytes",
    "list.read_cpu",
    "node.idle_cpu",
    "node.memory",
    "node.peer_calls",
    "ownership.check_cpu",
    "patch.in_force",
    "patch.node_cpu",
    "peer.exchange_bytes",
    "renewal.bytes",
    "span.memory",
    "store.read_bytes",
    "task.idle_cpu",
    "task.memory",
    "worker.calls",
    "worker.idle_cpu",
    "worker.memory",
)
SUFFIX = "_backed_off"


def slopes(slope: float, intercept: float) -> list[Slope]:
    names = [name + suffix for name in NAMES for suffix in ("", SUFFIX)]
    return [Slope(name, "thing", "ms", slope, intercept, 0, ()) for name in names]


class FitTest(unittest.TestCase):
    def test_fit_finds_slope_intercept_and_spread(self):
        for name, pairs, slope, intercept, spread in LINES:
            with self.subTest(name):
                found = fit("name", "thing", "ms", [Point(*pair) for pair in pairs])
                self.assertAlmostEqual(found.slope, slope)
                self.assertAlmostEqual(found.intercept, intercept)
                self.assertAlmostEqual(found.spread, spread)

    def test_fit_rejects_points_of_one_size(self):
        with self.assertRaises(ValueError):
            fit("name", "thing", "ms", [Point(1, 1), Point(1, 2)])


class SizedSiteTest(unittest.TestCase):
    def test_a_site_has_the_size_that_is_asked_for(self):
        with tempfile.TemporaryDirectory() as folder:
            site = SizedSite(Path(folder) / "site", nodes=3, workers=5)
            self.assertEqual(len(site.files.nodes_by_id), 3)
            self.assertEqual(len(set(site.worker_addresses)), 5)
            written = load_inventory(str(site.files.vms))
        self.assertLessEqual(set(site.worker_addresses), {vm.address for vm in written.vms})


class CapacityTest(unittest.TestCase):
    def test_every_term_names_the_slopes_that_it_follows_from(self):
        for term in capacity(slopes(1, 0)):
            with self.subTest(role=term.role, what=term.what):
                known = any(name in term.formula for name in NAMES)
                self.assertTrue(known or term.what == "writes of all nodes", term.formula)

    def test_only_exceeded_budgets_are_marked(self):
        self.assertNotIn("over", capacity_table(capacity(slopes(0, 0))))
        self.assertEqual(capacity_table(capacity(slopes(1e6, 0))).count("over budget"), 6)


if __name__ == "__main__":
    unittest.main()
