"""Load and changes of the callers and operators of a cell in memory, of the kind of a fault."""

from contextlib import suppress

import trio

from mimosapoint.cell.keys import job_key
from mimosapoint.cell.tests._fault_registry import FaultRegistry
from mimosapoint.cell.tests._recorded_site import API_KEY, RecordedSite
from mimosapoint.cell.tests._site import SMALL
from mimosapoint.errors import StoreTimeout
from mimosapoint.ports import TransactionConflict
from mimosapoint.testing.cell_checks import LATE_START_BOUND
from mimosapoint.workload import Step

__all__ = ["STOP_BOUND_SECONDS", "caller_faults"]

caller_faults = FaultRegistry()

BURST_SIZE = 40
ABANDONED_JOBS = 3
ABANDONED_REPLY_SECONDS = 0.45
ABANDONED_WRITE_SECONDS = 2.0

STOP_BOUND_SECONDS = 12.0
"""Time in which a cancelled job stops under faults: theirs, a failover and a worker's lease."""


@caller_faults.add("zone withdrawn")
async def withdraw_zone(site: RecordedSite, seconds: float) -> None:
    """Withdraw a zone for a time."""
    withdrawal = site.withdraw(site.any_worker.registration.zone)
    await trio.sleep(LATE_START_BOUND + seconds)
    site.return_zone(withdrawal)


@caller_faults.add("key revoked")
async def revoke_key(site: RecordedSite, seconds: float) -> None:
    """Revoke the callers' API key for a time."""
    site.put_keys()
    await trio.sleep(seconds)
    site.put_keys(API_KEY)


@caller_faults.add("burst")
async def submit_burst(site: RecordedSite, seconds: float) -> None:
    """Submit many small jobs at once."""
    prefix = f"burst{len(site.history.submissions)}"
    async with trio.open_nursery() as nursery:
        for number in range(BURST_SIZE):
            nursery.start_soon(site.call_submit, f"{prefix}-{number}", Step(1, SMALL))
        await trio.sleep(seconds)


@caller_faults.add("submission abandoned")
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


@caller_faults.add("wave of cancellations")
async def cancel_jobs(site: RecordedSite, seconds: float) -> None:
    """Cancel half of the jobs that are not claims."""
    claims = {"claim"}
    jobs = sorted({s.job for s in site.history.submissions} - claims)
    for job in site.random.sample(jobs, len(jobs) // 2):
        await site.call_cancel(job, STOP_BOUND_SECONDS)
    await trio.sleep(seconds)
