"""A worker leaves at short notice and the owner is killed; the task of the worker stands still."""

import asyncio
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0])
from standins2 import Site, play

JOB = "0000000000000091"
NOTICE_SECONDS = 2.0
KILL_SECONDS = 0.5
"""Time from the departure of the worker to the kill."""
RESTART_SECONDS = 0.5
REPLACEMENT_SECONDS = 4.0
CALM_SECONDS = 4.0
STANDSTILL_SECONDS = 3.0


async def add_later(site: Site) -> None:
    """Add another worker 4 s after the departure."""
    await asyncio.sleep(REPLACEMENT_SECONDS)
    await site.add_worker("w14", "a", "r3")


async def scenario(site: Site, has_trouble: bool) -> str:
    """Submit a job of one long task, and measure how long it stands still after the departure."""
    await site.start([("a", f"r{number // 4}") for number in range(14)])
    step = {"count": 1, "cpu": 8000, "mem_mb": 4096, "gpu": 1, "estimate_ms": 30000}
    if await site.submit(JOB, [step]) != 200:
        raise RuntimeError("the job was not accepted")
    while not site.starts:
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    if has_trouble:
        worker = site.workers_by_name[site.starts[0][3]]
        worker.state, worker.remaining_ms = "draining", int(1000 * NOTICE_SECONDS)
        worker.report()
        await asyncio.sleep(NOTICE_SECONDS)
        await worker.crash()
        site.store.delete(f"servers/{worker.name}")
        site.spawn(add_later(site))
    gone_at = site.record.now()
    await asyncio.sleep(KILL_SECONDS)
    if has_trouble:
        owner = int(site.store.read("cell/owner")["node"].split("-")[1][1:])
        site.signal_node(owner, "SIGKILL")
        await asyncio.sleep(RESTART_SECONDS)
        site.start_node(owner)
    calm_from = site.record.now() + CALM_SECONDS
    until = site.record.now() + 25
    started_at = until
    while site.record.now() < until:
        starts = [each[0] for each in site.starts if each[0] > gone_at]
        if starts or not has_trouble:
            started_at = starts[0] if starts else gone_at
            break
        await asyncio.sleep(0.1)
    stood = started_at - calm_from
    site.record.write("result", waited=started_at - gone_at, calm=stood)
    print(f"waited {started_at - gone_at:.1f} s, {stood:.1f} s of calm")
    if stood >= STANDSTILL_SECONDS:
        return f"LOST: the job stood still for {stood:.1f} s of calm"
    return ""


class LongSite(Site):
    """Site whose tasks take 30 s."""

    def plan_run(self, task: str) -> tuple[float, str]:
        """Let each task end as done."""
        return 30.0, "done"


if __name__ == "__main__":
    play(scenario, LongSite, __file__.rsplit("/", 1)[0])
