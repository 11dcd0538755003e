"""Four of 24 workers crash behind a cut and start again under the ids that they had."""

import asyncio
from pathlib import Path

from standins import HEARTBEAT_S, Site, main

WORKERS = 24
CUT_WORKERS = 4
CUT_S = 5.5
DOWN_S = 1.0
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 512, "gpu": 1, "estimate_ms": 1000}]


async def cut_with_restart(site: Site) -> None:
    """Cut workers off from the nodes and from the store; behind the cut they crash and restart.

    The cut begins just before the workers would report to the store, and ends just after.
    """
    workers = list(site.workers.values())[:CUT_WORKERS]
    await site.wait_for(
        lambda: workers[0].since_report() >= HEARTBEAT_S - 0.1, 3, "a report is due soon"
    )
    addresses = [worker.server.address for worker in workers]
    for worker in workers:
        worker.set_cut(nodes=True, store=True)
    restart_at = CUT_S - 0.05 - 2 * HEARTBEAT_S
    await asyncio.sleep(restart_at - DOWN_S)
    for worker in workers:
        await worker.crash()
    await asyncio.sleep(DOWN_S)
    for worker, address in zip(workers, addresses):
        await worker.start(address)
    await asyncio.sleep(CUT_S - restart_at)
    for worker in workers:
        worker.set_cut(nodes=False, store=False)


async def case(folder: Path, with_trouble: bool) -> bool:
    """Return whether jobs that are accepted after the cut are run."""
    async with Site(folder, nodes=2, workers=WORKERS) as site:
        before = await site.submit("node-0", STEPS)
        state = await site.wait_state("node-0", before, {"complete"}, 10)
        site.record(f"state of a job before the cut: {state}")
        if with_trouble:
            await cut_with_restart(site)
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(6)  # twice contact_ms
        jobs = [await site.submit(node, STEPS) for node in ("node-0", "node-1")]
        # finish_s, and the 3 s for which a job may have nothing running.
        states = [await site.wait_state("node-0", job, {"complete"}, 14 + 3) for job in jobs]
        site.record(f"owner: {site.owner()}; states of the jobs after the cut: {states}")
        for line in site.log_lines("owner-deposed"):
            site.record(line)
        return states == ["complete"] * len(jobs)


main(case, __file__)
