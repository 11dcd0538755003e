"""Faults of a cell in memory, by name."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta
from functools import partial

import trio

from mimosapoint.cell.keys import job_key
from mimosapoint.cell.tests._recorded_site import API_KEY, RecordedSite
from mimosapoint.cell.tests._site import CAPACITY, RACK_SIZE, SMALL
from mimosapoint.errors import StoreTimeout
from mimosapoint.memory import MemoryRunWorker
from mimosapoint.memory.run_worker import CRASH_DOWNTIME
from mimosapoint.ports import TransactionConflict
from mimosapoint.testing.cell_checks import LATE_START_BOUND
from mimosapoint.testing.cell_history import WorkerCrashObservation
from mimosapoint.workload import ResourceAmounts, Step, TaskId

__all__ = ["STOP_BOUND_SECONDS", "CellFault", "faults_by_name"]

CellFault = Callable[[RecordedSite, float], Awaitable[None]]
"""Begins a fault, waits for a time in seconds and ends the fault."""

BURST_SIZE = 40
SHRUNKEN = ResourceAmounts(64_000, 131_072, 4)
LOST_REPLIES = 6
ABANDONED_JOBS = 3
REFUSED_JOBS = 3
ABANDONED_REPLY_SECONDS = 0.45
ABANDONED_WRITE_SECONDS = 2.0
STOP_GRACE_SECONDS = 2.0

NOTICE_SECONDS = 2.0
"""Time from the announcement of a departure until the worker leaves."""

MIN_OUTAGE_SECONDS = 4.5
"""Shortest outage that ends with the loss of the owner; longer than the tasks of the pairs run."""

LAST_READ_SECONDS = 0.2
"""Time from the last reads in an outage to the loss of the owner, in seconds."""

MAX_RETURN_DELAY_SECONDS = 1.0
"""Longest time from the loss of the owner to the return of the store, in seconds."""

STOP_BOUND_SECONDS = 12.0
"""Time in which a cancelled job stops under faults: theirs, a failover and a worker's lease."""

faults_by_name: dict[str, CellFault] = {}


def fault(name: str) -> Callable[[CellFault], CellFault]:
    """Register a fault under a name."""

    def register(function: CellFault) -> CellFault:
        faults_by_name[name] = function
        return function

    return register


@fault("store refused")
async def refuse_store(site: RecordedSite, seconds: float) -> None:
    """Refuse every call to the store."""
    site.store.faults.refuse = True
    await trio.sleep(seconds)
    site.store.faults.refuse = False


@fault("store slow")
async def slow_store(site: RecordedSite, seconds: float) -> None:
    """Delay every call to the store."""
    site.store_delay_seconds = site.random.choice((0.2, 0.6))
    await trio.sleep(seconds)
    site.store_delay_seconds = 0.0


@fault("store silent for the owner")
async def silence_store(site: RecordedSite, seconds: float) -> None:
    """Leave the owner's calls to the store without reply."""
    node = site.any_owner
    node.store.fault = "silent"
    await trio.sleep(seconds)
    node.store.fault = ""


@fault("store refused for one node")
async def refuse_store_for_node(site: RecordedSite, seconds: float) -> None:
    """Refuse the calls of one node to the store."""
    node = site.random.choice(site.live_nodes)
    node.store.fault = "refused"
    await trio.sleep(seconds)
    node.store.fault = ""


@fault("lost replies of the store")
async def lose_replies(site: RecordedSite, seconds: float) -> None:
    """Lose replies of the store; commits without reply take effect at once or late."""
    site.store.lost_commit_delay = timedelta(seconds=site.random.choice((0.0, 0.7, 2.0)))
    site.store.faults.lose_replies += LOST_REPLIES
    await trio.sleep(seconds)
    site.store.faults.lose_replies = 0


@fault("history dropped")
async def drop_history(site: RecordedSite, seconds: float) -> None:
    """Drop the store's history of changes, twice."""
    site.store.compact_history()
    await trio.sleep(seconds)
    site.store.compact_history()


@fault("owner killed")
async def kill_owner(site: RecordedSite, seconds: float) -> None:
    """Kill the owner, and start a new node afterwards."""
    site.any_owner.kill()
    await trio.sleep(seconds)
    site.add_node()


@fault("owner stopped as planned")
async def stop_owner(site: RecordedSite, seconds: float) -> None:
    """Stop the owner as planned while it serves a slow call; a new node replaces it."""
    node = site.any_owner
    site.add_node()
    job = f"last{len(site.history.submissions)}"
    async with trio.open_nursery() as nursery:
        site.store_delay_seconds = 0.2
        nursery.start_soon(partial(site.call_submit, job, Step(1, SMALL), first_node=node))
        await trio.sleep(0.1)
        nursery.start_soon(site.stop_planned, node, seconds)
        await trio.sleep(0.2)
        site.store_delay_seconds = 0.0


@fault("outage, then the owner killed")
async def kill_owner_after_outage(site: RecordedSite, seconds: float) -> None:
    """Take the store away, at the end also the owner and workers, and start a new node."""
    with store_outage(site):
        await ask_until_end_of_outage(site, seconds)
        site.any_owner.kill()
        await crash_workers_before_return(site)
    await trio.sleep(CRASH_DOWNTIME.total_seconds())
    site.add_node()


@fault("outage, then the owner stopped as planned")
async def stop_owner_after_outage(site: RecordedSite, seconds: float) -> None:
    """Take the store away; at the end the owner stops, workers crash, and a new node starts."""
    async with trio.open_nursery() as nursery:
        with store_outage(site):
            await ask_until_end_of_outage(site, seconds)
            nursery.start_soon(site.stop_planned, site.any_owner, STOP_GRACE_SECONDS)
            await crash_workers_before_return(site)
    site.add_node()


@contextmanager
def store_outage(site: RecordedSite) -> Iterator[None]:
    """Refuse all calls to the store, or leave them without reply."""
    name = site.random.choice(("refuse", "frozen"))
    setattr(site.store.faults, name, True)
    yield
    setattr(site.store.faults, name, False)


async def ask_until_end_of_outage(site: RecordedSite, seconds: float) -> None:
    """Wait until jobs have ended, and let callers ask for all jobs shortly before the end."""
    await trio.sleep(max(seconds, MIN_OUTAGE_SECONDS) - LAST_READ_SECONDS)
    for job in {submission.job: None for submission in site.history.submissions}:
        site.nursery.start_soon(site.call_phase, job)
    await trio.sleep(LAST_READ_SECONDS)


async def crash_workers_before_return(site: RecordedSite) -> None:
    """Let workers crash, and wait for the store to return up to a second later."""
    await trio.sleep(site.random.uniform(0, MAX_RETURN_DELAY_SECONDS / 2))
    for worker in choose_workers(site):
        site.nursery.start_soon(crash_worker, site, worker)
    await trio.sleep(site.random.uniform(0, MAX_RETURN_DELAY_SECONDS / 2))


def choose_workers(site: RecordedSite) -> list[MemoryRunWorker]:
    """Return all workers, or some of them."""
    workers = list(site.workers.workers_by_address.values())
    some = site.random.randint(1, len(workers) - 1)
    return site.random.sample(workers, site.random.choice((some, len(workers))))


async def crash_worker(site: RecordedSite, worker: MemoryRunWorker) -> None:
    """Let a worker crash, and register its next incarnation."""
    crash = WorkerCrashObservation(worker.registration.id, trio.current_time())
    site.history.worker_crashes.append(crash)
    await worker.crash()
    site.register(worker, born=worker.born)


@fault("workers crashing")
async def crash_workers(site: RecordedSite, seconds: float) -> None:
    """Let workers crash, one after the other."""
    workers = choose_workers(site)
    async with trio.open_nursery() as nursery:
        for worker in workers:
            nursery.start_soon(crash_worker, site, worker)
            await trio.sleep(seconds / len(workers))


@fault("owner suspended")
async def suspend_owner(site: RecordedSite, seconds: float) -> None:
    """Suspend the calls of the owner and their replies, while its clock advances."""
    control = site.freeze_controls_by_node[site.any_owner.name]
    control.freeze()
    await trio.sleep(seconds)
    control.thaw()


@fault("nodes without peers")
async def cut_off_peers(site: RecordedSite, seconds: float) -> None:
    """Let no node open a stream to another one."""
    transports = dict(site.network.transports_by_address)
    site.network.transports_by_address.clear()
    await trio.sleep(seconds)
    site.network.transports_by_address.update(transports)


@fault("worker partitioned")
async def partition_worker(site: RecordedSite, seconds: float) -> None:
    """Cut off a worker from every node."""
    address = site.any_worker.registration.address
    site.workers.network_faults_by_address[address].partitioned = True
    await trio.sleep(seconds)
    site.workers.network_faults_by_address[address].partitioned = False


@fault("worker partitioned from the owner")
async def partition_worker_from_owner(site: RecordedSite, seconds: float) -> None:
    """Cut off a worker from the owner only."""
    node, worker = site.any_owner, site.any_worker.registration.id
    node.workers.unreachable.add(worker)
    await trio.sleep(seconds)
    node.workers.unreachable.discard(worker)


@fault("lost replies of a worker")
async def lose_worker_replies(site: RecordedSite, seconds: float) -> None:
    """Lose starts, and replies to starts and renewals, of a worker."""
    faults = site.workers.network_faults_by_address[site.any_worker.registration.address]
    faults.lost_starts = faults.lost_start_replies = faults.lost_renewal_replies = 2
    await trio.sleep(seconds)
    faults.lost_starts = faults.lost_start_replies = faults.lost_renewal_replies = 0


@fault("late starts on a worker")
async def delay_starts(site: RecordedSite, seconds: float) -> None:
    """Execute starts on a worker late and without a reply."""
    faults = site.workers.network_faults_by_address[site.any_worker.registration.address]
    faults.start_delay = timedelta(seconds=site.random.choice((0.3, 0.9, 1.5)))
    await trio.sleep(seconds)
    faults.start_delay = None


@fault("worker restarted")
async def restart_worker(site: RecordedSite, seconds: float) -> None:
    """Restart a worker, which registers its new incarnation afterwards."""
    worker = site.any_worker
    worker.restart(worker.born + 1)
    await trio.sleep(seconds)
    site.register(worker, born=worker.born)


@fault("task crashing its workers")
async def submit_crashing_job(site: RecordedSite, seconds: float) -> None:
    """Submit a job with a task that crashes each worker that starts it."""
    job = f"crash{len(site.history.submissions)}"
    site.simulation.crashing_tasks.add(TaskId(job, 0, 0, 0))
    await site.call_submit(job, Step(2, SMALL))
    await trio.sleep(seconds)


@fault("job crashing its workers")
async def submit_crashing_tasks(site: RecordedSite, seconds: float) -> None:
    """Submit a job each of whose tasks crashes a worker, all at the same moment."""
    job = f"crash{len(site.history.submissions)}"
    site.simulation.crashing_tasks |= {TaskId(job, 0, 0, number) for number in range(RACK_SIZE)}
    await site.call_submit(job, Step(RACK_SIZE, SMALL, spread_limit=1))
    await trio.sleep(seconds)


@fault("worker shrinking")
async def shrink_worker(site: RecordedSite, seconds: float) -> None:
    """Let the capacity of a worker shrink, perhaps below what runs, and grow again."""
    worker = site.any_worker
    worker.resize(site.random.choice((SMALL, SHRUNKEN)))
    site.register(worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    worker.resize(CAPACITY)
    site.register(worker)


@fault("worker draining")
async def drain_worker(site: RecordedSite, seconds: float) -> None:
    """Let a worker drain for a time."""
    worker = site.any_worker
    drain = site.drain(worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    site.end_drain(worker, drain)


@fault("workers refusing starts")
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


@fault("worker leaving")
async def remove_worker(site: RecordedSite, seconds: float) -> None:
    """Let a worker announce that it leaves, and leave; another one appears under its id later."""
    worker = site.any_worker
    drain = site.drain(worker)
    await trio.sleep(min(seconds, NOTICE_SECONDS))
    faults = site.workers.network_faults_by_address[worker.registration.address]
    faults.not_listening = True
    worker.restart(worker.born + 1)
    site.unregister(worker)
    await trio.sleep(LATE_START_BOUND + seconds)
    faults.not_listening = False
    site.register(worker, born=worker.born)
    site.end_drain(worker, drain)


@fault("worker failing every run")
async def fail_runs(site: RecordedSite, seconds: float) -> None:
    """Let every run on a worker fail."""
    worker = site.any_worker.registration.id
    site.simulation.failing_workers.add(worker)
    await trio.sleep(seconds)
    site.simulation.failing_workers.discard(worker)


@fault("zone withdrawn")
async def withdraw_zone(site: RecordedSite, seconds: float) -> None:
    """Withdraw a zone for a time."""
    withdrawal = site.withdraw(site.any_worker.registration.zone)
    await trio.sleep(LATE_START_BOUND + seconds)
    site.return_zone(withdrawal)


@fault("key revoked")
async def revoke_key(site: RecordedSite, seconds: float) -> None:
    """Revoke the callers' API key for a time."""
    site.put_keys()
    await trio.sleep(seconds)
    site.put_keys(API_KEY)


@fault("burst")
async def submit_burst(site: RecordedSite, seconds: float) -> None:
    """Submit many small jobs at once."""
    prefix = f"burst{len(site.history.submissions)}"
    async with trio.open_nursery() as nursery:
        for number in range(BURST_SIZE):
            nursery.start_soon(site.call_submit, f"{prefix}-{number}", Step(1, SMALL))
        await trio.sleep(seconds)


@fault("submission abandoned")
async def abandon_submissions(site: RecordedSite, seconds: float) -> None:
    """Let callers cancel jobs whose submissions are on their way, then submit them again."""
    prefix = f"abandoned{len(site.history.submissions)}"
    jobs = [f"{prefix}-{number}" for number in range(ABANDONED_JOBS)]
    async with trio.open_nursery() as nursery:
        for job in jobs:
            lose_first_commit(site, job)
            nursery.start_soon(site.call_submit, job, Step(1, SMALL))
            await trio.sleep(site.random.uniform(0.05, ABANDONED_REPLY_SECONDS))
            await site.call_cancel(job, STOP_BOUND_SECONDS)
        await trio.sleep(seconds)
    for job in jobs:
        await site.call_submit(job, Step(1, SMALL))


def lose_first_commit(site: RecordedSite, job: str) -> None:
    """Let the first write of a job get no reply, and take effect late."""
    commit, lost = site.store.commit, []

    async def commit_late(conditions, writes=(), removals=()):
        if job_key(job) not in conditions or lost:
            return await commit(conditions, writes, removals)
        lost.append(job)
        site.nursery.start_soon(apply_late, site, conditions, writes)
        await trio.sleep(ABANDONED_REPLY_SECONDS)
        raise StoreTimeout("the reply was lost")

    site.store.commit = commit_late


async def apply_late(site: RecordedSite, conditions, writes) -> None:
    await trio.sleep(ABANDONED_WRITE_SECONDS)
    with suppress(TransactionConflict):
        site.store.apply(conditions, writes, ())


@fault("wave of cancellations")
async def cancel_jobs(site: RecordedSite, seconds: float) -> None:
    """Cancel half of the jobs that are not claims."""
    claims = {"claim"}
    jobs = sorted({s.job for s in site.history.submissions} - claims)
    for job in site.random.sample(jobs, len(jobs) // 2):
        await site.call_cancel(job, STOP_BOUND_SECONDS)
    await trio.sleep(seconds)
