"""A job whose tasks crash the workers that start them, each task on a worker of its own."""

import asyncio
import os
import time
from pathlib import Path

from standins3 import PREFIXES, Run, Site, job, job_id, main, step

WORKERS = 24
TASKS = 20
TASK_S = 9.5
CRASH_AFTER_S = 0.3
WATCH_S = 60
CRASHES = 3
FURTHER_STARTS = 3
OTHER_S = 12


async def scenario(site: Site, trouble: bool) -> bool:
    """Return whether a task was started three times more after it had crashed three workers."""
    await site.start(WORKERS)
    other = job_id(100)
    body = job([step(count=WORKERS, seconds=OTHER_S, anti_affinity=1)], seconds=OTHER_S)
    assert await site.submit("node-0", "normal", other, body) == 200
    await asyncio.sleep(1)
    crashing = job_id(7)
    spec = {"deadly": CRASH_AFTER_S} if trouble else {}
    body = job([step(count=TASKS, seconds=TASK_S, anti_affinity=1)], seconds=TASK_S, **spec)
    assert await site.submit("node-1", "bulk", crashing, body) == 200
    state, end = "", time.monotonic() + WATCH_S
    while state not in ("complete", "failed") and time.monotonic() < end:
        await asyncio.sleep(1)
        _, reply = await site.call("node-2", "GET", PREFIXES["bulk"] + crashing)
        state = reply.get("state", "")
    further = {}
    for index in range(TASKS):
        task = f"{crashing}.0.0.{index}"
        further[task] = _starts_after([run for run in site.fleet.history if run.task == task])
    done = {run.task for run in site.fleet.history if run.how == "done"}
    unended = sum(f"{other}.0.0.{index}" not in done for index in range(WORKERS))
    lost = sum(run.how == "lost" and not run.has_crashed_worker for run in site.fleet.history)
    site.record.write(
        "result", state=state, further_starts=further, lost_beside=lost, other_tasks_unended=unended
    )
    print(f"the job is {state}; starts after three workers had crashed: {list(further.values())}")
    print(f"runs of another job that were lost: {lost}; its tasks without an end: {unended}")
    return any(starts >= FURTHER_STARTS for starts in further.values())


def _starts_after(runs: list[Run]) -> int:
    """Return the number of starts after three different workers have crashed under the task."""
    crashed: set[str] = set()
    starts = 0
    for run in runs:
        starts += len(crashed) >= CRASHES
        if run.has_crashed_worker:
            crashed.add(run.worker.id)
    return starts


main(scenario, Path(__file__).parent, trouble=os.environ.get("TROUBLE", "1") != "0")
