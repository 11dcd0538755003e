"""What unknown workers block after a change of owner, and the cost of the bounds, at full size."""

from __future__ import annotations

import random
import time
from datetime import timedelta

import attrs
from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.recovery import InheritedWorkers, UnresolvedStarts
from mimosapoint.codec import encode
from mimosapoint.workload import (
    AcceptedJob,
    JobProgress,
    Phase,
    ResourceAmounts,
    Step,
    UnitStart,
)

from benchmarks.decisions.workload import START

__all__ = ["print_recovery"]

WORKERS = 3500
RUNNING_TASKS = 13_000
WORKSPACES = 83
CAPACITY = ResourceAmounts(128_000, 262_144, 8)
STEPS = (
    Step(13, ResourceAmounts(52_000, 80_000, 2), gang=True),
    Step(5, ResourceAmounts(15_000, 22_000, 2), gang=True),
    Step(39, ResourceAmounts(11_000, 16_000, 1)),
)
UNKNOWN = (1, 20, WORKERS)
"""Numbers of workers that have not reported."""

REPEATS = 5


def _make_jobs(seed: int) -> list[Job]:
    """Return running jobs whose units run on random workers."""
    chance = random.Random(seed)
    jobs, tasks = [], 0
    while tasks < RUNNING_TASKS:
        step = chance.choice(STEPS)
        number = len(jobs)
        record = AcceptedJob(
            id=f"{number:016x}",
            queue="q",
            tenant=f"w{number % WORKSPACES}",
            pool="p",
            spec="",
            steps=(step,),
            priority=1,
            max_attempts=3,
            slack_factor=3.0,
            target=timedelta(seconds=1),
            accepted_at=START,
        )
        starts = {
            unit.key: UnitStart(
                run=(7 << 20) + tasks,
                workers=tuple(f"i-{chance.randrange(WORKERS):010x}" for _ in record.tasks_of(unit)),
            )
            for unit in record.units_of(0, 0)
        }
        progress = JobProgress(Phase.RUNNING, starts=starts, has_all_starts=True)
        jobs.append(Job(record, 1, progress, 1, START))
        tasks += step.count
    return jobs


def _unrecorded(job: Job) -> Job:
    """Return the job as a version left it that records no starts."""
    return attrs.evolve(job, progress=JobProgress(job.progress.phase))


def _measure(jobs: list[Job], unknown: int) -> tuple[int, int, float]:
    """Return the waiting units, the bound in accelerators and the milliseconds of processor."""
    workers = InheritedWorkers({f"i-{number:010x}": CAPACITY for number in range(unknown)})
    starts = UnresolvedStarts(jobs, workers)
    starts.remove_resolved()
    began = time.process_time()
    for _ in range(REPEATS):
        starts.remove_resolved()
        use = starts.possible_use()
    milliseconds = 1000 * (time.process_time() - began) / REPEATS
    bound = max(use.of(f"w{number}").accelerators for number in range(WORKSPACES))
    return len(starts), bound, milliseconds


def print_recovery(seed: int = 101) -> None:
    """Print the table: bounds by recorded starts beside those by capacity."""
    recorded = _make_jobs(seed)
    variants = {"recorded starts": recorded, "by capacity": [_unrecorded(job) for job in recorded]}
    units = sum(len(job.progress.starts) for job in recorded)
    sizes = [len(encode(job.progress)) for job in recorded]
    print(f"\nrecovery, {WORKERS} workers, {units} running units in {len(recorded)} jobs")
    print(f"progress of a job: {sum(sizes) / len(sizes):.0f} bytes, at most {max(sizes)}")
    print("| unknown workers | bound | waiting units | largest bound, accelerators | ms |")
    print("|---|---|---|---|---|")
    for unknown in UNKNOWN:
        for name, jobs in variants.items():
            waiting, bound, milliseconds = _measure(jobs, unknown)
            print(f"| {unknown} | {name} | {waiting} | {bound} | {milliseconds:.1f} |")
