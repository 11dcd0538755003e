"""Faults that the soak test injects, by name."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TypeVar

import trio
from mimosapoint.memory import MemoryRunWorker
from mimosapoint.workload import ResourceAmounts

from tools.soak.profile import FIRST_CHANGES_SEED, FIRST_CRASH_SEED, FIRST_OUTAGE_SEED, Profile
from tools.soak.site import SoakSite

__all__ = ["OUTAGE_FAULTS", "fault", "fault_names", "faults_by_name", "stop_and_start"]

ROLLING_GROUPS = 4

OUTAGE_FAULTS = ("kill-owner-in-outage", "stop-owner-in-outage")

OUTAGE_SECONDS = (3.0, 8.0)

KILL_SECONDS = (0.1, 1.5)
"""Time from the kill of the owner to the return of the store."""

STOP_SECONDS = (0.5, 3.0)
"""The same for SIGTERM, after which a node works on for a while."""

RESTART_SECONDS = 0.5
"""Longest time from the loss of the owner to the restart of a worker."""

LAPSE_SECONDS = 15.0
"""Longest time for which a worker is cut off; leases end within 10 s."""

SHRUNKEN_CAPACITIES = (ResourceAmounts(3000, 2000, 4), ResourceAmounts(9000, 9000, 0))

T = TypeVar("T")

Fault = Callable[[SoakSite, Random], Awaitable[None]]

faults_by_name: dict[str, Fault] = {}
first_seeds_by_name: dict[str, int] = {}


def fault(name: str, first_seed: int = 0) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault function.

    The function returns once the fault is cleared.

    :param name: name of the fault.
    :param first_seed: first seed that injects it.
    """

    def register(function: Fault) -> Fault:
        faults_by_name[name] = function
        first_seeds_by_name[name] = first_seed
        return function

    return register


def fault_names(profile: Profile) -> list[str]:
    """Return the names of the faults of a seed, sorted."""
    return sorted(name for name, seed in first_seeds_by_name.items() if profile.seed >= seed)


@fault("kill-node")
async def kill_node(site: SoakSite, random: Random) -> None:
    """Kill a node and start it again."""
    number = random.randrange(len(site.processes))
    await site.signal_node(number, "SIGKILL")
    await site.wait_node(number)
    await trio.sleep(random.random())
    await site.start_node(number)


@fault("stop-node")
async def stop_node(site: SoakSite, random: Random) -> None:
    """Stop a node with SIGTERM, or SIGKILL after a timeout, and start it again."""
    await stop_and_start(site, random.randrange(len(site.processes)))


async def stop_and_start(site: SoakSite, number: int) -> None:
    """Stop a node with SIGTERM, or SIGKILL after a timeout, and start it again."""
    await site.signal_node(number, "SIGTERM")
    with trio.move_on_after(8):
        await site.wait_node(number)
    await site.signal_node(number, "SIGKILL")
    await site.wait_node(number)
    await site.start_node(number)


@fault("pause-node")
async def pause_node(site: SoakSite, random: Random) -> None:
    """Suspend a node for some seconds."""
    number = random.randrange(len(site.processes))
    await site.signal_node(number, "SIGSTOP")
    await trio.sleep(random.uniform(0.3, 3))
    await site.signal_node(number, "SIGCONT")


@fault("cut-store")
async def cut_store(site: SoakSite, random: Random) -> None:
    """Disturb the connections from a node to the store.

    They are reset or slowed down, or their data is dropped in one or both directions.
    """
    proxy = random.choice(site.store_proxies)
    mode = random.choice(["both", "up", "down", "reset", "slow"])
    if mode == "reset":
        proxy.reset_connections = True
        await proxy.reset()
    elif mode == "slow":
        proxy.delay = random.uniform(0.05, 0.3)
    else:
        proxy.dropped_directions = frozenset(("up", "down") if mode == "both" else (mode,))
    await trio.sleep(random.uniform(0.5, 4))
    proxy.clear_faults()


@fault("cut-worker")
async def cut_worker(site: SoakSite, random: Random) -> None:
    """Drop the data between a worker and all nodes in both directions, or from the worker only."""
    proxy = random.choice(site.worker_proxies)
    proxy.dropped_directions = random.choice([frozenset(("up", "down")), frozenset(("down",))])
    await trio.sleep(random.uniform(0.5, 8))
    proxy.clear_faults()


@fault("restart-worker")
async def restart_worker(site: SoakSite, random: Random) -> None:
    """Restart a worker under its id as a new incarnation without runs."""
    worker = random.choice(site.workers)
    worker.restart(worker.born + 1)


@fault("store-down")
async def store_down(site: SoakSite, random: Random) -> None:
    """Make the store refuse all calls for some seconds."""
    site.store.faults.refuse = True
    await trio.sleep(random.uniform(0.5, 4))
    site.store.faults.refuse = False


@fault("lose-answers")
async def lose_answers(site: SoakSite, random: Random) -> None:
    """Make the store lose some replies after the calls took effect."""
    site.store.faults.lose_replies += random.randrange(1, 8)


@fault("drop-history")
async def drop_history(site: SoakSite, random: Random) -> None:
    """Make the store discard its history of changes."""
    site.store.compact_history()


@fault("silence-connections", FIRST_CHANGES_SEED)
async def silence_connections(site: SoakSite, random: Random) -> None:
    """Make the open connections from some nodes to the store silent for good; new ones work."""
    for proxy in random.sample(site.store_proxies, random.randint(1, len(site.store_proxies))):
        proxy.silence()


@fault("reset-connections", FIRST_CHANGES_SEED)
async def reset_connections(site: SoakSite, random: Random) -> None:
    """Reset the open connections of a node to the store, or of the nodes to a worker, in series."""
    proxy = random.choice(site.store_proxies + site.worker_proxies)
    for _ in range(random.randint(1, 5)):
        await proxy.reset()
        await trio.sleep(random.uniform(0.1, 1))


@fault("rolling-stop", FIRST_CHANGES_SEED)
async def rolling_stop(site: SoakSite, random: Random) -> None:
    """Stop all nodes in turn, a quarter of a large site at once, and start each again."""
    numbers = list(range(len(site.processes)))
    random.shuffle(numbers)
    size = max(1, len(numbers) // ROLLING_GROUPS)
    for start in range(0, len(numbers), size):
        async with trio.open_nursery() as nursery:
            for number in numbers[start : start + size]:
                nursery.start_soon(stop_and_start, site, number)


@fault("crash-workers", FIRST_CRASH_SEED)
async def crash_workers(site: SoakSite, random: Random) -> None:
    """Let the first task of some submitted jobs crash each worker that starts it."""
    site.crashing_job_periods += 1
    await trio.sleep(random.uniform(0.5, 2))
    site.crashing_job_periods -= 1


@fault("crash-worker", FIRST_CRASH_SEED)
async def crash_worker(site: SoakSite, random: Random) -> None:
    """Let a worker crash for a reason that no task has."""
    await random.choice(site.workers).crash()


@fault("resize-worker", FIRST_CRASH_SEED)
async def resize_worker(site: SoakSite, random: Random) -> None:
    """Let the capacity of a worker shrink, perhaps below what it runs, and grow again."""
    worker = random.choice(site.workers)
    worker.resize(random.choice(SHRUNKEN_CAPACITIES))
    await trio.sleep(random.uniform(1, 6))
    worker.resize(site.profile.worker_capacity)


@fault("kill-owner-in-outage", FIRST_OUTAGE_SEED)
async def kill_owner_in_outage(site: SoakSite, random: Random) -> None:
    """Kill the owner and restart workers towards the end of an outage of the store."""
    await _lose_owner_in_outage(site, random, "SIGKILL", random.uniform(*KILL_SECONDS))


@fault("stop-owner-in-outage", FIRST_OUTAGE_SEED)
async def stop_owner_in_outage(site: SoakSite, random: Random) -> None:
    """Stop the owner with SIGTERM and restart workers towards the end of an outage."""
    await _lose_owner_in_outage(site, random, "SIGTERM", random.uniform(*STOP_SECONDS))


async def _lose_owner_in_outage(
    site: SoakSite, random: Random, signal: str, seconds_left: float
) -> None:
    seconds = random.uniform(*OUTAGE_SECONDS)
    outage = random.choice([site.store_outages.refused, site.store_outages.silent])
    with outage():
        await trio.sleep(seconds - seconds_left)
        owner = random.randrange(len(site.processes)) if site.owner is None else site.owner
        workers = _some_or_all(site.workers, random)
        site.log.write(
            "owner-lost", node=owner, signal=signal, outage=outage.__name__, workers=len(workers)
        )
        await site.signal_node(owner, signal)
        async with trio.open_nursery() as nursery:
            for worker in workers:
                delay = random.uniform(0, min(RESTART_SECONDS, seconds_left))
                nursery.start_soon(_restart_worker, site, worker, delay)
            await trio.sleep(seconds_left)
    await stop_and_start(site, owner)


@fault("lapse-workers", FIRST_OUTAGE_SEED)
async def lapse_workers(site: SoakSite, random: Random) -> None:
    """Cut some or all workers off until their leases are over, and restart them."""
    numbers = _some_or_all(range(len(site.workers)), random)
    async with trio.open_nursery() as nursery:
        for number in numbers:
            nursery.start_soon(_lapse_worker, site, number)


async def _lapse_worker(site: SoakSite, number: int) -> None:
    worker = site.workers[number]
    with site.worker_proxies[number].cut():
        with trio.move_on_after(LAPSE_SECONDS):
            while worker.clock_ms <= worker.lease_until_ms:
                await trio.sleep(0.05)
        await _restart_worker(site, worker, 0)


async def _restart_worker(site: SoakSite, worker: MemoryRunWorker, delay: float) -> None:
    await trio.sleep(delay)
    worker.restart(worker.born + 1)
    site.log.write("worker-restarted", worker=worker.registration.id, born=worker.born)


def _some_or_all(items: Sequence[T], random: Random) -> Sequence[T]:
    if random.random() < 0.5:
        return items
    return random.sample(items, random.randint(1, len(items)))
