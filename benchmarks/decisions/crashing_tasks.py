"""A cell in memory with tasks that crash their workers, with and without blame for it."""

from datetime import timedelta
from random import Random

import attrs
import trio
from mimosapoint.cell import CellSettings
from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.testing.crash_checks import crashing_tasks
from mimosapoint.workload import Phase, RunEnd, Step, TaskId
from trio.testing import MockClock

__all__ = ["print_crashing_tasks"]

WORKERS = 24
JOBS = 40
CRASHING_SHARE = 0.1
ARRIVAL_SECONDS = 30.0
END_SECONDS = 60.0
RUN_TIME = timedelta(seconds=7)
SEEDS = (101, 102, 103, 104, 105)

POLICIES = {
    "without blame": CellSettings(crash_blame_window=timedelta(0)),
    "with blame": CellSettings(),
}
"""Without a window no run is ever a suspect: nothing is counted, isolated or given up."""


@attrs.frozen
class Figures:
    """Figures of one play.

    :param crashes: crashes of workers.
    :param runs_lost: runs of other tasks that ended with a worker.
    :param core_seconds_lost: work of these runs.
    :param completed: share of the healthy jobs that are complete at the end.
    """

    crashes: int
    runs_lost: int
    core_seconds_lost: float
    completed: float


async def _play(settings: CellSettings, seed: int) -> Figures:
    random = Random(seed)
    crashing_jobs = set()
    async with open_site(workers=WORKERS, settings=settings) as site:
        site.simulation.run_time = RUN_TIME
        for number in range(JOBS):
            job = f"job{number}"
            if random.random() < CRASHING_SHARE:
                crashing_jobs.add(job)
                site.simulation.crashing_tasks.add(TaskId(job, 0, 0, 0))
            step = random.choice((Step(8, SMALL), Step(2, WIDE, gang=True)))
            await site.submit(job, step, queue=random.randrange(3))
            await trio.sleep(ARRIVAL_SECONDS / JOBS)
        await trio.sleep(END_SECONDS - ARRIVAL_SECONDS)
        history = site.simulation.history
        crashes = sum(len(runs) for runs in crashing_tasks(history).values())
        lost = [run for run in history if run.end is RunEnd.LOST and not run.crashed_worker]
        healthy = [f"job{n}" for n in range(JOBS) if f"job{n}" not in crashing_jobs]
        complete = sum(site.phase(job) is Phase.COMPLETE for job in healthy)
        work = sum(
            (run.ended_at - run.started_at) * run.step.amounts.weighted_cores for run in lost
        )
        return Figures(crashes, len(lost), work, complete / len(healthy))


def print_crashing_tasks() -> None:
    """Print the mean figures of each policy over the seeds."""
    print(f"\ntasks that crash their workers: {WORKERS} workers, {JOBS} jobs, {len(SEEDS)} seeds")
    print(f"{'':16}{'crashes':>10}{'runs lost':>11}{'core-s lost':>13}{'healthy done':>14}")
    for name, settings in POLICIES.items():
        plays = [
            trio.run(_play, settings, seed, clock=MockClock(autojump_threshold=0)) for seed in SEEDS
        ]
        means = [
            sum(getattr(play, each.name) for play in plays) / len(plays)
            for each in attrs.fields(Figures)
        ]
        crashes, runs_lost, work, completed = means
        print(f"{name:16}{crashes:10.1f}{runs_lost:11.1f}{work:13.0f}{completed:14.3f}")
