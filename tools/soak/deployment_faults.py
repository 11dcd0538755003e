"""Faults of a site of the size of a deployment."""

from __future__ import annotations

from random import Random

import trio

from tools.soak.deployment import DEPLOYMENT_CAPS
from tools.soak.disturbances import RECOVERY_SECONDS
from tools.soak.faults import fault, stop_and_start
from tools.soak.profile import FIRST_DEPLOYMENT_SEED, FIRST_SILENCE_SEED
from tools.soak.site import START_GAP_SECONDS, SoakSite

__all__ = ["PLANNED_DEPLOYMENT_FAULTS"]

PLANNED_DEPLOYMENT_FAULTS = ("change-workspace-cap", "reload-settings", "rolling-stop-of-groups")

STOPPED_SHARE = 0.2
"""Share of the nodes that a group of a rolling stop has, and most that are killed together."""

GROUPS = 2
FAIL_SECONDS = (0.5, 2.0)
RELOADS = 4
SILENCES = 3
SILENCE_GAP_SECONDS = (0.5, 4.0)


@fault("rolling-stop-of-groups", FIRST_DEPLOYMENT_SEED)
async def rolling_stop_of_groups(site: SoakSite, random: Random) -> None:
    """Stop some groups of nodes with SIGTERM, one group after the other, and start them again."""
    size = _group_size(site)
    numbers = random.sample(range(len(site.processes)), size * GROUPS)
    for start in range(0, len(numbers), size):
        async with trio.open_nursery() as nursery:
            for number in numbers[start : start + size]:
                nursery.start_soon(stop_and_start, site, number)


def _group_size(site: SoakSite) -> int:
    return max(1, round(len(site.processes) * STOPPED_SHARE))


@fault("reload-settings", FIRST_DEPLOYMENT_SEED)
async def reload_settings(site: SoakSite, random: Random) -> None:
    """Let some nodes read their settings again with SIGHUP."""
    for number in random.sample(range(len(site.processes)), min(RELOADS, len(site.processes))):
        await site.signal_node(number, "SIGHUP")
        await trio.sleep(random.uniform(0, 0.3))


@fault("kill-nodes", FIRST_DEPLOYMENT_SEED)
async def kill_nodes(site: SoakSite, random: Random) -> None:
    """Kill some nodes at the same moment, and start them again one by one."""
    numbers = random.sample(range(len(site.processes)), random.randint(1, _group_size(site)))
    for number in numbers:
        await site.signal_node(number, "SIGKILL")
    for number in numbers:
        await site.wait_node(number)
        await trio.sleep(random.uniform(0, 0.5))
        await site.start_node(number)


@fault("kill-owner", FIRST_DEPLOYMENT_SEED)
async def kill_owner(site: SoakSite, random: Random) -> None:
    """Kill the owner and start it again."""
    number = random.randrange(len(site.processes)) if site.owner is None else site.owner
    site.log.write("owner-lost", node=number, signal="SIGKILL")
    await site.signal_node(number, "SIGKILL")
    await site.wait_node(number)
    await trio.sleep(random.uniform(0, 2))
    await site.start_node(number)


@fault("lose-power", FIRST_DEPLOYMENT_SEED)
async def lose_power(site: SoakSite, random: Random) -> None:
    """Let all nodes lose power: their connections end silently, and all start again."""
    for proxy in (*site.store_proxies, *site.worker_proxies):
        proxy.silence()
    for number in range(len(site.processes)):
        await site.signal_node(number, "SIGKILL")
    for number in range(len(site.processes)):
        await site.wait_node(number)
    await trio.sleep(random.uniform(0.2, 1))
    for number in range(len(site.processes)):
        await site.start_node(number)
        await trio.sleep(START_GAP_SECONDS)
    await trio.sleep(RECOVERY_SECONDS)


@fault("silence-everything", FIRST_SILENCE_SEED)
async def silence_everything(site: SoakSite, random: Random) -> None:
    """Make all open connections to the store and to workers silent at one moment, in series."""
    for _ in range(random.randint(1, SILENCES)):
        for proxy in (*site.store_proxies, *site.worker_proxies):
            proxy.silence()
        await trio.sleep(random.uniform(*SILENCE_GAP_SECONDS))


@fault("fail-worker", FIRST_DEPLOYMENT_SEED)
async def fail_worker(site: SoakSite, random: Random) -> None:
    """Let all that a worker starts fail for a while."""
    worker = random.choice(site.workers).registration.id
    site.simulation.failing_workers.add(worker)
    await trio.sleep(random.uniform(*FAIL_SECONDS))
    site.simulation.failing_workers.discard(worker)


@fault("change-workspace-cap", FIRST_DEPLOYMENT_SEED)
async def change_workspace_cap(site: SoakSite, random: Random) -> None:
    """Raise or lower the cap of a workspace."""
    site.configurations.change_cap(random.choice(DEPLOYMENT_CAPS))
