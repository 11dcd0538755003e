"""The planner of a cell in simulated time, without a network: one table for each mix of jobs."""

import heapq
import itertools
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

import attrs
from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.planner import Planner
from mimosapoint.cell.decisions.units import TaskRun, Unit, UnitState
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import WorkerRegistration
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import ResourceAmounts, UnitId

from benchmarks.decisions.cell_workload import (
    ARRIVAL_SECONDS,
    MIXES,
    Mix,
    cell_arrivals,
    configuration,
)
from benchmarks.decisions.workload import START

__all__ = ["CELL_POLICIES", "CELL_SEEDS", "CellPlay", "cell_table", "print_cell_table"]

WORKERS = 176
CAPACITY = ResourceAmounts(128_000, 256_000, 8)
END_SECONDS = 80.0
DECISION_PAUSE = 0.05
STOP_SECONDS = 0.9
RESTORE_SECONDS = 0.6
LEASE_SECONDS = 6.0
BROKEN_GANG_SECONDS = 1.0
ABSENCE_SECONDS = 10.0
LOSSES_PER_SECOND = 0.3
CHECKPOINT_SECONDS = {"normal": 0.5, "deferrable": 2.0}
SPEED_RANGE = (0.7, 1.0)
REMOTE_FACTOR = 3.0
LATE_FACTOR = 3
WINDOW_SECONDS = 3.0
PROCESSES = 3

BASE = CellSettings(run_stop_time=timedelta(seconds=STOP_SECONDS))

CELL_SEEDS = tuple(range(101, 111))
"""Seeds of reported figures; seeds from 11 to 30 are for changes to a policy."""

_CHECKPOINTS = {
    "preemption_cost": "since-checkpoint",
    "restore_time": timedelta(seconds=RESTORE_SECONDS),
    "checkpoint_interval": timedelta(seconds=max(CHECKPOINT_SECONDS.values())),
}

CELL_POLICIES = {
    "present": {},
    "least-cost": {"start_order": "least-cost"},
    "since-checkpoint": _CHECKPOINTS,
    "expected-end": {"gang_reservation": "expected-end"},
    "more-reservations": {"max_reserved_gangs": 16},
    "all": {"start_order": "least-cost", "gang_reservation": "expected-end", **_CHECKPOINTS},
}
"""Changes of the settings, by the name in the table."""


@attrs.define
class SimulatedClock:
    """Clock of the simulated time.

    :param seconds: seconds since the start.
    """

    seconds: float = 0.0

    def now(self):
        """Return the simulated time."""
        return START + timedelta(seconds=self.seconds)


@attrs.define
class _UnitRun:
    """What the simulated workers know of a unit's present run.

    :param run: number of the run.
    :param started: seconds at which it started.
    :param restore: seconds that it restores a checkpoint first.
    :param needed: seconds of work after that.
    :param base: share of the unit's work that was saved before.
    """

    run: int
    started: float
    restore: float
    needed: float
    base: float

    def work(self, now: float) -> float:
        """Return the seconds of work done until a time."""
        return min(max(0.0, now - self.started - self.restore), self.needed)

    def share(self, work: float) -> float:
        """Return the share of the unit's work that is done after some seconds of work."""
        return self.base + (1 - self.base) * work / self.needed


class CellPlay:
    """One run of a mix under one policy.

    :param mix: the mix.
    :param settings: settings of the planner.
    :param seed: seed of the arrivals and of the lost workers.
    """

    def __init__(self, mix: Mix, settings: CellSettings, seed: int):
        self._clock = SimulatedClock()
        self._table = CellJobTable(self._clock, MemoryTelemetry())
        self._planner = Planner(settings)
        self._configuration = configuration()
        self._events: list = []
        self._order = itertools.count()
        self._runs = itertools.count(1)
        self._run_by_unit: dict[UnitId, _UnitRun] = {}
        self._saved_share: dict[UnitId, float] = {}
        self._decision_at: float | None = None
        self._arrivals = {arrival.record.id: arrival for arrival in cell_arrivals(mix, seed)}
        self.completion_by_job: dict[str, float] = {}
        self.stops = 0
        self.discarded = 0.0
        rng = random.Random(seed + 1000)
        self._speed = {f"w{number}": rng.uniform(*SPEED_RANGE) for number in range(WORKERS)}
        self._workers = [Worker(_registration(name, mix)) for name in self._speed]
        self._absent: set[str] = set()
        self._withdrawn: set[str] = set()
        for arrival in self._arrivals.values():
            self._at(arrival.at, self._accept, arrival)
        at = 0.0
        while (at := at + rng.expovariate(LOSSES_PER_SECOND)) < END_SECONDS:
            self._at(at, self._lose, rng.choice(self._workers))
        if mix.zone_withdrawn:
            zone = [worker for worker in self._workers if worker.registration.zone == "z0"]
            self._at(ARRIVAL_SECONDS / 3, self._withdrawn.update, {worker.id for worker in zone})
            self._at(ARRIVAL_SECONDS * 2 / 3, self._withdrawn.clear)
        for second in range(1, int(END_SECONDS)):
            self._at(second, self._report_progress)

    def _at(self, seconds: float, function, *arguments) -> None:
        heapq.heappush(self._events, (seconds, next(self._order), function, arguments))

    def run(self) -> dict[str, float]:
        """Run until every job has ended, at most :data:`END_SECONDS`, and return the figures."""
        while self._events and len(self.completion_by_job) < len(self._arrivals):
            seconds, _, function, arguments = heapq.heappop(self._events)
            if seconds > END_SECONDS:
                break
            self._clock.seconds = seconds
            function(*arguments)
        return self._figures()

    def _request_decision(self, seconds: float) -> None:
        if self._decision_at is None or seconds < self._decision_at - 1e-9:
            self._decision_at = seconds
            self._at(seconds, self._decide)

    def _changed(self) -> None:
        self._request_decision(self._clock.seconds + DECISION_PAUSE)

    def _accept(self, arrival) -> None:
        self._table.add(arrival.record, len(self._table.jobs_by_id) + 1)
        self._changed()

    def _decide(self) -> None:
        if self._decision_at is None or self._clock.seconds < self._decision_at - 1e-9:
            return
        self._decision_at = None
        self._table.create_due_units()
        plan = self._planner.plan(
            [u for u in self._table.waiting_by_id.values() if not u.task_runs_by_task],
            list(self._table.active_units()),
            [worker for worker in self._workers if worker.id not in self._absent | self._withdrawn],
            DecisionContext(self._configuration, self._clock.now()),
        )
        for stop in plan.stops:
            self._stop(stop.unit, stop.reason)
        for start in plan.starts:
            self._start(start.unit, start.workers)
        if plan.next_decision_at is not None:
            self._request_decision((plan.next_decision_at - START).total_seconds() + 0.001)

    def _start(self, unit: Unit, workers: tuple[Worker, ...]) -> None:
        self._table.activate(unit, next(self._runs))
        for task, worker in zip(unit.tasks, workers, strict=True):
            task_run = TaskRun(task, unit.run, worker, unit.step.amounts, unit, confirmed_ms=0)
            worker.add(task_run)
            unit.task_runs_by_task[task] = task_run
        base = self._saved_share.get(unit.id, 0.0)
        slowness = 1 / min(self._speed[worker.id] for worker in workers)
        if unit.step.rack_local and len({worker.registration.rack for worker in workers}) > 1:
            slowness *= REMOTE_FACTOR
        needed = self._arrivals[unit.id.job].seconds * slowness * (1 - base)
        restore = RESTORE_SECONDS if base else 0.0
        run = _UnitRun(unit.run, self._clock.seconds, restore, max(needed, 0.001), base)
        self._run_by_unit[unit.id] = run
        self._at(self._clock.seconds + restore + run.needed, self._finish, unit, unit.run)

    def _finish(self, unit: Unit, run: int) -> None:
        if unit.run != run or unit.stop_reason or unit.state is not UnitState.ACTIVE:
            return
        self._free(unit)
        self._table.finish_unit(unit)
        unit.job.stored_progress_version = unit.job.progress_version
        if unit.job.remaining == 0:
            self.completion_by_job[unit.id.job] = (
                self._clock.now() - unit.job.waiting_since
            ).total_seconds()
        self._changed()

    def _stop(self, unit: Unit, reason: str) -> None:
        unit.stop_reason = reason
        unit.preemptions += 1
        self.stops += 1
        work = self._run_by_unit[unit.id].work(self._clock.seconds)
        self._lose_work(unit, work if unit.step.checkpoints else 0.0, STOP_SECONDS)
        self._at(self._clock.seconds + STOP_SECONDS, self._requeue, unit, unit.run)

    def _lose_work(self, unit: Unit, saved: float, idle: float) -> None:
        """Save some seconds of the unit's work; the rest, and its capacity while idle, is lost."""
        run = self._run_by_unit[unit.id]
        lost = self._clock.seconds - run.started - saved + idle
        self.discarded += lost * unit.step.amounts.weighted_cores * unit.size
        if saved:
            self._saved_share[unit.id] = run.share(saved)

    def _lose(self, worker: Worker) -> None:
        self._absent.add(worker.id)
        self._at(self._clock.seconds + ABSENCE_SECONDS, self._return, worker)
        for unit in {run.unit for run in worker.task_runs_by_key.values()}:
            if unit.stop_reason or unit.state is not UnitState.ACTIVE:
                continue
            unit.stop_reason = "lost"
            saved = 0.0
            if unit.step.checkpoints:
                interval = CHECKPOINT_SECONDS[unit.job.record.queue]
                work = self._run_by_unit[unit.id].work(self._clock.seconds)
                saved = work - work % interval
            self._lose_work(unit, saved, LEASE_SECONDS if unit.size == 1 else BROKEN_GANG_SECONDS)
            self._at(
                self._clock.seconds + BROKEN_GANG_SECONDS, self._free, unit, unit.run, worker.id
            )
            self._at(self._clock.seconds + LEASE_SECONDS, self._requeue, unit, unit.run)

    def _return(self, worker: Worker) -> None:
        self._absent.discard(worker.id)
        self._changed()

    def _free(self, unit: Unit, run: int = 0, kept: str = "") -> None:
        for task, task_run in list(unit.task_runs_by_task.items()):
            if task_run.worker.id != kept and run in (0, unit.run):
                task_run.worker.remove(task_run)
                del unit.task_runs_by_task[task]
        self._changed()

    def _requeue(self, unit: Unit, run: int) -> None:
        if unit.run == run:
            self._free(unit)
            self._table.requeue(unit)

    def _report_progress(self) -> None:
        now = self._clock.seconds
        for unit in self._table.active_units():
            run = self._run_by_unit[unit.id]
            percent = int(100 * run.share(run.work(now)))
            for task_run in unit.task_runs_by_task.values():
                task_run.percent = percent
                task_run.progress_rate.add_sample(percent, int(now * 1000))

    def _figures(self) -> dict[str, float]:
        figures: dict[str, float] = {}
        gained_by_window: dict[int, list[float]] = {}
        totals, completions = {}, {}
        for name, arrival in self._arrivals.items():
            source, record = arrival.source, arrival.record
            objective = record.slack_factor * record.critical_path() + record.target
            took = self.completion_by_job.get(name, END_SECONDS - arrival.at)
            gained = 1.0 if took <= objective.total_seconds() else source.late_share
            if name not in self.completion_by_job or took > LATE_FACTOR * objective.total_seconds():
                gained = 0.0
            totals.setdefault(source.queue, []).append((source.weight, gained))
            completions.setdefault(source.queue, []).append(took)
            window = gained_by_window.setdefault(int(arrival.at / WINDOW_SECONDS), [0.0, 0.0])
            window[0] += gained * source.weight
            window[1] += source.weight
        weighed = [pair for pairs in totals.values() for pair in pairs]
        figures["payoff"] = sum(w * g for w, g in weighed) / sum(w for w, _ in weighed)
        for queue, pairs in sorted(totals.items()):
            figures[f"payoff {queue}"] = statistics.mean(gained for _, gained in pairs)
        figures["served %"] = 100 * statistics.mean(gained > 0 for _, gained in weighed)
        figures["discarded core-s"] = self.discarded
        figures["stops"] = self.stops
        for queue, times in sorted(completions.items()):
            figures[f"median s {queue}"] = statistics.median(times)
            figures[f"p95 s {queue}"] = statistics.quantiles(times, n=20)[-1]
        figures["worst window"] = min(gained / owed for gained, owed in gained_by_window.values())
        return figures


def _registration(name: str, mix: Mix) -> WorkerRegistration:
    rack = int(name[1:]) // mix.rack_size
    zone = f"z{rack % mix.zones}"
    return WorkerRegistration(name, "a:1", "pool", zone, f"r{rack}", frozenset(), CAPACITY)


def _run_cell(arguments: tuple[str, str, int]) -> dict[str, float]:
    mix, policy, seed = arguments
    return CellPlay(MIXES[mix], attrs.evolve(BASE, **CELL_POLICIES[policy]), seed).run()


def cell_table(policies: list[str], seeds: tuple[int, ...] = CELL_SEEDS) -> dict:
    """Return lists of figures by mix, policy and figure name, with one value for each seed."""
    jobs = [(mix, policy, seed) for mix in MIXES for policy in policies for seed in seeds]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_run_cell, jobs))
    found: dict = {}
    for (mix, policy, _), figures in zip(jobs, results, strict=True):
        by_name = found.setdefault(mix, {}).setdefault(policy, {})
        for name, value in figures.items():
            by_name.setdefault(name, []).append(value)
    return found


def print_cell_table(found: dict) -> None:
    """Print the mean of each figure over the seeds."""
    for mix, by_policy in found.items():
        print(f"\ncell, {mix}: mean over the seeds")
        print(f"{'':24}" + "".join(f"{policy:>16}" for policy in by_policy))
        for name in next(iter(by_policy.values())):
            means = [statistics.mean(figures[name]) for figures in by_policy.values()]
            print(f"{name:24}" + "".join(f"{mean:>16.3f}" for mean in means))
