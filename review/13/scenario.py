"""All open connections go silent at one moment, while new ones work."""

import asyncio
import os
import time
from pathlib import Path

from standins3 import PREFIXES, Site, job, job_id, main, step

WORKERS = 12
GPUS = 8
TRAFFIC_S = 12
TRAFFIC_GAP_S = 0.5
SHORT_S = 5
LONG_S = 30
LONG_JOBS = 3
CONTACT_S = 3.0
"""The silence counts as a reset of the connections of all machines, which excuses this long."""

STANDSTILL_S = 3.0
WATCH_S = 22


async def scenario(site: Site, trouble: bool) -> bool:
    """Return whether an accepted job had nothing running for 3 s beside ample capacity."""
    await site.start(WORKERS)
    names = list(site.nodes.processes)
    site.record.write("owner", node=site.nodes.owner)
    await _submit_traffic(site, names)
    long_jobs = [job_id(900 + number) for number in range(LONG_JOBS)]
    for number, each in enumerate(long_jobs):
        body = job([step(count=GPUS, seconds=LONG_S)], seconds=LONG_S)
        assert await site.submit(names[number], "normal", each, body) == 200
    # The traffic has ended by then; only the long jobs run, on a quarter of the capacity.
    await asyncio.sleep(SHORT_S + 1.5)
    silent_at = time.monotonic()
    if trouble:
        for server in site.store.servers.values():
            server.silence()
        for worker in site.fleet.workers:
            open_connections = len(worker.server.connections)
            site.record.write("silenced", worker=worker.id, connections=open_connections)
            worker.server.silence()
    longest = await _watch(site, long_jobs, silent_at)
    lapsed = sum(run.how == "lapsed" for run in site.fleet.history)
    site.record.write("result", longest_standstill_by_job=longest, lapsed_runs=lapsed)
    print(f"longest standstill by job: {longest}; runs whose lease lapsed: {lapsed}")
    return any(seconds >= STANDSTILL_S for seconds in longest.values())


async def _submit_traffic(site: Site, names: list[str]) -> None:
    began, number = time.monotonic(), 0
    while time.monotonic() - began < TRAFFIC_S:
        number += 1
        body = job([step(count=GPUS, seconds=SHORT_S)], seconds=SHORT_S)
        node = names[number % len(names)]
        assert await site.submit(node, "bulk", job_id(number), body) == 200
        await asyncio.sleep(TRAFFIC_GAP_S)


async def _watch(site: Site, jobs: list[str], silent_at: float) -> dict[str, float]:
    """Return the longest time for which each job had nothing running, after the contact time."""
    standing = dict.fromkeys(jobs, 0.0)
    longest = dict.fromkeys(jobs, 0.0)
    last = time.monotonic()
    while last < silent_at + WATCH_S:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        running = {task.split(".")[0] for w in site.fleet.workers for task, _ in w.running}
        in_use = sum(len(worker.running) for worker in site.fleet.workers)
        has_room = 2 * in_use < WORKERS * GPUS
        for each in jobs:
            is_standing = has_room and each not in running and now >= silent_at + CONTACT_S
            standing[each] = standing[each] + now - last if is_standing else 0.0
            longest[each] = round(max(longest[each], standing[each]), 2)
        last = now
    for each in jobs:
        await site.call(next(iter(site.nodes.processes)), "GET", PREFIXES["normal"] + each)
    return longest


main(scenario, Path(__file__).parent, trouble=os.environ.get("TROUBLE", "1") != "0")
