"""Runs one seed of the soak test."""

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
WARM_UP_SECONDS = 3.0
FAULT_SECONDS = 10.0
JOBS_END_SECONDS = 40.0
SMALL_CORES = 0.5
FIRST_SMALL_SEED = 500
ENDED = ("complete", "cancelled")


async def run_seed(seed: int, folder: Path) -> tuple[list[str], list[str], int]:
    """Run one seed.

    :returns: the violations, the names of the injected faults, and the number of accepted jobs.
    """
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        site = SoakSite(folder, nursery, _cores(seed))
        try:
            await site.start(NODES, WORKERS)
            await trio.sleep(WARM_UP_SECONDS)
            callers = Callers(site, Random(seed + 1))
            injected: list[str] = []
            async with trio.open_nursery() as background:
                background.start_soon(callers.submit_for, FAULT_SECONDS)
                background.start_soon(_inject_faults, site, random, injected)
            violations = await _wait_unfinished_jobs(callers)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        violations += find_violations(site, callers)
        nursery.cancel_scope.cancel()
    return violations, injected, len(callers.accepted)


def _cores(seed: int) -> float:
    """Return the cores of each node; with fewer than one, other nodes relay an owner's orders.

    Seeds below ``FIRST_SMALL_SEED`` were recorded before small nodes were added. They use one core,
    so that they still reproduce the same cases.
    """
    return SMALL_CORES if seed >= FIRST_SMALL_SEED and seed % 2 else 1.0


async def _inject_faults(site: SoakSite, random: Random, injected: list[str]) -> None:
    """Inject random faults, which may overlap, for ``FAULT_SECONDS``."""
    async with trio.open_nursery() as nursery:
        with trio.move_on_after(FAULT_SECONDS):
            while True:
                name = random.choice(sorted(faults_by_name))
                injected.append(name)
                nursery.start_soon(faults_by_name[name], site, Random(random.random()))
                await trio.sleep(random.expovariate(0.7))


async def _wait_unfinished_jobs(callers: Callers) -> list[str]:
    """Wait until all accepted jobs have ended; return one line for each that has not."""
    unfinished_jobs = set(callers.accepted)
    states: dict[str, str] = {}
    with trio.move_on_after(JOBS_END_SECONDS):
        while unfinished_jobs:
            for job in sorted(unfinished_jobs):
                states[job] = await callers.state(job)
                if states[job] in ENDED:
                    unfinished_jobs.discard(job)
            await trio.sleep(0.2)
    return [f"{job} is accepted and {states.get(job)}" for job in sorted(unfinished_jobs)]


def find_violations(site: SoakSite, callers: Callers) -> list[str]:
    """Return contradictions of the workers' history to the promises or to the callers' replies."""
    violations = run_violations(site.simulation.history, site.simulation.over_capacity_workers)
    started = {record.task.job for record in site.simulation.history}
    violations += [f"{job} ran though it was refused" for job in sorted(started & callers.refused)]
    running = {r.task.job for r in site.simulation.history if r.ended_at is None}
    violations += [f"{job} runs on though cancelled" for job in sorted(running & callers.cancelled)]
    return violations
