"""An unhealthy worker refuses starts of jobs that then wait; the count of waiting jobs is read."""

import asyncio
import os
from pathlib import Path

from standins3 import PREFIXES, Site, job, job_id, main, step

WORKERS = 10
GPUS = 8
JOBS = 6
REFUSING_S = 6.5
ASKED_AFTER_S = 5.5
"""Over `visible_ms` and 2 s after the last job was accepted, and while the worker refuses."""


async def scenario(site: Site, trouble: bool) -> bool:
    """Return whether a node gave as pending under half of the jobs that had not begun."""
    await site.start(WORKERS)
    for number in range(WORKERS - 1):
        body = job([step(gpu=GPUS, seconds=60)], seconds=60)
        assert await site.submit("node-0", "bulk", job_id(number), body) == 200
    await asyncio.sleep(2)
    idle = [worker for worker in site.fleet.workers if not worker.running]
    assert len(idle) == 1
    idle[0].refuses_starts = trouble
    site.record.write("worker-refuses" if trouble else "worker-idle", worker=idle[0].id)
    jobs = [job_id(100 + number) for number in range(JOBS)]
    for each in jobs:
        body = job([step(gpu=1, seconds=30)], seconds=30)
        assert await site.submit("node-1", "normal", each, body) == 200
    await asyncio.sleep(ASKED_AFTER_S)
    begun = {run.task.split(".")[0] for run in site.fleet.history}
    waiting = sum(each not in begun for each in jobs)
    is_broken = False
    for node in site.nodes.processes:
        status, reply = await site.call(node, "GET", PREFIXES["normal"])
        site.record.write("pending", node=node, told=reply.get("pending"), not_begun=waiting)
        print(f"{node} gives {reply.get('pending')} as pending; {waiting} have not begun")
        is_broken |= status == 200 and 2 * reply["pending"] < waiting
    await asyncio.sleep(REFUSING_S - ASKED_AFTER_S)
    idle[0].refuses_starts = False
    await asyncio.sleep(3)
    begun = {run.task.split(".")[0] for run in site.fleet.history}
    site.record.write("after-the-fault", begun=sum(each in begun for each in jobs))
    return is_broken


main(scenario, Path(__file__).parent, trouble=os.environ.get("TROUBLE", "1") != "0")
