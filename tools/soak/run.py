"""Runs one seed of the soak test."""

from __future__ import annotations

from pathlib import Path
from random import Random

import attrs
import trio
from mimosapoint.testing.crash_checks import may_be_given_up

from tools.soak.callers import Callers
from tools.soak.checks import calm_times, find_violations
from tools.soak.configurations import MAX_ATTEMPTS
from tools.soak.connections import Connections
from tools.soak.end_checks import failed_attempts
from tools.soak.final_checks import check_nodes, wait_ready
from tools.soak.profile import DEPLOYMENT_NODES, profile_of
from tools.soak.reads import StateReads
from tools.soak.schedule import inject_cuts, inject_faults, inject_phases
from tools.soak.site import SoakSite
from tools.soak.usage import Usage

__all__ = ["Result", "run_seed"]

WARM_UP_SECONDS = 3.0
FAULT_SECONDS = 10.0
JOBS_END_SECONDS = 40.0
CALM_SECONDS = 4.0
"""Time after the last fault and change, in addition to the time that the links need, after which
every node must serve callers."""

LONG_JOBS_END_SECONDS = 60.0

ENDED = ("complete", "cancelled")


@attrs.frozen
class Result:
    """Result of a seed.

    :param violations: the violations, one line each.
    :param faults: names of the injected faults.
    :param accepted: number of accepted jobs.
    :param lag: longest delay of the stand-ins in seconds.
    :param usage: most memory and processor time that was in use.
    :param calm: seconds without disturbances, in which no job may stand still.
    """

    violations: list[str]
    faults: list[str]
    accepted: int
    lag: float
    usage: Usage
    calm: float


async def run_seed(
    seed: int,
    folder: Path,
    earlier_build: Path | None = None,
    nodes: int = DEPLOYMENT_NODES,
    upgrade: bool = True,
) -> Result:
    """Run one seed.

    :param folder: folder for settings and logs.
    :param earlier_build: checkout of a build from which the nodes are upgraded during the faults.
    :param nodes: nodes of a site of the size of a deployment.
    :param upgrade: whether nodes of the earlier build are upgraded.
    """
    random = Random(seed)
    profile = profile_of(seed, nodes)
    async with trio.open_nursery() as nursery:
        site = SoakSite(folder, nursery, profile, earlier_build)
        try:
            await site.start()
            callers = Callers(site, Random(seed + 1), Connections(site.addresses))
            violations = await wait_ready(callers)
            site.ready_at = trio.current_time()
            await trio.sleep(WARM_UP_SECONDS)
            injected: list[str] = []
            async with trio.open_nursery() as background:
                finished = trio.Event()
                background.start_soon(callers.submit_until, finished)
                if profile.has_outages:
                    reads = StateReads(callers, Random(seed + 2))
                    background.start_soon(reads.read_until, finished)
                async with trio.open_nursery() as disturbances:
                    if earlier_build is not None and upgrade:
                        disturbances.start_soon(_upgrade_nodes, site)
                    if profile.is_deployment:
                        disturbances.start_soon(inject_phases, site, random, injected)
                    elif profile.has_cuts:
                        disturbances.start_soon(inject_cuts, site, random, injected)
                    else:
                        disturbances.start_soon(
                            inject_faults, site, random, FAULT_SECONDS, injected
                        )
                if profile.has_crashes and not profile.is_deployment:
                    # Under the lowest cap gangs run one by one, and a backlog outlasts the check.
                    site.configurations.change_cap(0)
                calm_seconds = CALM_SECONDS + site.configurations.transfer_seconds(
                    profile.slowest_bytes_per_second
                )
                calm_at = trio.current_time() + calm_seconds
                finished.set()
            violations += await _wait_unfinished_jobs(callers)
            await trio.sleep_until(calm_at)
            violations += await check_nodes(callers)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        violations += find_violations(site, callers)
        nursery.cancel_scope.cancel()
    accepted, lag = len(callers.accepted_at_by_job), site.log.longest_lag()
    calm = sum(ended_at - began_at for began_at, ended_at in calm_times(site))
    return Result(violations, injected, accepted, lag, site.usage, calm)


async def _upgrade_nodes(site: SoakSite) -> None:
    """Upgrade the nodes one after the other during the faults."""
    nodes = len(site.profile.mbps_by_node)
    # Not planned work here: what the earlier build does to requests is not checked.
    with site.disturbed("upgrade"):
        for number in range(nodes):
            await trio.sleep(FAULT_SECONDS / nodes)
            await site.upgrade_node(number)


def _is_given_up(callers: Callers, job: str, state: str) -> bool:
    """Return whether a job is shown as failed, and its tasks have failed or crashed workers."""
    runs = [run for run in callers.site.simulation.history if run.task.job == job]
    has_failed = failed_attempts(runs) >= MAX_ATTEMPTS
    return state == "failed" and (has_failed or may_be_given_up(runs))


async def _wait_unfinished_jobs(callers: Callers) -> list[str]:
    """Wait until all accepted jobs have ended; return one line for each that has not."""
    unfinished_jobs = set(callers.accepted_at_by_job)
    states: dict[str, str] = {}
    has_long_runs = callers.site.profile.has_long_runs
    seconds = LONG_JOBS_END_SECONDS if has_long_runs else JOBS_END_SECONDS
    with trio.move_on_after(seconds):
        while unfinished_jobs:
            for job in sorted(unfinished_jobs):
                states[job] = await callers.state(job)
                if states[job] in ENDED or _is_given_up(callers, job, states[job]):
                    unfinished_jobs.discard(job)
            await trio.sleep(0.2)
    return [f"{job} is accepted and {states.get(job)}" for job in sorted(unfinished_jobs)]
