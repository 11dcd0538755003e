"""A task that lasts ends as done, although its job has not been cancelled."""

import asyncio
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0])
from standins2 import Site, play

LASTING = "00000000000000c1"
WAIT_SECONDS = 20
"""Time for which the job is watched after the end; the rule allows 6 s and 3 s."""


class LastingSite(Site):
    """Site on which the first run of a lasting task ends as done, if ``ends``."""

    ends_once = True

    def plan_run(self, task: str) -> tuple[float | None, str]:
        """Let the first run end after some seconds, and all others last."""
        starts = [each for each in self.starts if each[1] == task]
        if self.ends_once and task == f"{LASTING}.0.0.0" and len(starts) <= 1:
            return 3.0, "done"
        return None, ""


async def scenario(site: LastingSite, has_trouble: bool) -> str:
    """Submit a job with one lasting task, and see whether the task is started again."""
    site.ends_once = has_trouble
    await site.start([("a", f"r{number // 4}") for number in range(8)])
    step = {"count": 1, "cpu": 8000, "mem_mb": 4096, "gpu": 1, "long_running": True}
    if await site.submit(LASTING, [step]) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(3.0 + WAIT_SECONDS)
    state = await site.state(LASTING)
    ends = [each for each in site.ends if each[4] == "done"]
    last = ends[-1][0] if ends else 0.0
    again = [each for each in site.starts if each[0] > last]
    site.record.write("result", ends=len(ends), starts_after=len(again), state=state)
    if has_trouble and not ends:
        raise RuntimeError("the task has not ended")
    if not again:
        return f"LOST: the lasting task does not run {site.record.now() - last:.1f} s after its end"
    return "" if state == "running" else f"MIXED: the job is shown as {state}"


if __name__ == "__main__":
    play(scenario, LastingSite, __file__.rsplit("/", 1)[0])
