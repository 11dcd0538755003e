"""Faults that the soak test injects, by name."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import trio

from tools.soak.site import SoakSite

__all__ = ["faults_by_name"]

Fault = Callable[[SoakSite, Random], Awaitable[None]]

faults_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault function.

    The function returns once the fault is cleared.
    """

    def register(function: Fault) -> Fault:
        faults_by_name[name] = function
        return function

    return register


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
    number = random.randrange(len(site.processes))
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
