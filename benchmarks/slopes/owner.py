"""Cost of an owner against its workers, its running tasks and its waiting jobs."""

from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import attrs
import trio

from benchmarks.slopes.fit import Point, Slope, fit
from benchmarks.slopes.site import TASK, SizedSite
from benchmarks.slopes.usage import KIB, MIB, usage

__all__ = ["measure_tasks", "measure_waiting", "measure_workers"]

WORKERS = (24, 110, 220, 440)
"""Workers per owner."""

RUNNING = (0, 200, 400, 800)
"""Running tasks of an owner of 220 workers."""

WAITING = (0, 200, 400, 800)
"""Waiting jobs of an owner of 24 workers whose slots are all taken."""

OWNER_WORKERS = 220
SMALL_OWNER_WORKERS = 24
SLOTS_PER_WORKER = 8
SETTLE_SECONDS = 5.0
RENEWAL_SECONDS = 4.03
"""Time between two renewals of an idle worker by the default settings."""

BACKED_OFF_RENEWAL_SECONDS = 10.05
"""The same by the settings below."""

RENEWALS = 2
"""Renewals of each worker in a measurement; they come in waves, so it takes whole ones."""

IDLE_SECONDS = 8.0
LONG_SECONDS = 3600.0
SHORT_SECONDS = 0.3
SHORT_JOBS = 20
JOBS_PER_SECOND = 5
SUBMISSIONS_AT_ONCE = 16
SETTLED_SECONDS = 60
"""Time in which submitted jobs must run or wait."""

POLL_SECONDS = 0.2
QUIET_POLLS = 4
"""Polls without a call after which a wave has passed."""

NODE = "node-000"
BACKED_OFF = {
    "workers": {"lease_wait_seconds": 10, "lease_ttl_seconds": 30},
    "peers": {"list_interval_seconds": 2},
}
"""Settings of an owner whose renewals and reads of the list are rarer."""


class _Owner:
    """A site of one node that owns the zone, and what the node has used."""

    def __init__(self, folder: Path, workers: int, settings: dict[str, Any] | None = None):
        self.site = SizedSite(folder, 1, workers, settings)
        self.workers = workers
        self._submitted = 0

    async def start(self) -> None:
        await self.site.start()
        await trio.sleep(SETTLE_SECONDS)

    @property
    def processor(self) -> float:
        """Processor time so far, in seconds."""
        return usage(self.site.pids_by_node[NODE]).processor

    @property
    def memory(self) -> int:
        """Memory in bytes."""
        return usage(self.site.pids_by_node[NODE]).memory

    async def idle(self, seconds: float = IDLE_SECONDS) -> tuple[float, float]:
        """Return processor time in ms and calls to workers per second without requests."""
        processor, calls = self.processor, await self.calls()
        await trio.sleep(seconds)
        calls = await self.calls() - calls
        return 1e3 * (self.processor - processor) / seconds, calls / seconds

    async def calls(self) -> float:
        """Return the calls to workers so far."""
        counters = await self.site.counters(NODE)
        return sum(
            value
            for name, value in counters.items()
            if name.startswith("mimosapoint_worker_calls_total")
        )

    async def wave_passed(self, seconds: float) -> None:
        """Wait until a wave of renewals has gone by, or so many seconds.

        A measurement of whole periods that begins in a quiet moment holds whole waves.
        """
        quiet, moved, last = 0, False, await self.calls()
        with trio.move_on_after(seconds):
            while not moved or quiet < QUIET_POLLS:
                await trio.sleep(POLL_SECONDS)
                now = await self.calls()
                quiet = quiet + 1 if now == last else 0
                moved = moved or now != last
                last = now

    async def submit(self, seconds: float) -> None:
        """Submit a job of one task; return when it is accepted."""
        self._submitted += 1
        job = {
            "workspace": f"workspace-{self._submitted % 83:02}",
            "service": "rebuilds",
            "class": "normal",
            "gang": 1,
            "shape": TASK,
            "run_time": max(seconds, 1),
            "payload": {"kind": "sleep", "seconds": seconds},
        }
        address = self.site.files.http_by_id[NODE]
        key = {"Idempotency-Key": f"job-{self._submitted}"}
        reply = await self.site.client.call_at(address, "POST", "/v1/jobs", job, key)
        if reply.status not in (200, 202):
            raise RuntimeError(f"not accepted: {reply}")

    async def submit_many(self, count: int) -> None:
        """Submit long jobs, a few at a time."""
        limiter = trio.CapacityLimiter(SUBMISSIONS_AT_ONCE)

        async def one() -> None:
            async with limiter:
                await self.submit(LONG_SECONDS)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(one)

    async def settled(self, running: int) -> None:
        """Wait until that many slots are taken."""
        address = self.site.files.http_by_id[NODE]
        wanted = self.workers * SLOTS_PER_WORKER - running
        with trio.fail_after(SETTLED_SECONDS):
            while True:
                reply = await self.site.client.call_at(address, "GET", "/v1/status")
                zone = next(iter(reply.body["zones"].values()))
                if zone["free_slots"] == wanted:
                    return
                await trio.sleep(POLL_SECONDS)

    async def queued(self, waiting: int) -> None:
        """Wait until that many jobs wait."""
        address = self.site.files.http_by_id[NODE]
        with trio.fail_after(SETTLED_SECONDS):
            while True:
                reply = await self.site.client.call_at(address, "GET", "/v1/status")
                if next(iter(reply.body["zones"].values()))["queued"] == waiting:
                    return
                await trio.sleep(POLL_SECONDS)

    async def short_jobs(self, idle: float) -> float:
        """Return ms of processor time for the whole life of a short job.

        :param idle: processor time of the idle owner, ms per second.
        """
        before, began = self.processor, trio.current_time()
        for _ in range(SHORT_JOBS):
            await self.submit(SHORT_SECONDS)
            await trio.sleep(1 / JOBS_PER_SECOND)
        await trio.sleep(1 + SHORT_SECONDS)
        lasted = trio.current_time() - began
        return (1e3 * (self.processor - before) - idle * lasted) / SHORT_JOBS


@attrs.frozen
class _Renewals:
    """How often idle workers are renewed.

    :param suffix: end of the names of the slopes.
    :param seconds: time between two renewals of a worker.
    :param settings: settings of the node.
    """

    suffix: str
    seconds: float
    settings: dict[str, Any] | None = None


RENEWALS_BY_DEFAULT = _Renewals("", RENEWAL_SECONDS)
RARER_RENEWALS = _Renewals("_backed_off", BACKED_OFF_RENEWAL_SECONDS, BACKED_OFF)


async def measure_workers(folder: Path) -> list[Slope]:
    """Return the cost of a worker, with the default renewals and with rarer ones."""
    found: list[Slope] = []
    async with trio.open_nursery() as nursery:
        for renewals in (RENEWALS_BY_DEFAULT, RARER_RENEWALS):
            nursery.start_soon(_workers, folder, renewals, found)
    return found


async def _workers(folder: Path, renewals: _Renewals, found: list[Slope]) -> None:
    processor, calls, memory = [], [], []

    async def one(count: int) -> None:
        async with AsyncExitStack() as stack:
            place = folder / f"workers-{count}{renewals.suffix}"
            owner = _Owner(place, count, renewals.settings)
            stack.push_async_callback(owner.site.stop)
            await owner.start()
            await owner.wave_passed(renewals.seconds)
            spent, called = await owner.idle(RENEWALS * renewals.seconds)
            processor.append(Point(count, spent))
            calls.append(Point(count, called))
            memory.append(Point(count, owner.memory / MIB))

    async with trio.open_nursery() as nursery:
        for count in WORKERS:
            nursery.start_soon(one, count)
    found += [
        fit(f"worker.idle_cpu{renewals.suffix}", "worker", "ms/s", processor),
        fit(f"worker.calls{renewals.suffix}", "worker", "calls/s", calls),
        fit(f"worker.memory{renewals.suffix}", "worker", "MiB", memory),
    ]


async def measure_tasks(folder: Path) -> list[Slope]:
    """Return the cost of running tasks, and of a job's whole life beside them."""
    found: list[Slope] = []
    async with trio.open_nursery() as nursery:
        for renewals in (RENEWALS_BY_DEFAULT, RARER_RENEWALS):
            nursery.start_soon(_tasks, folder, renewals, found)
    return found


async def _tasks(folder: Path, renewals: _Renewals, found: list[Slope]) -> None:
    processor, memory, lives = [], [], []
    async with AsyncExitStack() as stack:
        owner = _Owner(folder / f"tasks{renewals.suffix}", OWNER_WORKERS, renewals.settings)
        stack.push_async_callback(owner.site.stop)
        await owner.start()
        running = 0
        for count in RUNNING:
            await owner.submit_many(count - running)
            running = count
            await owner.settled(running)
            await owner.wave_passed(renewals.seconds)
            spent, _ = await owner.idle(max(IDLE_SECONDS, renewals.seconds))
            processor.append(Point(running, spent))
            memory.append(Point(running, owner.memory / KIB))
            lives.append(Point(running, await owner.short_jobs(spent)))
            await owner.settled(running)
    found += [
        fit(f"task.idle_cpu{renewals.suffix}", "running task", "ms/s", processor),
        fit(f"task.memory{renewals.suffix}", "running task", "KiB", memory),
        fit(f"job.life_cpu{renewals.suffix}", "running task", "ms", lives),
    ]


async def measure_waiting(folder: Path) -> list[Slope]:
    """Return the cost of a waiting job."""
    idles, memories, admissions = [], [], []
    slots = SMALL_OWNER_WORKERS * SLOTS_PER_WORKER
    async with AsyncExitStack() as stack:
        owner = _Owner(folder / "waiting", SMALL_OWNER_WORKERS)
        stack.push_async_callback(owner.site.stop)
        await owner.start()
        await owner.submit_many(slots)
        await owner.settled(slots)
        waiting = 0
        for count in WAITING:
            await owner.submit_many(count - waiting)
            await owner.queued(count)
            idle, _ = await owner.idle()
            idles.append(Point(count, idle))
            memories.append(Point(count, owner.memory / KIB))
            admissions.append(Point(count, await _admission(owner, idle)))
            waiting = count + SHORT_JOBS
    return [
        fit("waiting.idle_cpu", "waiting job", "ms/s", idles),
        fit("waiting.memory", "waiting job", "KiB", memories),
        fit("waiting.admission_cpu", "waiting job", "ms", admissions),
    ]


async def _admission(owner: _Owner, idle: float) -> float:
    """Return ms of processor time to accept a job that has to wait, its decision included."""
    before, began = owner.processor, trio.current_time()
    for _ in range(SHORT_JOBS):
        await owner.submit(LONG_SECONDS)
        await trio.sleep(1 / JOBS_PER_SECOND)
    lasted = trio.current_time() - began
    return (1e3 * (owner.processor - before) - idle * lasted) / SHORT_JOBS
