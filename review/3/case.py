"""A zone is taken back and withdrawn again while the store turns one node of three away."""

import asyncio
from pathlib import Path

from standins import ZONES, CaseError, Site, main

REFUSED_S = 9.0
EVACUATE_S = 5.0
MAX_EXTENSION_S = 5.0
ZONE = ZONES[1]
STEPS = [{"count": 24, "cpu": 1000, "mem_mb": 512, "gpu": 1, "estimate_ms": 2000}]
"""Three workers are needed to run all of these at once; outside the zone there are two."""


async def case(folder: Path, with_trouble: bool) -> bool:
    """Return whether nothing starts in the zone that stays withdrawn."""
    async with Site(folder, nodes=3, workers=4) as site:
        record, store, key = site.record, site.store, f"op/evacuate/{ZONE}"
        nodes = list(site.processes)
        node = next(each for each in nodes if each != site.owner())
        store.put(key, b"{}")
        record(f"operator withdraws {ZONE}; the owner is {site.owner()}")
        await asyncio.sleep(4)
        if with_trouble:
            record(f"the store turns {node} away with 503")
            store.refused.add(node)
        await asyncio.sleep(REFUSED_S / 3)
        store.remove(key)
        record(f"operator takes {ZONE} back")
        await asyncio.sleep(REFUSED_S / 3)
        store.put(key, b"{}")
        withdrawn_at = record.now()
        record(f"operator withdraws {ZONE} again")
        await asyncio.sleep(REFUSED_S / 3)
        store.refused.clear()
        record(f"the store serves {node} again")
        await asyncio.sleep(4)  # longer than contact_ms
        for _ in range(6):
            owner = site.owner()
            if owner == node:
                break
            await site.restart(owner)
            await asyncio.sleep(3)
        if site.owner() != node and with_trouble:
            raise CaseError(f"{node} never became the owner")
        await asyncio.sleep(max(0.0, withdrawn_at + EVACUATE_S + MAX_EXTENSION_S - record.now()))
        submitted_at = record.now()
        job = await site.submit(node, STEPS)
        await site.wait_state(node, job, {"complete"}, 15)
        starts = [line for at, line in record.starts if at > submitted_at and f"({ZONE})" in line]
        record(f"{ZONE} is withdrawn since {withdrawn_at:.3f}; starts in it: {len(starts)}")
        return not starts


main(case, __file__)
