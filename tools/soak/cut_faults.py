"""Cuts of connections, and faults that put workers out of sight of a new owner."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import AsyncExitStack, ExitStack
from random import Random
from typing import TypeVar

import trio

from tools.soak.faults import fault, stop_and_start
from tools.soak.profile import FIRST_CUT_SEED
from tools.soak.proxy import CUT_MODES, Proxy
from tools.soak.site import SoakSite

__all__ = ["CUTS", "UNSEEN_FAULTS"]

CUTS = (
    "cut-workers-from-nodes",
    "cut-workers-from-store",
    "cut-store-from-nodes",
    "cut-nodes-from-nodes",
)
UNSEEN_FAULTS = ("lose-sight-of-workers", "move-workers")

CUT_SECONDS = (0.3, 4.0)
CUTS_PER_SERIES = (1, 1, 2, 3)
SERIES_GAP_SECONDS = 0.6
UNSEEN_STEP_SECONDS = 5.0
"""Longest time from one step of the faults in ``UNSEEN_FAULTS`` to the next."""

TAKEOVER_SECONDS = (3.5, 6.0)
"""Time from the loss of the owner to the return of everything; leases end within 10 s."""

SETTLING_SECONDS = (2.0, 4.0)
"""Time in which workers get work before they lose the store."""

T = TypeVar("T")


async def _cut(choose: Callable[[], Iterable[Proxy]], random: Random) -> None:
    """Cut connections in a series; the proxies and the way are chosen for each cut."""
    async with trio.open_nursery() as nursery:
        for _ in range(random.choice(CUTS_PER_SERIES)):
            mode, seconds = random.choice(CUT_MODES), random.uniform(*CUT_SECONDS)
            nursery.start_soon(_hold, list(choose()), mode, seconds)
            await trio.sleep(random.uniform(0, SERIES_GAP_SECONDS))


async def _hold(proxies: Iterable[Proxy], mode: str, seconds: float) -> None:
    async with AsyncExitStack() as cuts:
        for proxy in proxies:
            await cuts.enter_async_context(proxy.cut_by(mode))
        await trio.sleep(seconds)


def _one_or_all(items: Sequence[T], random: Random) -> Sequence[T]:
    return items if random.random() < 0.3 else [random.choice(items)]


def _busy_workers(site: SoakSite, random: Random) -> list[int]:
    """Return the numbers of some workers with runs, of at most half of all."""
    busy = [number for number, worker in enumerate(site.workers) if worker.running]
    most = min(len(busy), len(site.workers) // 2)
    return random.sample(busy, random.randint((most + 1) // 2, most))


@fault("cut-workers-from-nodes", FIRST_CUT_SEED)
async def cut_workers_from_nodes(site: SoakSite, random: Random) -> None:
    """Cut the connections of all nodes to one worker, or to all."""
    await _cut(lambda: _one_or_all(site.worker_proxies, random), random)


@fault("cut-workers-from-store", FIRST_CUT_SEED)
async def cut_workers_from_store(site: SoakSite, random: Random) -> None:
    """Cut one worker, or all, from the store."""
    with _without_store(site, _one_or_all(range(len(site.workers)), random)):
        await trio.sleep(random.uniform(*CUT_SECONDS) + UNSEEN_STEP_SECONDS)


@fault("cut-store-from-nodes", FIRST_CUT_SEED)
async def cut_store_from_nodes(site: SoakSite, random: Random) -> None:
    """Cut the connections of one node, or of all, to the store."""
    await _cut(lambda: _one_or_all(site.store_proxies, random), random)


@fault("cut-nodes-from-nodes", FIRST_CUT_SEED)
async def cut_nodes_from_nodes(site: SoakSite, random: Random) -> None:
    """Cut the connections of other nodes to one node, or all connections between nodes."""

    def choose() -> Iterator[Proxy]:
        for proxies in _one_or_all(site.node_proxies, random):
            yield from proxies

    await _cut(choose, random)


@fault("lose-sight-of-workers", FIRST_CUT_SEED)
async def lose_sight_of_workers(site: SoakSite, random: Random) -> None:
    """Let workers lose the store, then refuse connections, and then the owner end.

    Their entries are removed before connections are refused, and their runs go on.
    """
    await trio.sleep(random.uniform(*SETTLING_SECONDS))
    numbers = _busy_workers(site, random)
    with _without_store(site, numbers):
        for number in numbers:
            await site.worker_reports.wait_removed(number)
        await trio.sleep(random.uniform(0, UNSEEN_STEP_SECONDS))
        async with AsyncExitStack() as cuts:
            for number in numbers:
                await cuts.enter_async_context(site.worker_proxies[number].cut_by("refuse"))
            site.log.write("workers-out-of-sight", workers=len(numbers))
            await trio.sleep(random.uniform(0, UNSEEN_STEP_SECONDS))
            await _lose_owner(site, random)


@fault("move-workers", FIRST_CUT_SEED)
async def move_workers(site: SoakSite, random: Random) -> None:
    """Restart workers at other addresses, let some lose the store, and then the owner end.

    The earlier addresses refuse connections, or other workers reply there.
    """
    all_numbers = range(len(site.workers))
    is_used = random.random() < 0.5
    async with AsyncExitStack() as cuts:
        for number in all_numbers:
            other = random.choice([each for each in all_numbers if each != number])
            earlier = await site.move_worker(number)
            if is_used:
                earlier.target = site.worker_proxies[other].target
                await earlier.reset()
            else:
                await cuts.enter_async_context(earlier.cut_by("refuse"))
        site.log.write("workers-moved", workers=len(all_numbers), is_used=is_used)
        await trio.sleep(random.uniform(*SETTLING_SECONDS))
        numbers = _busy_workers(site, random)
        with _without_store(site, numbers):
            for number in numbers:
                await site.worker_reports.wait_removed(number)
            await trio.sleep(random.uniform(0, UNSEEN_STEP_SECONDS))
            await _lose_owner(site, random)


def _without_store(site: SoakSite, numbers: Iterable[int]) -> ExitStack:
    cuts = ExitStack()
    for number in numbers:
        cuts.enter_context(site.worker_reports.cut(number))
    return cuts


async def _lose_owner(site: SoakSite, random: Random) -> None:
    """Kill or suspend the owner for as long as another one needs to start tasks."""
    owner = random.randrange(len(site.processes)) if site.owner is None else site.owner
    signal = random.choice(["SIGKILL", "SIGSTOP"])
    site.log.write("owner-lost", node=owner, signal=signal)
    await site.signal_node(owner, signal)
    await trio.sleep(random.uniform(*TAKEOVER_SECONDS))
    if signal == "SIGSTOP":
        await site.signal_node(owner, "SIGCONT")
    else:
        await stop_and_start(site, owner)
