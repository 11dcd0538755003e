"""Schedules of faults that are played on a site in memory."""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
import trio
import trio.testing

from mimosapoint.testing.caller import Caller
from mimosapoint.testing.site import MemorySite

__all__ = ["faults_by_name", "Fault", "ScheduleResult", "simulate", "run_schedule"]

FaultAction = Callable[[MemorySite, Random, float], Any]
"""Brings a fault about for some seconds and then undoes it."""

faults_by_name: dict[str, FaultAction] = {}


@attrs.frozen
class Fault:
    """A fault in a schedule.

    :param name: name of the registered fault.
    :param at: seconds after the first submission.
    :param duration: seconds until it is undone.
    """

    name: str
    at: float
    duration: float


@attrs.frozen
class ScheduleResult:
    """What a schedule led to.

    :param violations: lines on broken promises and unanswered calls.
    :param outcomes: kind or code of each call's end.
    """

    violations: tuple[str, ...]
    outcomes: tuple[str, ...]


def fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a fault."""

    def register(action: FaultAction) -> FaultAction:
        faults_by_name[name] = action
        return action

    return register


def _pick_owner(site: MemorySite, random: Random) -> str | None:
    """Return the owner of a zone, or some node when there is none."""
    owner = site.owner_of(random.choice(sorted(site.configuration.zones_by_id)))
    return owner or next(iter(sorted(site.nodes_by_id)), None)


def _pick_worker(site: MemorySite, random: Random) -> str:
    return random.choice(sorted(site.history.zones_by_worker))


@fault("kill")
async def kill(site: MemorySite, random: Random, lasts: float) -> None:
    """Kill an owner and start it again."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.kill(node)
    await trio.sleep(lasts)
    await site.start(node)


@fault("freeze")
async def freeze(site: MemorySite, random: Random, lasts: float) -> None:
    """Freeze an owner."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.freeze(node)
    await trio.sleep(lasts)
    site.thaw(node)


@fault("freeze-at")
async def freeze_at(site: MemorySite, random: Random, lasts: float) -> None:
    """Freeze an owner as it sends a command."""
    node = _pick_owner(site, random)
    if node is None:
        return
    commands = ("reserve", "start", "stop", "collect", "compare_and_swap", "acknowledge")
    site.freeze_at(node, random.choice(commands))
    await trio.sleep(lasts)
    site.thaw(node)


@fault("cut")
async def cut(site: MemorySite, random: Random, lasts: float) -> None:
    """Cut an owner off from the other nodes."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.partition_node(node)
    await trio.sleep(lasts)
    site.heal(node)


@fault("store-cut")
async def store_cut(site: MemorySite, random: Random, lasts: float) -> None:
    """Cut an owner off from the store and from the other nodes."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.partition_node(node)
    site.partition_store(node)
    await trio.sleep(lasts)
    site.heal(node)
    site.heal_store(node)


@fault("store-out")
async def store_out(site: MemorySite, random: Random, lasts: float) -> None:
    """Let the store refuse every call."""
    site.store.faults.refuse = True
    await trio.sleep(lasts)
    site.store.faults.refuse = False


@fault("store-silent")
async def store_silent(site: MemorySite, random: Random, lasts: float) -> None:
    """Let the store answer nobody."""
    site.store.faults.frozen = True
    await trio.sleep(lasts)
    site.store.faults.frozen = False


@fault("store-slow")
async def store_slow(site: MemorySite, random: Random, lasts: float) -> None:
    """Delay the store's calls."""
    site.store.faults.delay = 0.4
    await trio.sleep(lasts)
    site.store.faults.delay = 0.0


@fault("store-replies")
async def store_replies(site: MemorySite, random: Random, lasts: float) -> None:
    """Lose replies of the store after the effect."""
    for _ in range(8):
        site.store.faults.lose_replies += 1
        await trio.sleep(lasts / 8)


@fault("worker-replies")
async def worker_replies(site: MemorySite, random: Random, lasts: float) -> None:
    """Lose replies of a worker after the effect."""
    faults = site.worker(_pick_worker(site, random)).faults
    for _ in range(8):
        faults.lose_replies += 1
        await trio.sleep(lasts / 8)
    faults.lose_replies = 0


@fault("worker-frozen")
async def worker_frozen(site: MemorySite, random: Random, lasts: float) -> None:
    """Let a worker answer nobody."""
    faults = site.worker(_pick_worker(site, random)).faults
    faults.frozen = True
    await trio.sleep(lasts)
    faults.frozen = False


@fault("worker-restart")
async def worker_restart(site: MemorySite, random: Random, lasts: float) -> None:
    """Restart a worker, which loses its tasks."""
    site.restart_worker(_pick_worker(site, random))


@fault("zone-out")
async def zone_out(site: MemorySite, random: Random, lasts: float) -> None:
    """Take a zone out of service and put it back."""
    zone = random.choice(sorted(site.configuration.zones_by_id))
    for mode, pause in (("out", lasts), ("in-service", 0.0)):
        await _patch_until_accepted(site, zone, mode, random)
        await trio.sleep(pause)


async def _patch_until_accepted(site: MemorySite, zone: str, mode: str, random: Random) -> None:
    """Patch at any node until a version has the mode."""
    for _ in range(60):
        name = f"{zone}-{mode}-{random.random()}"
        nodes = [id for id, node in sorted(site.nodes_by_id.items()) if node.freeze_control.thawed]
        with trio.move_on_after(5):
            seen = (
                await site.set_zone_mode(random.choice(nodes), zone, mode, name) if nodes else None
            )
            if seen is not None and seen.version:
                return
        await trio.sleep(1)


@fault("cancel")
async def cancel(site: MemorySite, random: Random, lasts: float) -> None:
    """Cancel some jobs."""
    async with trio.open_nursery() as nursery:
        for number in random.sample(range(12), 4):
            nursery.start_soon(Caller(site, number).cancel, f"k{number}")


@fault("list-lag")
async def list_lag(site: MemorySite, random: Random, lasts: float) -> None:
    """Let an endpoint leave while the list lags."""
    site.mark_endpoint_leaving(_pick_worker(site, random))


async def run_schedule(faults: list[Fault], seed: int = 1, **options: Any) -> ScheduleResult:
    """Play faults while callers wait for the answers of twelve jobs of several kinds."""
    async with trio.open_nursery() as nursery:
        site = MemorySite(nursery, seed=seed, **options)
        await site.start_all()
        random = Random(seed)
        async with trio.open_nursery() as busy:
            for number in range(12):
                busy.start_soon(_call, site, number)
            for item in faults:
                busy.start_soon(_inject_at, site, random, item)
        broken = tuple(site.violations())
        outcomes = tuple(c.outcome or c.code or "unanswered" for c in site.history.calls)
        nursery.cancel_scope.cancel()
    return ScheduleResult(broken, outcomes)


async def _call(site: MemorySite, number: int) -> None:
    """Call with a job whose kind follows from its number."""
    await trio.sleep(0.4 * (number % 4))
    await Caller(site, number).submit_and_wait(
        f"k{number}",
        seconds=(0.3, 2.0, 6.0)[number % 3],
        gang=(1, 2, 5)[number // 2 % 3],
        repeatable=number % 2 == 0,
        interruptible=number % 4 != 1,
    )


async def _inject_at(site: MemorySite, random: Random, item: Fault) -> None:
    await trio.sleep(item.at)
    await faults_by_name[item.name](site, random, item.duration)


def simulate(faults: list[Fault], seed: int = 1, **options: Any) -> ScheduleResult:
    """Play a schedule in a run of its own."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(lambda: run_schedule(faults, seed, **options), clock=clock)
