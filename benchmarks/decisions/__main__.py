"""Run every policy with the reporting seeds and print one table."""

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import orjson
from mimosapoint.scheduling import policy_names

from benchmarks.decisions.cell import CELL_POLICIES, cell_table, print_cell_table
from benchmarks.decisions.crashing_tasks import print_crashing_tasks
from benchmarks.decisions.decision_time import measure_decision_time
from benchmarks.decisions.placement_mixes import print_placement_mixes
from benchmarks.decisions.recovery import print_recovery
from benchmarks.decisions.simulated_zone import Withdrawal
from benchmarks.decisions.simulation import Simulation
from benchmarks.decisions.sites import AGENCY, SELAT
from benchmarks.decisions.standstill import print_standstill
from benchmarks.decisions.workload import agency_workload, arrivals, selat_workload

BASELINE = "fifo-first-fit"
"""Policy that every table contains for comparison."""

TUNING_SEEDS = (11, 12, 13, 14, 15)
"""Seeds for changes to a policy; reported figures use other seeds."""

REPORTING_SEEDS = (101, 102, 103, 104, 105)
"""Seeds of reported figures."""

QUICK_SEEDS = (101, 102)
"""Seeds of a quick run."""

ARRIVAL_SECONDS = 10800.0
"""Length of the period in which jobs arrive."""

RUN_SECONDS = 14400.0
"""Length of a run."""

WITHDRAWN_AT = 4800.0
"""Seconds from the start of a run at which an availability zone is withdrawn."""

RETURNED_AT = 7200.0
"""Seconds from the start of a run at which the zone is back in service."""

AFTER_RETURN_SECONDS = 1800.0
"""Seconds after the return that are included in the figures of kept work."""

PROCESSES = 4
"""Number of simulations that run in parallel."""

SITES = {
    "agency": (AGENCY, agency_workload, "mvd-centro", 192, 48),
    "selat": (SELAT, selat_workload, "klang-a", 192, 64),
}
"""Configuration, workload, withdrawn zone, accelerators of the site and of that zone, by site."""


def run(site: str, policy: str, seed: int) -> dict[str, float]:
    """Simulate one workload with and without a withdrawn zone, and return the figures of both."""
    configuration, make_sources, zone, site_accelerators, zone_accelerators = SITES[site]
    work = arrivals(make_sources(), configuration, ARRIVAL_SECONDS, seed)
    in_service = Simulation(configuration, policy, work, seed).run(RUN_SECONDS)
    withdrawal = Withdrawal(zone, WITHDRAWN_AT, RETURNED_AT)
    withdrawn = Simulation(configuration, policy, work, seed, withdrawal).run(RUN_SECONDS)
    found = in_service.figures()
    window = (WITHDRAWN_AT, RETURNED_AT + AFTER_RETURN_SECONDS)
    duration = window[1] - window[0]
    capacity = site_accelerators * duration - zone_accelerators * (RETURNED_AT - WITHDRAWN_AT)
    kept, undisturbed = withdrawn.work(*window), in_service.work(*window)
    found["kept of undisturbed %"] = 100 * kept / max(1.0, undisturbed)
    found["kept of possible %"] = 100 * kept / max(1.0, min(capacity, undisturbed))
    found["kept of capacity %"] = 100 * kept / capacity
    found["use %"] = (
        100 * in_service.work(0, ARRIVAL_SECONDS) / (site_accelerators * ARRIVAL_SECONDS)
    )
    found["refused assignments"] = in_service.refused_assignments + withdrawn.refused_assignments
    return found


def _run_job(arguments: tuple[str, str, int]) -> dict[str, float]:
    return run(*arguments)


def table(policies: list[str], seeds: tuple[int, ...]) -> dict:
    """Return lists of figures by site, policy and figure name, with one value for each seed."""
    jobs = [(site, policy, seed) for site in SITES for policy in policies for seed in seeds]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_run_job, jobs))
    found: dict = {}
    for (site, policy, _), figures in zip(jobs, results, strict=True):
        by_name = found.setdefault(site, {}).setdefault(policy, {})
        for name, value in figures.items():
            by_name.setdefault(name, []).append(value)
    return found


def decision_times(policies: list[str]) -> dict:
    """Return the processor time of decisions by policy and number of workers."""
    sizes = {24: (4, 6), 220: (28, 8)}
    return {
        policy: {
            str(workers): measure_decision_time(policy, *size) for workers, size in sizes.items()
        }
        for policy in policies
    }


def print_table(found: dict, cost: dict) -> None:
    """Print the median and the range of each figure, and the decision times."""
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
    median = statistics.median(values)
    return f"{median:.1f} ({min(values):.1f}..{max(values):.1f})"


def main() -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="benchmarks.decisions")
    parser.add_argument("--quick", action="store_true", help="run two seeds instead of five")
    parser.add_argument("--tune", action="store_true", help="run the tuning seeds")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--policies", help="comma-separated names; all policies by default")
    parser.add_argument("--cell", action="store_true", help="run only the planner of a cell")
    options = parser.parse_args()
    if options.cell:
        print_cell_table(cell_table(list(CELL_POLICIES)))
        return 0
    names = options.policies.split(",") if options.policies else list(policy_names())
    policies = [BASELINE, *(name for name in names if name != BASELINE)]
    seeds = QUICK_SEEDS if options.quick else REPORTING_SEEDS
    found = table(policies, TUNING_SEEDS if options.tune else seeds)
    cost = decision_times(policies)
    if options.json:
        sys.stdout.buffer.write(orjson.dumps({"sites": found, "cost": cost}) + b"\n")
    else:
        print_table(found, cost)
        print_placement_mixes(TUNING_SEEDS if options.tune else seeds)
        print_crashing_tasks()
        print_recovery()
        print_standstill()
        print_cell_table(cell_table(list(CELL_POLICIES)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
