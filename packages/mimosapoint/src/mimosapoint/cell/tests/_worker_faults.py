"""Faults of the workers of a cell in memory, and of the way to them."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._fault_registry import FaultRegistry
from mimosapoint.cell.tests._recorded_site import RecordedSite
from mimosapoint.cell.tests._site import CAPACITY, RACK_SIZE, SMALL
from mimosapoint.memory import MemoryRunWorker
from mimosapoint.memory.run_workers import NetworkFaults
from mimosapoint.testing.cell_checks import LATE_START_BOUND
from mimosapoint.workload import ResourceAmounts, Step, TaskId

__all__ = ["end_worker", "worker_faults"]

worker_faults = FaultRegistry()

SHRUNKEN = ResourceAmounts(64_000, 131_072, 4)
REFUSED_JOBS = 3

NOTICE_SECONDS = 2.0
"""Time from the announcement of a departure until the worker leaves."""


@worker_faults.add("workers crashing")
async def crash_workers(site: RecordedSite, seconds: float) -> None:
    """Let workers crash, one after the other."""
    workers = site.choose_workers()
    async with trio.open_nursery() as nursery:
        for worker in workers:
            nursery.start_soon(site.crash_worker, worker)
            await trio.sleep(seconds / len(workers))


@worker_faults.add("worker partitioned")
async def partition_worker(site: RecordedSite, seconds: float) -> None:
    """Cut off a worker from every node."""
    address = site.any_worker.registration.address
    site.workers.network_faults_by_address[address].partitioned = True
    await trio.sleep(seconds)
    site.workers.network_faults_by_address[address].partitioned = False


@worker_faults.add("worker partitioned from the owner")
async def partition_worker_from_owner(site: RecordedSite, seconds: float) -> None:
    """Cut off a worker from the owner only."""
    node, worker = site.any_owner, site.any_worker.registration.id
    node.workers.unreachable.add(worker)
    await trio.sleep(seconds)
    node.workers.unreachable.discard(worker)


@worker_faults.add("lost replies of a worker")
async def lose_worker_replies(site: RecordedSite, seconds: float) -> None:
    """Lose starts, and replies to starts and renewals, of a worker."""
    faults = site.workers.network_faults_by_address[site.any_worker.registration.address]
    faults.lost_starts = faults.lost_start_replies = faults.lost_renewal_replies = 2
    await trio.sleep(seconds)
    faults.lost_starts = faults.lost_start_replies = faults.lost_renewal_replies = 0


@worker_faults.add("late starts on a worker")
async def delay_starts(site: RecordedSite, seconds: float) -> None:
    """Execute starts on a worker late and without a reply."""
    faults = site.workers.network_faults_by_address[site.any_worker.registration.address]
    faults.start_delay = timedelta(seconds=site.random.choice((0.3, 0.9, 1.5)))
    await trio.sleep(seconds)
    faults.start_delay = None


@worker_faults.add("worker restarted")
async def restart_worker(site: RecordedSite, seconds: float) -> None:
    """Restart a worker, which registers its new incarnation afterwards."""
    worker = site.any_worker
    worker.restart(worker.born + 1)
    await trio.sleep(seconds)
    site.register(worker, born=worker.born)


@worker_faults.add("task crashing its workers")
async def submit_crashing_job(site: RecordedSite, seconds: float) -> None:
    """Submit a job with a task that crashes each worker that starts it."""
    job = f"crash{len(site.history.submissions)}"
    site.simulation.crashing_tasks.add(TaskId(job, 0, 0, 0))
    await site.call_submit(job, Step(2, SMALL))
    await trio.sleep(seconds)


@worker_faults.add("job crashing its workers")
async def submit_crashing_tasks(site: RecordedSite, seconds: float) -> None:
    """Submit a job each of whose tasks crashes a worker, all at the same moment."""
    job = f"crash{len(site.history.submissions)}"
    site.simulation.crashing_tasks |= {TaskId(job, 0, 0, number) for number in range(RACK_SIZE)}
    await site.call_submit(job, Step(RACK_SIZE, SMALL, spread_limit=1))
    await trio.sleep(seconds)


@worker_faults.add("worker shrinking")
async def shrink_worker(site: RecordedSite, seconds: float) -> None:
    """Let the capacity of a worker shrink, perhaps below what runs, and grow again."""
    worker = site.any_worker
    worker.resize(site.random.choice((SMALL, SHRUNKEN)))
    site.register(worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    worker.resize(CAPACITY)
    site.register(worker)


@worker_faults.add("worker draining")
async def drain_worker(site: RecordedSite, seconds: float) -> None:
    """Let a worker drain for a time."""
    worker = site.any_worker
    drain = site.drain(worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    site.end_drain(worker, drain)


@worker_faults.add("workers refusing starts")
async def refuse_starts(site: RecordedSite, seconds: float) -> None:
    """Let every worker refuse each start as unhealthy, and submit some jobs."""
    prefix = f"refused{len(site.history.submissions)}"
    faults = site.workers.network_faults_by_address.values()
    for each in faults:
        each.refuse_starts = True
    for number in range(REFUSED_JOBS):
        await site.call_submit(f"{prefix}-{number}", Step(1, SMALL))
    await trio.sleep(LATE_START_BOUND + seconds)
    for each in faults:
        each.refuse_starts = False


@worker_faults.add("worker leaving")
async def remove_worker(site: RecordedSite, seconds: float) -> None:
    """Let a worker announce that it leaves, and leave; another one appears under its id later."""
    worker = site.any_worker
    drain = site.drain(worker)
    await trio.sleep(min(seconds, NOTICE_SECONDS))
    faults = end_worker(site, worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    faults.not_listening = False
    site.register(worker, born=worker.born)
    site.end_drain(worker, drain)


def end_worker(site: RecordedSite, worker: MemoryRunWorker) -> NetworkFaults:
    """End a worker as planned, and return the faults at its address, where nothing listens."""
    faults = site.workers.network_faults_by_address[worker.registration.address]
    faults.not_listening = True
    worker.restart(worker.born + 1)
    site.unregister(worker)
    return faults


@worker_faults.add("worker failing every run")
async def fail_runs(site: RecordedSite, seconds: float) -> None:
    """Let every run on a worker fail."""
    worker = site.any_worker.registration.id
    site.simulation.failing_workers.add(worker)
    await trio.sleep(seconds)
    site.simulation.failing_workers.discard(worker)
