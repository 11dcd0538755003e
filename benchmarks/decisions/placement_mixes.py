"""Compare placements by the large gangs that still fit when workers are filled with two mixes.

The mixes are those of docs/design/scarce-capacity.md. Units arrive and end at random, so that the
workers are filled as after some time of use; the fitting gangs are counted at given fill levels.
"""

import random
import statistics
import time
from datetime import datetime, timedelta, timezone

from mimosapoint.cell.decisions import Unit, UnitState, Worker
from mimosapoint.cell.decisions.demand_mix import DemandMix
from mimosapoint.cell.decisions.placement_state import PlacementState
from mimosapoint.cell.decisions.placing import find_placement, placement_names
from mimosapoint.cell.decisions.units import Job, TaskRun
from mimosapoint.ports import WorkerRegistration
from mimosapoint.workload import AcceptedJob, JobProgress, ResourceAmounts, Step

__all__ = ["measure_placement_mixes", "print_placement_mixes"]

CAPACITY = ResourceAmounts(128_000, 262_144, 8)
WORKERS = 176
POOL = "pool"
START = datetime(2026, 1, 1, tzinfo=timezone.utc)

RACK_SIZE_AND_RATES = {
    "card payments": (8, (3.23, 0.76, 0.748)),
    "rendering": (20, (2.86, 1.05, 1.03)),
}
"""Workers in a rack; urgent gangs, large gangs and sets of 39 single tasks per second, by mix."""

URGENT_MEMORY_MB = 24_000
"""Memory of an urgent task, which the page does not state: a little less than a deferrable one."""

LARGE_GANG_SIZE = 13
ACCELERATORS = range(1, 9)
FILL_LEVELS = (0.7, 0.8, 0.9)

ROUNDS = 25
"""Number of times at each level that units end and others take their place."""

TURNOVER = 0.05
"""Share of the capacity that ends in each round."""

MAX_TRIES = 40
"""Number of jobs that are tried in a round; those that do not fit are left out."""


def _next_step(rng: random.Random, rates: tuple[float, float, float]) -> Step:
    (kind,) = rng.choices(("urgent", "large", "single tasks"), rates)
    if kind == "single tasks":
        return Step(39, ResourceAmounts(11_000, 29_000, 1), timedelta(seconds=6.3))
    accelerators = rng.choice(ACCELERATORS)
    if kind == "large":
        return Step(LARGE_GANG_SIZE, _large(accelerators), timedelta(seconds=7), gang=True)
    amounts = ResourceAmounts(15_000, URGENT_MEMORY_MB, accelerators)
    return Step(5, amounts, timedelta(seconds=2.3), gang=True)


def _large(accelerators: int) -> ResourceAmounts:
    return ResourceAmounts(52_000, 140_000, accelerators)


class _Site:
    def __init__(self, mix: str, placement: str, seed: int):
        rack_size, self._rates = RACK_SIZE_AND_RATES[mix]
        self._place = find_placement(placement)
        self._rng = random.Random(seed)
        self._demand_mix = DemandMix()
        self._jobs = 0
        self._running: list[list[TaskRun]] = []
        self.decision_ms: list[float] = []
        self._workers = []
        for number in range(WORKERS):
            rack, labels = f"r{number // rack_size}", frozenset()
            registration = WorkerRegistration(
                f"w{number}", "a:1", POOL, "z", rack, labels, CAPACITY
            )
            self._workers.append(Worker(registration))

    def _place_job(self, step: Step) -> None:
        """Place the units of a new job as far as they fit."""
        self._jobs += 1
        name, second = f"j{self._jobs}", timedelta(seconds=1)
        record = AcceptedJob(name, "q", "t", POOL, "", (step,), 1, 3, 3.0, second, START)
        job = Job(record, 1, JobProgress(), 0, START)
        units = [Unit(each, job, UnitState.WAITING, START) for each in record.units_of(0, 0)]
        begin, placed = time.process_time(), []
        self._demand_mix.set_waiting(units)
        state = PlacementState(self._workers, START, self._demand_mix)
        for unit in units:
            candidates = self._place(state, unit, POOL)
            if candidates is None:
                break
            state.deduct(candidates, unit)
            placed.append((unit, candidates))
        self.decision_ms.append(1000 * (time.process_time() - begin))
        for unit, candidates in placed:
            self._demand_mix.add_started(unit)
            runs = [
                TaskRun(task, self._jobs, candidate.worker, step.amounts, unit)
                for task, candidate in zip(unit.tasks, candidates, strict=True)
            ]
            for run in runs:
                run.worker.add(run)
            self._running.append(runs)

    def fill(self) -> float:
        """Return the share of the scarcest resource that is in use."""
        used = sum((worker.used for worker in self._workers), ResourceAmounts())
        total = CAPACITY.scaled(WORKERS)
        return max(
            used.cpu_millis / total.cpu_millis,
            used.memory_mb / total.memory_mb,
            used.accelerators / total.accelerators,
        )

    def run_at(self, level: float) -> None:
        """Start and end units until the workers have been at a fill level for some time."""
        for number in range(ROUNDS):
            while number and self.fill() > level - TURNOVER:
                for run in self._running.pop(self._rng.randrange(len(self._running))):
                    run.worker.remove(run)
            for _ in range(MAX_TRIES):
                if self.fill() >= level:
                    break
                self._place_job(_next_step(self._rng, self._rates))

    def large_gangs_that_fit(self) -> float:
        """Return how many large gangs still fit, on average over their accelerators."""
        fit_counts = [
            _large(accelerators).fit_count(worker.free)
            for accelerators in ACCELERATORS
            for worker in self._workers
        ]
        return sum(fit_counts) / len(ACCELERATORS) / LARGE_GANG_SIZE


def measure_placement_mixes(mix: str, placement: str, seed: int) -> list[float]:
    """Return fill level and fitting gangs for each level, then the mean decision time in ms."""
    site, figures = _Site(mix, placement, seed), []
    for level in FILL_LEVELS:
        site.run_at(level)
        figures += [site.fill(), site.large_gangs_that_fit()]
    return [*figures, statistics.mean(site.decision_ms)]


def print_placement_mixes(seeds: tuple[int, ...]) -> None:
    """Print the mean figures over the seeds."""
    print("\nlarge gangs that still fit at the fill level reached, processor time of a decision")
    for mix in RACK_SIZE_AND_RATES:
        for placement in placement_names():
            found = [measure_placement_mixes(mix, placement, seed) for seed in seeds]
            *figures, milliseconds = map(statistics.mean, zip(*found, strict=True))
            cells = [
                f"{fill:.1%}: {gangs:.2f}"
                for fill, gangs in zip(figures[::2], figures[1::2], strict=True)
            ]
            print(f"{mix:15}{placement:9}{'  '.join(cells)}  {milliseconds:.2f} ms")
