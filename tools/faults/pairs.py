"""Pairs of faults at once, drawn by a seed."""

from itertools import combinations
from random import Random

import trio

from tools.faults import nodes, operators, platform  # noqa: F401 (they fill the registry)
from tools.faults.case_run import CaseRun
from tools.faults.registry import Case, case, cases_by_name

__all__: list[str] = []

PAIRS = 5
SEED = 7
TOO_LONG = ("every node replaced in turn", "owner killed and replaced", "owner stopped")


def _add(first: Case, second: Case) -> None:
    @case(f"{first.name} + {second.name}", combined=True)
    async def both(run: CaseRun) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.execute, run)
            nursery.start_soon(second.execute, run)


def _draw() -> list[tuple[Case, Case]]:
    single = [each for each in cases_by_name.values() if each.name not in TOO_LONG]
    return Random(SEED).sample(list(combinations(single, 2)), PAIRS)


for _pair in _draw():
    _add(*_pair)
