"""Run fault cases and print a table of the results: ``python -m tools.faults [NAME ...]``."""

import sys
from collections import Counter
from functools import partial
from pathlib import Path

import fire
import trio

from tools.faults import pairs  # noqa: F401 (registers the cases)
from tools.faults.registry import cases_by_name
from tools.faults.runner import CaseResult, run_cases

LINES_SHOWN = 6
"""Most violations of one case that are printed."""


def main(*names: str, runs: int = 1, seed: int = 1, logs: str = "", list: bool = False) -> None:
    """Run the named cases, or all of them.

    :param names: names of cases.
    :param runs: number of runs of each case.
    :param seed: seed of the random choices in the cases.
    :param logs: folder in which the logs of all processes are kept.
    :param list: only print the names of the cases.
    """
    if list:
        print("\n".join(cases_by_name))
        return
    unknown = sorted(set(names) - set(cases_by_name))
    if unknown:
        sys.exit(f"unknown case {', '.join(unknown)}; --list prints all names")
    cases = [cases_by_name[name] for name in names or cases_by_name]
    folder = Path(logs) if logs else None
    results = trio.run(partial(run_cases, cases, runs, seed, folder, _Progress()))
    sys.exit(_report(results))


class _Progress:
    """Prints progress messages with the seconds since the first."""

    def __init__(self) -> None:
        self._began: float | None = None

    def __call__(self, text: str) -> None:
        at = trio.current_time()
        self._began = self._began if self._began is not None else at
        print(f"  {at - self._began:6.1f} s  {text}", flush=True)


def _report(results: list[CaseResult]) -> int:
    """Print the table of the results and return the exit code."""
    print(f"\n{'case':<58}{'runs':>5}{'jobs':>6}{'first start':>13}{'broken':>8}  outcomes")
    by_name: dict[str, list[CaseResult]] = {}
    for result in results:
        by_name.setdefault(result.name, []).append(result)
    for name, runs in by_name.items():
        _print_row(name, runs)
    failed_runs = sum(bool(result.violations) for result in results)
    print(f"\n{len(results)} runs, {failed_runs} of them with broken promises")
    return 1 if failed_runs else 0


def _print_row(name: str, runs: list[CaseResult]) -> None:
    """Print the row of a case, with the latest first start of its runs."""
    starts = [run.first_start for run in runs if run.first_start is not None]
    first = f"{max(starts):.2f} s" if starts else "-"
    outcomes = sum((run.outcomes for run in runs), Counter())
    outcome_text = ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
    violations = [line for run in runs for line in run.violations]
    jobs = sum(run.jobs for run in runs)
    print(f"{name:<58}{len(runs):>5}{jobs:>6}{first:>13}{len(violations):>8}  {outcome_text}")
    for line in violations[:LINES_SHOWN]:
        print(f"    {line}")


if __name__ == "__main__":
    fire.Fire(main)
