"""Fault cases that run two other cases at once, chosen by a fixed seed."""

from itertools import combinations
from random import Random

import trio

from tools.faults import nodes, operators, platform  # noqa: F401 (registers the cases)
from tools.faults.case_run import CaseRun
from tools.faults.registry import Case, case, cases_by_name

__all__: list[str] = []

PAIRS = 5
SEED = 7
# Cases that take too long to be combined.
EXCLUDED_CASES = ("every node replaced in turn", "owner killed and replaced", "owner stopped")


def _register_pair(first: Case, second: Case) -> None:
    @case(f"{first.name} + {second.name}", combined=True)
    async def run_pair(run: CaseRun) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.execute, run)
            nursery.start_soon(second.execute, run)


def _choose_pairs() -> list[tuple[Case, Case]]:
    candidates = [each for each in cases_by_name.values() if each.name not in EXCLUDED_CASES]
    return Random(SEED).sample(list(combinations(candidates, 2)), PAIRS)


for _pair in _choose_pairs():
    _register_pair(*_pair)
