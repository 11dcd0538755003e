"""A cell in memory whose gangs wait for quota and workers, with and without that bound."""

import statistics
from datetime import timedelta
from random import Random

import attrs
import trio
from mimosapoint.cell import CellSettings
from mimosapoint.cell.tests._recorded_site import open_recorded_site
from mimosapoint.cell.tests._site import SMALL, WIDE
from mimosapoint.testing.standstill_checks import standing_jobs
from mimosapoint.workload import ResourceAmounts, Step
from trio.testing import MockClock

__all__ = ["print_standstill"]

WORKERS = 24
CAP = ResourceAmounts(accelerators=64)
"""Cap of the workspace, a third of all accelerators."""

GANG_WIDTHS = (1, 2, 5, 7)
"""Workers of a gang; the largest need most of the cap."""

JOBS = 40
GANG_SHARE = 0.3
ARRIVAL_SECONDS = 120.0
END_SECONDS = 200.0
RUN_TIME = timedelta(seconds=9)
SEEDS = (101, 102, 103, 104, 105)

POLICIES = {
    "without bound": CellSettings(max_standstill=timedelta(hours=1)),
    "with bound": CellSettings(),
}


@attrs.frozen
class Figures:
    """Figures of one play.

    :param lost: jobs of which nothing ran for 3 s beside free capacity.
    :param small: mean time to the end of a job of single tasks, in seconds.
    :param gang: mean time to the end of a gang, in seconds.
    :param slowest_gang: longest time to the end of a gang, in seconds.
    """

    lost: float
    small: float
    gang: float
    slowest_gang: float


async def _play(settings: CellSettings, seed: int) -> Figures:
    random = Random(seed)
    async with open_recorded_site(random, workers=WORKERS, settings=settings) as site:
        site.simulation.run_time = RUN_TIME
        site.put_cap(CAP)
        await trio.sleep(0.5)
        gangs = set()
        for number in range(JOBS):
            step = Step(random.randint(1, 4), SMALL)
            if random.random() < GANG_SHARE:
                gangs.add(f"job{number}")
                step = Step(random.choice(GANG_WIDTHS), WIDE, gang=True)
            await site.call_submit(f"job{number}", step)
            await trio.sleep(random.expovariate(JOBS / ARRIVAL_SECONDS))
        await trio.sleep_until(END_SECONDS)
    history = site.history
    ended_by_job = {run.task.job: run.ended_at or END_SECONDS for run in history.runs}
    times = {
        each.job: ended_by_job.get(each.job, END_SECONDS) - each.sent_at
        for each in history.submissions
    }
    gang_times = [times[job] for job in gangs]
    return Figures(
        sum(line is not None for line in standing_jobs(history)),
        statistics.mean(time for job, time in times.items() if job not in gangs),
        statistics.mean(gang_times),
        max(gang_times),
    )


def print_standstill() -> None:
    """Print the mean figures of each policy over the seeds."""
    print(f"\njobs that stand still: {WORKERS} workers, {JOBS} jobs, {len(SEEDS)} seeds")
    print(f"{'':16}{'lost':>8}{'small s':>9}{'gang s':>9}{'slowest s':>11}")
    for name, settings in POLICIES.items():
        plays = [
            trio.run(_play, settings, seed, clock=MockClock(autojump_threshold=0)) for seed in SEEDS
        ]
        lost, small, gang, slowest = (
            statistics.mean(getattr(play, each.name) for play in plays)
            for each in attrs.fields(Figures)
        )
        print(f"{name:16}{lost:8.1f}{small:9.1f}{gang:9.1f}{slowest:11.1f}")
