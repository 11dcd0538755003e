"""A worker starts again under its id, gets a task, and is cut off soon after."""

import asyncio
from pathlib import Path

from standins import Site, main

WORKERS = 6
DOWN_S = 1.0
CUT_S = 5.5
BEFORE_CUT_S = 1.0
"""Time from the start of the task to the cut."""

HOLD_AGE_S = 0.9
"""Time since the last hold at the beginning of the cut; a hold waits for a second at most."""

STEPS = [{"count": WORKERS, "cpu": 52_000, "mem_mb": 110_000, "gpu": 8, "estimate_ms": 6000}]


async def case(folder: Path, with_trouble: bool) -> bool:
    """Return whether no task works on two workers at once."""
    async with Site(folder, nodes=2, workers=WORKERS) as site:
        record, worker = site.record, site.workers["i-1"]
        # The task on this worker takes long; the other workers are free again after two seconds.
        site.work = lambda task, run: (60.0 if task in worker.running else 2.0, "done")
        await asyncio.sleep(10)
        if with_trouble:
            address = worker.server.address
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start(address)
        await asyncio.sleep(0.5)
        job = await site.submit("node-0", STEPS)
        await site.wait_for(lambda: worker.running, 5, "a task starts on the worker")
        await asyncio.sleep(BEFORE_CUT_S)
        await site.wait_for(lambda: worker.since_hold() > HOLD_AGE_S, 5, "a hold is about to end")
        if with_trouble:
            worker.set_cut(nodes=True, store=True, resets=True)
        await asyncio.sleep(CUT_S)
        worker.set_cut(nodes=False, store=False)
        await asyncio.sleep(5)
        record(f"state: {await site.state('node-0', job)}; twice: {record.twice}")
        return not record.twice


main(case, __file__)
