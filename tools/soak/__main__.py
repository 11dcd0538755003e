"""Run the soak test with given seeds, with the seeds that failed before, or with new seeds."""

import sys
import tempfile
import time
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import fire
import trio

ROOT = Path(__file__).resolve().parents[2]
FAILED_SEEDS = Path(__file__).with_name("failed-seeds.txt")
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.profile import DEPLOYMENT_NODES  # noqa: E402 (needs the path)
from tools.soak.run import run_seed  # noqa: E402 (needs the path)


def failed_seeds() -> list[int]:
    """Return the seeds listed in ``failed-seeds.txt``."""
    lines = FAILED_SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def choose_seeds(seeds: int, first: int, seconds: float, failed: bool) -> Iterator[int]:
    """Yield the seeds to run; with ``seconds``, new seeds until that time is over."""
    if failed:
        yield from failed_seeds()
    elif not seconds:
        yield from range(first, first + seeds)
    else:
        started_at = time.monotonic()
        for seed in count(int(time.time())):
            if time.monotonic() - started_at >= seconds:
                return
            yield seed


def main(
    seeds: int = 5,
    first: int = 1,
    seconds: float = 0,
    failed: bool = False,
    earlier: str = "",
    nodes: int = DEPLOYMENT_NODES,
    upgrade: bool = True,
) -> None:
    """Run seeds and exit with code 1 when a promise was violated.

    :param seeds: number of seeds.
    :param first: first seed.
    :param seconds: seconds in which to run new seeds, in place of a number of seeds.
    :param failed: run the seeds that failed before.
    :param earlier: checkout of an earlier build; all nodes start with it and are upgraded one after
        the other during the faults.
    :param nodes: nodes of the sites of seeds from 5000 on, for a machine that bears fewer.
    :param upgrade: whether nodes of the earlier build are upgraded; with ``--noupgrade`` only the
        earlier build runs.
    """
    earlier_build = Path(earlier).resolve() if earlier else None
    seeds_run = seeds_failed = 0
    for seed in choose_seeds(seeds, first, seconds, failed):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = trio.run(run_seed, seed, folder, earlier_build, nodes, upgrade)
        verdict = "broken" if result.violations else "kept"
        print(
            f"seed={seed} {verdict} accepted={result.accepted} lag={result.lag:.2f}"
            f" calm={result.calm:.0f} {result.usage} faults={','.join(result.faults)}",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}; logs in {folder}", flush=True)
        seeds_run += 1
        seeds_failed += bool(result.violations)
    print(f"{seeds_run - seeds_failed} passed, {seeds_failed} failed")
    sys.exit(1 if seeds_failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
