"""A write of the store gets no answer and is carried out five seconds later."""

import asyncio
from pathlib import Path

from standins import Site, main

LATE_S = 5.0
"""The pages allow 1 to 6 s."""

FULL = [{"count": 2, "cpu": 1000, "mem_mb": 512, "gpu": 8, "estimate_ms": 60_000}]
WAITING = [{"count": 1, "cpu": 1000, "mem_mb": 512, "gpu": 1, "estimate_ms": 1000}]
JOBS = 6


async def case(folder: Path, with_trouble: bool) -> bool:
    """Return whether at least half of the waiting jobs are shown as pending."""
    async with Site(folder, nodes=2, workers=2) as site:
        record, store = site.record, site.store
        site.work = lambda task, run: (90.0, "done")
        await site.submit("node-0", FULL)
        await asyncio.sleep(3)
        if with_trouble:
            store.late_key, store.late_seconds = "cell/queues", LATE_S
        for _ in range(2):
            await site.submit("node-0", WAITING)
        await asyncio.sleep(0.6)
        for _ in range(JOBS - 2):
            await site.submit("node-1", WAITING)
        await asyncio.sleep(LATE_S + 8)
        pending = []
        for node in ("node-0", "node-1"):
            status, reply = await site.call(node, "GET", "")
            pending.append(reply["pending"] if status == 200 else None)
        record(f"{JOBS} jobs wait for over visible_ms + 2 s; pending: {pending}")
        return all(each is not None and each >= JOBS / 2 for each in pending)


main(case, __file__)
