"""Plays seeds of the soak, of the failed ones, or fresh ones for some time."""

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

from tools.soak.run import run_seed  # noqa: E402 (needs the path)


def failed_seeds() -> list[int]:
    """Return the seeds that ever failed."""
    lines = FAILED_SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def choose_seeds(seeds: int, first: int, seconds: float, failed: bool) -> Iterator[int]:
    """Yield the seeds to play; fresh ones for some seconds where these are given."""
    if failed:
        yield from failed_seeds()
    elif not seconds:
        yield from range(first, first + seeds)
    else:
        began = time.monotonic()
        for seed in count(int(time.time())):
            if time.monotonic() - began >= seconds:
                return
            yield seed


def main(seeds: int = 5, first: int = 1, seconds: float = 0, failed: bool = False) -> None:
    """Play seeds and exit with 1 when a promise was broken.

    :param seeds: number of seeds.
    :param first: first seed.
    :param seconds: play fresh seeds for this long in place of a number of them.
    :param failed: play the seeds that ever failed.
    """
    played = broken_seeds = 0
    for seed in choose_seeds(seeds, first, seconds, failed):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken, faults, accepted = trio.run(run_seed, seed, folder)
        verdict = "broken" if broken else "kept"
        print(f"seed={seed} {verdict} accepted={accepted} faults={','.join(faults)}", flush=True)
        for line in broken:
            print(f"  {line}; logs in {folder}", flush=True)
        played += 1
        broken_seeds += bool(broken)
    print(f"{played - broken_seeds} passed, {broken_seeds} failed")
    sys.exit(1 if broken_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
