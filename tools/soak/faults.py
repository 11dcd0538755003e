"""Faults of the soak, in a registry."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import trio

from tools.soak.site import SoakSite

__all__ = ["faults_by_name"]

Fault = Callable[[SoakSite, Random], Awaitable[None]]

faults_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it returns when what it did is undone."""

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
    """Stop a node as planned and start it again."""
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
    """Cut a node from the store: silent, one way, reset, or slow."""
    proxy = random.choice(site.store_proxies)
    how = random.choice(["both", "up", "down", "reset", "slow"])
    if how == "reset":
        proxy.reset_connections = True
        await proxy.reset()
    elif how == "slow":
        proxy.delay = random.uniform(0.05, 0.3)
    else:
        proxy.dropped_directions = frozenset(("up", "down") if how == "both" else (how,))
    await trio.sleep(random.uniform(0.5, 4))
    proxy.heal()


@fault("cut-worker")
async def cut_worker(site: SoakSite, random: Random) -> None:
    """Cut a worker from every node."""
    proxy = random.choice(site.worker_proxies)
    proxy.dropped_directions = random.choice([frozenset(("up", "down")), frozenset(("down",))])
    await trio.sleep(random.uniform(0.5, 8))
    proxy.heal()


@fault("restart-worker")
async def restart_worker(site: SoakSite, random: Random) -> None:
    """Let a worker come back under its id with nothing."""
    worker = random.choice(site.workers)
    worker.restart(worker.born + 1)


@fault("store-down")
async def store_down(site: SoakSite, random: Random) -> None:
    """Let the store refuse everybody."""
    site.store.faults.refuse = True
    await trio.sleep(random.uniform(0.5, 4))
    site.store.faults.refuse = False


@fault("lose-answers")
async def lose_answers(site: SoakSite, random: Random) -> None:
    """Let the store lose some answers after the effect."""
    site.store.faults.lose_replies += random.randrange(1, 8)


@fault("drop-history")
async def drop_history(site: SoakSite, random: Random) -> None:
    """Let the store forget its history."""
    site.store.compact_history()
