"""Plays seeds of the soak: ``python -m tools.soak --seeds 5 --first 1 [--seconds 60]``."""

import sys
import tempfile
import time
from pathlib import Path

import fire
import trio

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.run import play  # noqa: E402 (needs the path)


def main(seeds: int = 5, first: int = 1, seconds: float = 0) -> None:
    """Play seeds and exit with 1 when a promise was broken.

    :param seeds: number of seeds.
    :param first: first seed.
    :param seconds: play fresh seeds for this long in place of a number of them.
    """
    began = time.monotonic()
    seed = first if not seconds else int(time.time())
    failed = played = 0
    while (played < seeds) if not seconds else (time.monotonic() - began < seconds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken, faults, accepted = trio.run(play, seed, folder)
        verdict = "broken" if broken else "kept"
        print(f"seed={seed} {verdict} accepted={accepted} faults={','.join(faults)}", flush=True)
        for line in broken:
            print(f"  {line}; logs in {folder}", flush=True)
        failed += bool(broken)
        played += 1
        seed += 1
    print(f"{played - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
