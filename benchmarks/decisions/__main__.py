"""Runs every policy over the reporting seeds and prints one table."""

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import orjson
from mimosapoint.scheduling import policy_names

from benchmarks.decisions.decision_time import measure_decision_time
from benchmarks.decisions.simulation import Simulation, Withdrawal
from benchmarks.decisions.sites import AGENCY, SELAT
from benchmarks.decisions.workload import agency_workload, arrivals, selat_workload

BASELINE = "fifo-first-fit"
"""Policy that every table contains."""

TUNING_SEEDS = (11, 12, 13, 14, 15)
"""Seeds used while a policy is changed."""

REPORTING_SEEDS = (101, 102, 103, 104, 105)
"""Seeds of the figures that are reported."""

QUICK_SEEDS = (101, 102)
"""Seeds of a quick run."""

ARRIVAL_SECONDS = 10800.0
"""Seconds in which jobs arrive."""

RUN_SECONDS = 14400.0
"""Seconds at which a run ends."""

WITHDRAWN_AT = 4800.0
"""Seconds at which an availability zone is withdrawn."""

RETURNED_AT = 7200.0
"""Seconds at which it is returned."""

AFTER_RETURN = 1800.0
"""Seconds after the return that count for the work kept."""

PROCESSES = 4
"""Processes that run at once."""

SITES = {
    "agency": (AGENCY, agency_workload, "mvd-centro", 192, 48),
    "selat": (SELAT, selat_workload, "klang-a", 192, 64),
}
"""Configuration, kinds of work, zone withdrawn, accelerators of the site and of that zone."""


def run(site: str, policy: str, seed: int) -> dict[str, float]:
    """Return the figures of one workload, run with and without a withdrawal."""
    configuration, kinds, zone, total, gone = SITES[site]
    work = arrivals(kinds(), configuration, ARRIVAL_SECONDS, seed)
    calm = Simulation(configuration, policy, work, seed).run(RUN_SECONDS)
    withdrawal = Withdrawal(zone, WITHDRAWN_AT, RETURNED_AT)
    left = Simulation(configuration, policy, work, seed, withdrawal).run(RUN_SECONDS)
    found = calm.figures()
    window = (WITHDRAWN_AT, RETURNED_AT + AFTER_RETURN)
    length = window[1] - window[0]
    capacity = total * length - gone * (RETURNED_AT - WITHDRAWN_AT)
    kept, undisturbed = left.work(*window), calm.work(*window)
    found["kept of undisturbed %"] = 100 * kept / max(1.0, undisturbed)
    found["kept of possible %"] = 100 * kept / max(1.0, min(capacity, undisturbed))
    found["kept of capacity %"] = 100 * kept / capacity
    found["use %"] = 100 * calm.work(0, ARRIVAL_SECONDS) / (total * ARRIVAL_SECONDS)
    found["refused assignments"] = calm.refused_assignments + left.refused_assignments
    return found


def _job(arguments: tuple[str, str, int]) -> dict[str, float]:
    return run(*arguments)


def table(policies: list[str], seeds: tuple[int, ...]) -> dict:
    """Return the figures by site, policy and name, one for each seed."""
    jobs = [(site, policy, seed) for site in SITES for policy in policies for seed in seeds]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_job, jobs))
    found: dict = {}
    for (site, policy, _), figures in zip(jobs, results, strict=True):
        by_name = found.setdefault(site, {}).setdefault(policy, {})
        for name, value in figures.items():
            by_name.setdefault(name, []).append(value)
    return found


def decision_times(policies: list[str]) -> dict:
    """Return the cost of decisions by policy and number of workers."""
    sizes = {24: (4, 6), 220: (28, 8)}
    return {
        policy: {
            str(workers): measure_decision_time(policy, *size) for workers, size in sizes.items()
        }
        for policy in policies
    }


def print_table(found: dict, cost: dict) -> None:
    """Print medians and spreads."""
    for site, by_policy in found.items():
        policies = list(by_policy)
        print(f"\n{site}: median (least..most) over the seeds")
        print(f"{'':24}" + "".join(f"{policy:>28}" for policy in policies))
        for name in by_policy[policies[0]]:
            cells = [_cell(by_policy[policy][name]) for policy in policies]
            print(f"{name:24}" + "".join(f"{cell:>28}" for cell in cells))
    print("\nprocessor time of a decision, 800 running and 2000 waiting (ms)")
    for policy, by_workers in cost.items():
        for workers, figures in by_workers.items():
            shown = "  ".join(f"{name} {value:.2f}" for name, value in figures.items())
            print(f"{policy:24}{workers:>4} workers  {shown}")


def _cell(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{middle:.1f} ({min(values):.1f}..{max(values):.1f})"


def main() -> int:
    """Run the rig."""
    parser = argparse.ArgumentParser(prog="benchmarks.decisions")
    parser.add_argument("--quick", action="store_true", help="two seeds in place of five")
    parser.add_argument("--tune", action="store_true", help="the tuning seeds")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--policies", help="names with commas; every one when absent")
    options = parser.parse_args()
    names = options.policies.split(",") if options.policies else list(policy_names())
    policies = [BASELINE, *(name for name in names if name != BASELINE)]
    seeds = QUICK_SEEDS if options.quick else REPORTING_SEEDS
    found = table(policies, TUNING_SEEDS if options.tune else seeds)
    cost = decision_times(policies)
    if options.json:
        sys.stdout.buffer.write(orjson.dumps({"sites": found, "cost": cost}) + b"\n")
    else:
        print_table(found, cost)
    return 0


if __name__ == "__main__":
    sys.exit(main())
