"""Cost of an owner by number of workers, running tasks and waiting jobs."""

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
"""Numbers of workers of an owner."""

RUNNING = (0, 200, 400, 800)
"""Numbers of running tasks of an owner with ``OWNER_WORKERS`` workers."""

WAITING = (0, 200, 400, 800)
"""Numbers of waiting jobs of an owner with ``SMALL_OWNER_WORKERS`` workers and no free slot."""

OWNER_WORKERS = 220
SMALL_OWNER_WORKERS = 24
SLOTS_PER_WORKER = 8
SETTLE_SECONDS = 5.0
RENEWAL_SECONDS = 4.03
"""Time between two lease renewals of an idle worker with the default settings."""

BACKED_OFF_RENEWAL_SECONDS = 10.05
"""Time between two lease renewals of an idle worker with the settings ``BACKED_OFF``."""

RENEWALS = 2
"""Renewals of each worker in a measurement.

Renewals of all workers come in bursts, so a measurement lasts a whole number of periods.
"""

IDLE_SECONDS = 8.0
LONG_SECONDS = 3600.0
SHORT_SECONDS = 0.3
SHORT_JOBS = 20
JOBS_PER_SECOND = 5
SUBMISSIONS_AT_ONCE = 16
WAIT_SECONDS = 60
"""Timeout until submitted jobs run or wait."""

POLL_SECONDS = 0.2
QUIET_POLLS = 4
"""Polls without a new call after which a burst of renewals is over."""

NODE = "node-000"
BACKED_OFF = {
    "workers": {"lease_wait_seconds": 10, "lease_ttl_seconds": 30},
    "peers": {"list_interval_seconds": 2},
}
"""Settings of an owner that renews leases and reads the VM list less often than by default."""


class _OwnerSite:
    """Site of one node, which owns the zone, with the processor time and memory of that node."""

    def __init__(self, folder: Path, workers: int, settings: dict[str, Any] | None = None):
        self.site = SizedSite(folder, 1, workers, settings)
        self.workers = workers
        self._submitted = 0

    async def start(self) -> None:
        await self.site.start()
        await trio.sleep(SETTLE_SECONDS)

    @property
    def processor(self) -> float:
        """Processor time of the node so far, in seconds."""
        return usage(self.site.pids_by_node[NODE]).processor

    @property
    def memory(self) -> int:
        """Memory of the node, in bytes."""
        return usage(self.site.pids_by_node[NODE]).memory

    async def measure_idle(self, seconds: float = IDLE_SECONDS) -> tuple[float, float]:
        """Measure the idle node; return ms of processor time and calls to workers per second."""
        processor, calls = self.processor, await self.calls()
        await trio.sleep(seconds)
        calls = await self.calls() - calls
        return 1e3 * (self.processor - processor) / seconds, calls / seconds

    async def calls(self) -> float:
        """Return the number of calls to workers so far."""
        counters = await self.site.counters(NODE)
        return sum(
            value
            for name, value in counters.items()
            if name.startswith("mimosapoint_worker_calls_total")
        )

    async def wait_for_renewals(self, seconds: float) -> None:
        """Wait until a burst of renewals is over, at most for the given time in seconds.

        A measurement that starts between two bursts and lasts whole periods contains whole bursts.
        """
        quiet, changed, last = 0, False, await self.calls()
        with trio.move_on_after(seconds):
            while not changed or quiet < QUIET_POLLS:
                await trio.sleep(POLL_SECONDS)
                now = await self.calls()
                quiet = quiet + 1 if now == last else 0
                changed = changed or now != last
                last = now

    async def submit(self, seconds: float) -> None:
        """Submit a job of one task and wait until it is accepted."""
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
            raise RuntimeError(f"job was not accepted: {reply}")

    async def submit_many(self, count: int) -> None:
        """Submit long jobs, at most ``SUBMISSIONS_AT_ONCE`` in parallel."""
        limiter = trio.CapacityLimiter(SUBMISSIONS_AT_ONCE)

        async def one() -> None:
            async with limiter:
                await self.submit(LONG_SECONDS)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(one)

    async def wait_for_running(self, running: int) -> None:
        """Wait until the given number of slots is in use."""
        address = self.site.files.http_by_id[NODE]
        wanted = self.workers * SLOTS_PER_WORKER - running
        with trio.fail_after(WAIT_SECONDS):
            while True:
                reply = await self.site.client.call_at(address, "GET", "/v1/status")
                zone = next(iter(reply.body["zones"].values()))
                if zone["free_slots"] == wanted:
                    return
                await trio.sleep(POLL_SECONDS)

    async def wait_for_queued(self, waiting: int) -> None:
        """Wait until the queue has the given number of jobs."""
        address = self.site.files.http_by_id[NODE]
        with trio.fail_after(WAIT_SECONDS):
            while True:
                reply = await self.site.client.call_at(address, "GET", "/v1/status")
                if next(iter(reply.body["zones"].values()))["queued"] == waiting:
                    return
                await trio.sleep(POLL_SECONDS)

    async def measure_short_jobs(self, idle: float) -> float:
        """Return ms of processor time for a short job, from its submission to its end.

        :param idle: processor time of the idle owner, ms per second.
        """
        before, began = self.processor, trio.current_time()
        for _ in range(SHORT_JOBS):
            await self.submit(SHORT_SECONDS)
            await trio.sleep(1 / JOBS_PER_SECOND)
        await trio.sleep(1 + SHORT_SECONDS)
        elapsed = trio.current_time() - began
        return (1e3 * (self.processor - before) - idle * elapsed) / SHORT_JOBS


@attrs.frozen
class _Renewals:
    """Frequency of the lease renewals of idle workers.

    :param suffix: suffix of the names of the slopes.
    :param seconds: time between two renewals of a worker, in seconds.
    :param settings: settings of the node.
    """

    suffix: str
    seconds: float
    settings: dict[str, Any] | None = None


DEFAULT_RENEWALS = _Renewals("", RENEWAL_SECONDS)
BACKED_OFF_RENEWALS = _Renewals("_backed_off", BACKED_OFF_RENEWAL_SECONDS, BACKED_OFF)


async def measure_workers(folder: Path) -> list[Slope]:
    """Return the slopes over the number of workers, with default and with backed-off renewals."""
    found: list[Slope] = []
    async with trio.open_nursery() as nursery:
        for renewals in (DEFAULT_RENEWALS, BACKED_OFF_RENEWALS):
            nursery.start_soon(_workers, folder, renewals, found)
    return found


async def _workers(folder: Path, renewals: _Renewals, found: list[Slope]) -> None:
    processor, calls, memory = [], [], []

    async def one(count: int) -> None:
        async with AsyncExitStack() as stack:
            site_folder = folder / f"workers-{count}{renewals.suffix}"
            owner = _OwnerSite(site_folder, count, renewals.settings)
            stack.push_async_callback(owner.site.stop)
            await owner.start()
            await owner.wait_for_renewals(renewals.seconds)
            processor_ms, calls_per_second = await owner.measure_idle(RENEWALS * renewals.seconds)
            processor.append(Point(count, processor_ms))
            calls.append(Point(count, calls_per_second))
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
    """Return the slopes over the number of running tasks, and that of a short job beside them."""
    found: list[Slope] = []
    async with trio.open_nursery() as nursery:
        for renewals in (DEFAULT_RENEWALS, BACKED_OFF_RENEWALS):
            nursery.start_soon(_tasks, folder, renewals, found)
    return found


async def _tasks(folder: Path, renewals: _Renewals, found: list[Slope]) -> None:
    processor, memory, job_costs = [], [], []
    async with AsyncExitStack() as stack:
        owner = _OwnerSite(folder / f"tasks{renewals.suffix}", OWNER_WORKERS, renewals.settings)
        stack.push_async_callback(owner.site.stop)
        await owner.start()
        running = 0
        for count in RUNNING:
            await owner.submit_many(count - running)
            running = count
            await owner.wait_for_running(running)
            await owner.wait_for_renewals(renewals.seconds)
            processor_ms, _ = await owner.measure_idle(max(IDLE_SECONDS, renewals.seconds))
            processor.append(Point(running, processor_ms))
            memory.append(Point(running, owner.memory / KIB))
            job_costs.append(Point(running, await owner.measure_short_jobs(processor_ms)))
            await owner.wait_for_running(running)
    found += [
        fit(f"task.idle_cpu{renewals.suffix}", "running task", "ms/s", processor),
        fit(f"task.memory{renewals.suffix}", "running task", "KiB", memory),
        fit(f"job.life_cpu{renewals.suffix}", "running task", "ms", job_costs),
    ]


async def measure_waiting(folder: Path) -> list[Slope]:
    """Return the slopes over the number of waiting jobs."""
    idle_costs, memories, admissions = [], [], []
    slots = SMALL_OWNER_WORKERS * SLOTS_PER_WORKER
    async with AsyncExitStack() as stack:
        owner = _OwnerSite(folder / "waiting", SMALL_OWNER_WORKERS)
        stack.push_async_callback(owner.site.stop)
        await owner.start()
        await owner.submit_many(slots)
        await owner.wait_for_running(slots)
        waiting = 0
        for count in WAITING:
            await owner.submit_many(count - waiting)
            await owner.wait_for_queued(count)
            idle, _ = await owner.measure_idle()
            idle_costs.append(Point(count, idle))
            memories.append(Point(count, owner.memory / KIB))
            admissions.append(Point(count, await _measure_admission(owner, idle)))
            waiting = count + SHORT_JOBS
    return [
        fit("waiting.idle_cpu", "waiting job", "ms/s", idle_costs),
        fit("waiting.memory", "waiting job", "KiB", memories),
        fit("waiting.admission_cpu", "waiting job", "ms", admissions),
    ]


async def _measure_admission(owner: _OwnerSite, idle: float) -> float:
    """Return ms of processor time to accept a job that has to wait, including its decision."""
    before, began = owner.processor, trio.current_time()
    for _ in range(SHORT_JOBS):
        await owner.submit(LONG_SECONDS)
        await trio.sleep(1 / JOBS_PER_SECOND)
    elapsed = trio.current_time() - began
    return (1e3 * (owner.processor - before) - idle * elapsed) / SHORT_JOBS
