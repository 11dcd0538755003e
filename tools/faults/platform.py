"""Fault cases of the platform: its store, its VM list and its workers."""

import trio

from tools.faults.case_run import CaseRun
from tools.faults.registry import case

__all__: list[str] = []

OUTAGE_SECONDS = 10.0
SLOW_SECONDS = 6.0
SLOW_CALL_SECONDS = 0.5
LOST_REPLIES = 40
WORKERS_AFFECTED = 4
WORKERS_FROZEN_SECONDS = 8.0
WORKERS_PAUSED_SECONDS = 3.0


@case("store refused")
async def refuse_store(run: CaseRun) -> None:
    """Make the store refuse every call."""
    await run.outage(run.site.files.store_address, OUTAGE_SECONDS, refuse=True)


@case("store frozen")
async def freeze_store(run: CaseRun) -> None:
    """Make calls to the store hang."""
    await run.outage(run.site.files.store_address, OUTAGE_SECONDS, frozen=True)


@case("store replies lost")
async def lose_store_replies(run: CaseRun) -> None:
    """Lose replies of the store after the calls took effect."""
    await run.outage(run.site.files.store_address, 3.0, lose_replies=LOST_REPLIES)


@case("store slow")
async def slow_store(run: CaseRun) -> None:
    """Delay every call to the store."""
    await run.outage(run.site.files.store_address, SLOW_SECONDS, delay=SLOW_CALL_SECONDS)


@case("store garbage")
async def corrupt_store_replies(run: CaseRun) -> None:
    """Make the store reply with invalid JSON."""
    await run.outage(run.site.files.store_address, 4.0, garbage=True)


@case("VM list out")
async def refuse_vm_list(run: CaseRun) -> None:
    """Make the VM list refuse every call."""
    await run.outage(run.site.files.vm_list_address, 6.0, refuse=True)


@case("endpoint leaving")
async def leave_endpoint(run: CaseRun) -> None:
    """Mark an endpoint as leaving in the VM list."""
    await run.recorder.mark_endpoint_leaving(await run.pick_worker())
    await trio.sleep(5.0)


@case("workers frozen")
async def freeze_workers(run: CaseRun) -> None:
    """Make calls to some workers hang."""
    addresses = await _pick_worker_addresses(run)
    run.expect_recovery(run.zones, promised=False)
    async with run.inject_faults(addresses, frozen=True):
        await trio.sleep(WORKERS_FROZEN_SECONDS)
    run.expect_recovery(run.zones)


@case("workers fail every task")
async def fail_tasks(run: CaseRun) -> None:
    """Make some workers fail every task that they start."""
    async with run.inject_faults(await _pick_worker_addresses(run), fail_tasks=True):
        await trio.sleep(3.0)


@case("workers' replies lost")
async def lose_worker_replies(run: CaseRun) -> None:
    """Lose replies of some workers after the calls took effect."""
    async with run.inject_faults(await _pick_worker_addresses(run), lose_replies=6):
        await trio.sleep(4.0)


@case("workers paused")
async def pause_workers(run: CaseRun) -> None:
    """Suspend the process of all workers for some seconds."""
    run.expect_recovery(run.zones)
    await run.freeze("workers", WORKERS_PAUSED_SECONDS)


async def _pick_worker_addresses(run: CaseRun) -> list[str]:
    """Return the addresses of the ``WORKERS_AFFECTED`` workers that started the most tasks."""
    return [run.site.files.workers_by_id[await run.pick_worker()] for _ in range(WORKERS_AFFECTED)]
