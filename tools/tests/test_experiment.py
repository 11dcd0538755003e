"""Tests of paired experiments: what is compared, what is played again, what the bench tells."""

import math
import sys
import tempfile
import unittest
from pathlib import Path

import orjson
import trio

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from mimosapoint_bench.journal import read_figures  # noqa: E402 (needs the path)
from mimosapoint_bench.template import change_setting  # noqa: E402

from tools.experiment.comparison import Difference, compare, format_table  # noqa: E402
from tools.experiment.plan import Case, Experiment, Play, Variant  # noqa: E402
from tools.experiment.results import ResultFile  # noqa: E402
from tools.experiment.runner import PlayFailed, run_experiment  # noqa: E402

CASES = [Case("site.toml", "calm"), Case("site.toml", "burst")]
EXPERIMENT = Experiment(
    "Does it help?", "fake", "old", {"old": Variant(), "new": Variant()}, CASES, [1, 2, 3]
)


class FakePlayer:
    def __init__(self, broken=()):
        self.played = []
        self.broken = broken

    async def play(self, play, variant):
        if play.key in self.broken:
            raise PlayFailed("no figures")
        self.played.append(play.key)
        return {"payoff": play.seed + 0.5 * (play.variant == "new") * (play.case.load == "burst")}


class ExperimentTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "results.jsonl"

    def run_plays(self, player):
        results = ResultFile(self.path)
        failed = trio.run(run_experiment, EXPERIMENT, player, results, 2)
        return results.figures_by_play, failed

    def test_the_spread_between_seeds_does_not_hide_a_paired_difference(self):
        figures, _ = self.run_plays(FakePlayer())
        found = compare(EXPERIMENT, figures, "new", "site/burst")["payoff"]
        self.assertEqual((3, 0.5, 0.0, 3, 0), (found.pairs, found.mean, found.error, 3, found.less))
        self.assertTrue(found.is_significant)
        calm = compare(EXPERIMENT, figures, "new", "site/calm")["payoff"]
        self.assertFalse(calm.is_significant)
        self.assertIn("**+0.500 (0.000)**", format_table(EXPERIMENT, figures))

    def test_a_single_pair_shows_nothing(self):
        found = Difference.of([1.0], [2.0])
        self.assertTrue(math.isnan(found.error))
        self.assertFalse(found.is_significant)

    # Guards against an interrupted experiment that plays everything again or compares other seeds.
    def test_an_experiment_goes_on_where_it_was(self):
        missing = Play("new", CASES[1], 2).key
        _, failed = self.run_plays(FakePlayer(broken={missing}))
        self.assertEqual([missing], [play.key for play in failed])
        with self.path.open("ab") as file:
            file.write(b'{"play": "cut o')
        partial = ResultFile(self.path).figures_by_play
        self.assertEqual(2, compare(EXPERIMENT, partial, "new", "site/burst")["payoff"].pairs)
        for expected in ([missing], []):
            player = FakePlayer()
            self.run_plays(player)
            self.assertEqual(expected, player.played)


class BenchTest(unittest.TestCase):
    def test_a_setting_is_changed_in_its_section_only(self):
        template = (
            "id: {{node|json}}\ndecisions:\n  durations: learned\n  # Why.\nbounds:\n  a: 1\n"
        )
        changed = change_setting(template, "decisions.durations", "declared")
        self.assertEqual(template.replace("learned", "declared"), changed)
        changed = change_setting(template, "bounds.durations", "2")
        self.assertIn("  durations: learned\n", changed)
        self.assertIn("bounds:\n  durations: 2\n  a: 1\n", changed)
        self.assertTrue(
            change_setting(template, "admission", "true").endswith("\nadmission: true\n")
        )
        self.assertTrue(change_setting(template, "crashes.a", "1").endswith("\ncrashes:\n  a: 1\n"))

    def test_figures_have_our_names(self):
        digest = (
            "class                asked  in aim   late refused failed not owed  worth   p50 ms\n"
            "big                     12      11      1       0      0        0  0.990  10117.1\n"
            "small                   32      29      2       1      0        0  0.897   2781.4\n"
            "\nzone x  1 1 1 1 1 1 1.0 2\n"
        )
        day = {
            "G": 0.8,
            "refused": 0.01,
            "failed": 0.0,
            "rules": {"LOST": 2},
            "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.4]],
            "prices": [["machine-seconds", 400.0, 0.1]]
            + [["core-seconds of work thrown away", 1000.0, 0.02]],
        }
        found = read_figures(orjson.dumps({"days": [day], "digest": digest}))
        self.assertEqual((40.0, 3.0, 2.0), (found["in_time"], found["late"], found["rules_broken"]))
        self.assertEqual((0.9, 0.4), (found["served"], found["worst_windows"]))
        self.assertEqual((1000.0, 0.02), (found["discarded_core_s"], found["discarded_price"]))
        with self.assertRaises(ValueError):
            read_figures(orjson.dumps({"days": [], "error": "it did not build"}))


if __name__ == "__main__":
    unittest.main()
