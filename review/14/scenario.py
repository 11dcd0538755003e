"""A caller cancels a job whose submission it got no answer to."""

import asyncio
import os
import time
from pathlib import Path

from standins3 import PREFIXES, NoReply, Site, call, job, job_id, main, step

WORKERS = 6
TASK_S = 20
CALLER_LEAVES_S = 0.4
TIME_LIMIT_S = 3.0
WRITE_LATE_S = 2.0
CANCEL_S = 3.0
STOP_S = 0.2
CONTACT_S = 3.0


async def scenario(site: Site, trouble: bool) -> bool:
    """Return whether the job runs on after its cancelling was acknowledged."""
    await site.start(WORKERS)
    owner = site.nodes.owner
    first, second = [node for node in site.nodes.processes if node != owner][:2]
    cancelled_job = job_id(7)
    has_lost = False

    async def lose_first_write(node, name, body):
        nonlocal has_lost
        keys = [row["key"] for row in body.get("set_keys", ())] if name == "kv-txn" else []
        if trouble and not has_lost and any(key.endswith(cancelled_job) for key in keys):
            has_lost = True
            site.record.write("write-unanswered", node=node, keys=keys, done_in=WRITE_LATE_S)
            asyncio.get_running_loop().call_later(WRITE_LATE_S, site.store.transact, body)
            raise NoReply

    site.store.hook = lose_first_write
    path = PREFIXES["normal"] + cancelled_job
    body = job([step(seconds=TASK_S)], seconds=TASK_S)
    submitted, _ = await call(
        site.record,
        site.nodes.frontends[first],
        "POST",
        path,
        body,
        timeout=CALLER_LEAVES_S,
        deadline=TIME_LIMIT_S,
    )
    cancelled, _ = await site.call(second, "DELETE", path)
    cancelled_at = time.monotonic()
    assert cancelled in (200, 410), cancelled
    # The late write is the last disturbance; the contact time runs from it.
    await asyncio.sleep(WRITE_LATE_S + CONTACT_S + CANCEL_S + STOP_S)
    running = [task for worker in site.fleet.workers for task, _ in worker.running]
    state = await site.call(second, "GET", path)
    seconds = round(time.monotonic() - cancelled_at, 1)
    site.record.write(
        "result", submitted=submitted, cancelled=cancelled, after=seconds, running=running
    )
    print(f"POST {submitted}, DELETE {cancelled}; {seconds} s later: running {running}, {state}")
    return bool(running)


main(scenario, Path(__file__).parent, trouble=os.environ.get("TROUBLE", "1") != "0")
