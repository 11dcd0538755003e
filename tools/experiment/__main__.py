"""Run an experiment, or print the table of one that has been run."""

import importlib
import sys
from pathlib import Path

import fire
import trio

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.experiment.comparison import format_table  # noqa: E402 (needs the path)
from tools.experiment.plan import load_experiment  # noqa: E402
from tools.experiment.players import find_player, player_names  # noqa: E402
from tools.experiment.results import ResultFile  # noqa: E402
from tools.experiment.runner import run_experiment  # noqa: E402

PLAYER_MODULES = ("mimosapoint_bench.player", "benchmarks.decisions.player")
"""Modules whose import registers players."""


def main(file: str, at_once: int = 3, table_only: bool = False) -> None:
    """Run the plays of an experiment that have no figures yet, and print its table.

    The figures are kept beside the file, so that an experiment that was cut off goes on where it
    was.

    :param file: YAML file that describes the experiment.
    :param at_once: number of plays that run at the same time.
    :param table_only: print the table of the figures so far.
    """
    for module in PLAYER_MODULES:
        importlib.import_module(module)
    path = Path(file)
    experiment = load_experiment(path)
    if experiment.player not in player_names():
        sys.exit(f"{path}: the player is none of {', '.join(player_names())}")
    results = ResultFile(path.with_suffix(".results.jsonl"))
    failed = []
    if not table_only:
        player = find_player(experiment.player)(path.parent)
        failed = trio.run(run_experiment, experiment, player, results, at_once)
    print(format_table(experiment, results.figures_by_play))
    if failed:
        sys.exit(f"{len(failed)} plays failed")


if __name__ == "__main__":
    fire.Fire(main)
