"""One seed of the soak."""

from __future__ import annotations

from pathlib import Path
from random import Random

import trio
from mimosapoint.testing.run_checks import run_violations

from tools.soak.callers import Callers
from tools.soak.faults import faults_by_name
from tools.soak.site import SoakSite

__all__ = ["run_seed"]

NODES = 3
WORKERS = 6
SETTLE_SECONDS = 3.0
FAULT_SECONDS = 10.0
END_SECONDS = 40.0
SMALL_CORES = 0.5
FIRST_SMALL_SEED = 500
ENDED = ("complete", "cancelled")


async def run_seed(seed: int, folder: Path) -> tuple[list[str], list[str], int]:
    """Play a seed.

    :returns: what is broken, the faults that were played, and the number of accepted jobs.
    """
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        site = SoakSite(folder, nursery, _cores(seed))
        try:
            await site.start(NODES, WORKERS)
            await trio.sleep(SETTLE_SECONDS)
            callers = Callers(site, Random(seed + 1))
            played: list[str] = []
            async with trio.open_nursery() as playing:
                playing.start_soon(callers.submit_for, FAULT_SECONDS)
                playing.start_soon(_inject_faults, site, random, played)
            broken = await _wait_unfinished_jobs(callers)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        broken += find_violations(site, callers)
        nursery.cancel_scope.cancel()
    return broken, played, len(callers.accepted)


def _cores(seed: int) -> float:
    """Return the size of the nodes; the owner of small ones has its orders carried by others.

    Seeds below the first are older than small nodes and stay the cases that they were.
    """
    return SMALL_CORES if seed >= FIRST_SMALL_SEED and seed % 2 else 1.0


async def _inject_faults(site: SoakSite, random: Random, played: list[str]) -> None:
    """Play faults in series that overlap."""
    async with trio.open_nursery() as nursery:
        with trio.move_on_after(FAULT_SECONDS):
            while True:
                name = random.choice(sorted(faults_by_name))
                played.append(name)
                nursery.start_soon(faults_by_name[name], site, Random(random.random()))
                await trio.sleep(random.expovariate(0.7))


async def _wait_unfinished_jobs(callers: Callers) -> list[str]:
    """Wait until every accepted job has ended and return those that have not."""
    open_jobs = set(callers.accepted)
    states: dict[str, str] = {}
    with trio.move_on_after(END_SECONDS):
        while open_jobs:
            for job in sorted(open_jobs):
                states[job] = await callers.state(job)
                if states[job] in ENDED:
                    open_jobs.discard(job)
            await trio.sleep(0.2)
    return [f"{job} is accepted and {states.get(job)}" for job in sorted(open_jobs)]


def find_violations(site: SoakSite, callers: Callers) -> list[str]:
    """Return what the workers saw that contradicts the promises or the callers' answers."""
    broken = run_violations(site.pool.history, site.pool.over_capacity_workers)
    started = {record.task.job for record in site.pool.history}
    broken += [f"{job} ran though it was refused" for job in sorted(started & callers.refused)]
    running = {r.task.job for r in site.pool.history if r.ended is None}
    broken += [f"{job} runs on though cancelled" for job in sorted(running & callers.cancelled)]
    return broken
