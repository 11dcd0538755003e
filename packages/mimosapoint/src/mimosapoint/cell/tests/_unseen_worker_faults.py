"""Faults of workers whose runs go on while they look as if they had ended."""

from collections.abc import Iterable
from datetime import timedelta

import trio

from mimosapoint.cell.tests._fault_registry import FaultRegistry
from mimosapoint.cell.tests._recorded_site import RecordedSite
from mimosapoint.cell.tests._site import SMALL
from mimosapoint.cell.tests._worker_faults import end_worker
from mimosapoint.memory import MemoryRunWorker
from mimosapoint.testing.cell_history import WorkerCrashObservation
from mimosapoint.workload import Step

__all__ = ["restart_elsewhere", "set_fault", "unseen_worker_faults"]

unseen_worker_faults = FaultRegistry()

LONG_RUN = timedelta(seconds=9)
"""Duration of the tasks that run while their workers are out of sight."""

DRAINING_RUN = timedelta(seconds=14)
"""The same on workers that drain, whose entries are removed after a silence."""

START_SECONDS = 1.5
"""Longest wait for these tasks to run."""

MAX_OWNER_DELAY_SECONDS = 0.6
"""Longest time from the last sign of the workers to the loss of the owner."""

UNSEEN_SECONDS = (3.0, 4.5)
"""Shortest and longest time from the loss of the owner to the return of the workers; in it the next
owner claims the cell, and the start window passes."""

LEAVING_SECONDS = 2.0
"""Time from the announcement of a departure until the worker leaves."""

DRAINING_SHARE = 0.3
"""Share of the faults in which the workers drain."""


@unseen_worker_faults.add("workers out of sight, refused, then the owner killed")
async def refuse_unseen_workers(site: RecordedSite, seconds: float) -> None:
    """Let workers lose the store, refuse connections to them, and kill the owner."""
    await hide_workers(site, "not_listening")


@unseen_worker_faults.add("workers out of sight, reset, then the owner killed")
async def reset_unseen_workers(site: RecordedSite, seconds: float) -> None:
    """The same with connections that are reset."""
    await hide_workers(site, "reset")


@unseen_worker_faults.add("workers out of sight, cut in one way, then the owner killed")
async def cut_unseen_workers_in_one_way(site: RecordedSite, seconds: float) -> None:
    """The same with orders that arrive and replies that do not."""
    await hide_workers(site, "loses_replies")


@unseen_worker_faults.add("workers restarted elsewhere, then the owner killed")
async def restart_workers_elsewhere(site: RecordedSite, seconds: float) -> None:
    """Let workers restart under their ids at other addresses, lose the store, and kill the owner.

    At the former addresses another worker replies, or nothing listens.
    """
    workers = site.random.sample(list(site.workers.workers_by_address.values()), 2)
    for worker in workers:
        restart_elsewhere(site, worker)
    await submit_long_job(site)
    for worker in workers:
        site.nursery.start_soon(site.lose_store, worker)
    await lose_owner(site)
    for worker in workers:
        site.return_store(worker)


@unseen_worker_faults.add("worker leaving, then the owner killed")
async def remove_worker_and_owner(site: RecordedSite, seconds: float) -> None:
    """Let a worker announce that it leaves, and leave; kill the owner shortly before or after."""
    await submit_long_job(site)
    worker = site.any_worker
    drain = site.drain(worker)
    async with trio.open_nursery() as nursery:
        await trio.sleep(LEAVING_SECONDS)
        nursery.start_soon(lose_owner, site)
        await trio.sleep(site.random.uniform(0, MAX_OWNER_DELAY_SECONDS))
        faults = end_worker(site, worker)
    faults.not_listening = False
    site.register(worker, born=worker.born)
    site.end_drain(worker, drain)


def restart_elsewhere(site: RecordedSite, worker: MemoryRunWorker) -> None:
    crash = WorkerCrashObservation(worker.registration.id, trio.current_time())
    site.history.worker_crashes.append(crash)
    worker.restart(worker.born + 1)
    former = site.workers.move(worker, f"{worker.registration.address}0")
    former.wrong_incarnation = site.random.random() < 0.5
    former.not_listening = not former.wrong_incarnation
    site.register(worker, born=worker.born)


async def hide_workers(site: RecordedSite, name: str) -> None:
    """Let workers lose the store, then begin a network fault, then kill the owner."""
    is_draining = site.random.random() < DRAINING_SHARE
    busy = await submit_long_job(site, DRAINING_RUN if is_draining else LONG_RUN)
    workers = list(site.workers.workers_by_address.values())
    site.random.shuffle(workers)
    workers.sort(key=lambda worker: worker.registration.id not in busy)
    # Some remain, on which a second run could start.
    workers = workers[: site.random.randint(1, len(workers) - 1)]
    drains = [site.drain(worker) for worker in workers] if is_draining else []
    async with trio.open_nursery() as nursery:
        for worker in workers:
            nursery.start_soon(site.lose_store, worker)
    set_fault(site, workers, name, True)
    await lose_owner(site)
    set_fault(site, workers, name, False)
    for worker in workers:
        site.return_store(worker)
    for worker, drain in zip(workers, drains):
        site.end_drain(worker, drain)


def set_fault(
    site: RecordedSite, workers: Iterable[MemoryRunWorker], name: str, is_set: bool
) -> None:
    for worker in workers:
        faults = site.workers.network_faults_by_address[worker.registration.address]
        setattr(faults, name, is_set)


async def submit_long_job(site: RecordedSite, run_time: timedelta = LONG_RUN) -> set[str]:
    """Submit a job with long tasks, and wait for a time until they run; return their workers."""
    job = f"long{len(site.history.submissions)}"
    count = len(site.workers.workers_by_address)
    site.simulation.run_times_by_job[job] = run_time
    site.nursery.start_soon(site.call_submit, job, Step(count, SMALL, spread_limit=2))
    with trio.move_on_after(START_SECONDS):
        while len(site.running(job)) < count:
            await trio.sleep(0.05)
    return {run.worker for run in site.running(job)}


async def lose_owner(site: RecordedSite) -> None:
    """Kill the owner after a random delay, and add a node after a time."""
    await trio.sleep(site.random.uniform(0, MAX_OWNER_DELAY_SECONDS))
    site.any_owner.kill()
    await trio.sleep(site.random.uniform(*UNSEEN_SECONDS))
    site.add_node()
