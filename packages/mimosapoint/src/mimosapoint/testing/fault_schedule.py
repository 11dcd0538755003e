"""Schedules of faults that are injected into a site in memory."""

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
"""Injects a fault, waits for a duration in seconds and ends the fault."""

faults_by_name: dict[str, FaultAction] = {}


@attrs.frozen
class Fault:
    """A fault in a schedule.

    :param name: name of the registered fault.
    :param at: start, in seconds after the start of the calls.
    :param duration: duration of the fault, in seconds; ignored by faults without an end.
    """

    name: str
    at: float
    duration: float


@attrs.frozen
class ScheduleResult:
    """Result of a schedule.

    :param violations: violations of promises and calls without a final result, one line each.
    :param outcomes: kind of outcome or error code of each call.
    """

    violations: tuple[str, ...]
    outcomes: tuple[str, ...]


def fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a fault under a name."""

    def register(action: FaultAction) -> FaultAction:
        faults_by_name[name] = action
        return action

    return register


def _pick_owner(site: MemorySite, random: Random) -> str | None:
    """Return the owner of a random zone, the first node if it has none, or ``None``."""
    owner = site.owner_of(random.choice(sorted(site.configuration.zones_by_id)))
    return owner or next(iter(sorted(site.nodes_by_id)), None)


def _pick_worker(site: MemorySite, random: Random) -> str:
    return random.choice(sorted(site.history.zones_by_worker))


@fault("kill")
async def kill(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Kill an owner and start it again after the duration."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.kill(node)
    await trio.sleep(duration_seconds)
    await site.start(node)


@fault("freeze")
async def freeze(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Freeze an owner for the duration."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.freeze(node)
    await trio.sleep(duration_seconds)
    site.thaw(node)


@fault("freeze-at")
async def freeze_at(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Freeze an owner just before it sends a command, until the duration ends."""
    node = _pick_owner(site, random)
    if node is None:
        return
    commands = ("reserve", "start", "stop", "collect", "compare_and_swap", "acknowledge")
    site.freeze_at(node, random.choice(commands))
    await trio.sleep(duration_seconds)
    site.thaw(node)


@fault("cut")
async def cut(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Partition an owner from the other nodes."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.partition_node(node)
    await trio.sleep(duration_seconds)
    site.heal(node)


@fault("store-cut")
async def store_cut(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Partition an owner from the store and from the other nodes."""
    node = _pick_owner(site, random)
    if node is None:
        return
    site.partition_node(node)
    site.partition_store(node)
    await trio.sleep(duration_seconds)
    site.heal(node)
    site.heal_store(node)


@fault("store-out")
async def store_out(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Make the store refuse every call."""
    site.store.faults.refuse = True
    await trio.sleep(duration_seconds)
    site.store.faults.refuse = False


@fault("store-silent")
async def store_silent(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Make the store reply to no call."""
    site.store.faults.frozen = True
    await trio.sleep(duration_seconds)
    site.store.faults.frozen = False


@fault("store-slow")
async def store_slow(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Delay the calls to the store."""
    site.store.faults.delay = 0.4
    await trio.sleep(duration_seconds)
    site.store.faults.delay = 0.0


@fault("store-replies")
async def store_replies(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Lose replies of the store after the calls took effect."""
    for _ in range(8):
        site.store.faults.lose_replies += 1
        await trio.sleep(duration_seconds / 8)


@fault("worker-replies")
async def worker_replies(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Lose replies of a worker after the calls took effect."""
    faults = site.worker(_pick_worker(site, random)).faults
    for _ in range(8):
        faults.lose_replies += 1
        await trio.sleep(duration_seconds / 8)
    faults.lose_replies = 0


@fault("worker-frozen")
async def worker_frozen(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Make a worker reply to no call."""
    faults = site.worker(_pick_worker(site, random)).faults
    faults.frozen = True
    await trio.sleep(duration_seconds)
    faults.frozen = False


@fault("worker-restart")
async def worker_restart(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Restart a worker, which loses its tasks."""
    site.restart_worker(_pick_worker(site, random))


@fault("zone-out")
async def zone_out(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Withdraw a zone and return it to service."""
    zone = random.choice(sorted(site.configuration.zones_by_id))
    for mode, wait_seconds in (("out", duration_seconds), ("in-service", 0.0)):
        await _patch_until_accepted(site, zone, mode, random)
        await trio.sleep(wait_seconds)


async def _patch_until_accepted(site: MemorySite, zone: str, mode: str, random: Random) -> None:
    """Send patches to random nodes until one is accepted, or after 60 tries."""
    for _ in range(60):
        name = f"{zone}-{mode}-{random.random()}"
        nodes = [id for id, node in sorted(site.nodes_by_id.items()) if node.freeze_control.thawed]
        with trio.move_on_after(5):
            patch = (
                await site.set_zone_mode(random.choice(nodes), zone, mode, name) if nodes else None
            )
            if patch is not None and patch.version:
                return
        await trio.sleep(1)


@fault("cancel")
async def cancel(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Cancel four random jobs of the schedule."""
    async with trio.open_nursery() as nursery:
        for number in random.sample(range(12), 4):
            nursery.start_soon(Caller(site, number).cancel, f"k{number}")


@fault("list-lag")
async def list_lag(site: MemorySite, random: Random, duration_seconds: float) -> None:
    """Mark an endpoint as leaving."""
    site.mark_endpoint_leaving(_pick_worker(site, random))


async def run_schedule(faults: list[Fault], seed: int = 1, **options: Any) -> ScheduleResult:
    """Inject faults while callers submit jobs of several kinds and wait for the outcomes.

    :param faults: the faults.
    :param seed: seed of the site and of the faults' random choices.
    :param options: further arguments of :class:`~mimosapoint.testing.site.MemorySite`.
    """
    async with trio.open_nursery() as nursery:
        site = MemorySite(nursery, seed=seed, **options)
        await site.start_all()
        random = Random(seed)
        async with trio.open_nursery() as activities:
            for number in range(12):
                activities.start_soon(_call, site, number)
            for scheduled_fault in faults:
                activities.start_soon(_inject_at, site, random, scheduled_fault)
        violations = tuple(site.violations())
        outcomes = tuple(c.outcome or c.code or "unanswered" for c in site.history.calls)
        nursery.cancel_scope.cancel()
    return ScheduleResult(violations, outcomes)


async def _call(site: MemorySite, number: int) -> None:
    """Submit a job whose fields follow from its number, and wait for its outcome."""
    await trio.sleep(0.4 * (number % 4))
    await Caller(site, number).submit_and_wait(
        f"k{number}",
        seconds=(0.3, 2.0, 6.0)[number % 3],
        gang=(1, 2, 5)[number // 2 % 3],
        repeatable=number % 2 == 0,
        interruptible=number % 4 != 1,
    )


async def _inject_at(site: MemorySite, random: Random, scheduled_fault: Fault) -> None:
    await trio.sleep(scheduled_fault.at)
    await faults_by_name[scheduled_fault.name](site, random, scheduled_fault.duration)


def simulate(faults: list[Fault], seed: int = 1, **options: Any) -> ScheduleResult:
    """Run a schedule in its own trio run, on a mock clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(lambda: run_schedule(faults, seed, **options), clock=clock)
