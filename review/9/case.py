"""Workers fail all that they start for a while; afterwards a job stands still beside them."""

import asyncio
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0])
from standins2 import Site, play

LATE = "00000000000000ff"
KIND = "a"
FIRST_SECONDS, PAUSE_SECONDS, SECOND_SECONDS = 6.5, 3.0, 1.8
"""The second time begins before a worker that failed in the first one is tried again."""
CALM_SECONDS = 4.0
STANDSTILL_SECONDS = 3.0


class GreySite(Site):
    """Site on which the workers of one kind fail all that they start, while ``is_grey``."""

    is_grey = False

    def plan_run(self, task: str) -> tuple[float, str]:
        """Let the runs of the small jobs fail at once while the workers are grey."""
        return (0.2, "failed") if self.is_grey else (1.0, "done")

    async def keep_submitting(self, step: dict) -> None:
        """Submit a job for the kind each 0.4 s."""
        for number in range(1000):
            await self.submit(f"{number:016x}", [step])
            await asyncio.sleep(0.4)

    async def be_grey(self, seconds: float) -> None:
        """Let the workers fail for some seconds."""
        self.record.write("grey", seconds=seconds)
        self.is_grey = True
        await asyncio.sleep(seconds)
        self.is_grey = False
        self.record.write("sound")


async def scenario(site: GreySite, has_trouble: bool) -> str:
    """Submit a job after the workers are sound again, and measure how long it stands still."""
    kinds = [KIND, KIND, *["b"] * 22]
    await site.start([(kind, f"r{number // 6}") for number, kind in enumerate(kinds)])
    step = {"count": 1, "cpu": 8000, "mem_mb": 4096, "gpu": 1, "estimate_ms": 1000}
    step["requires"] = KIND
    caller = site.spawn(site.keep_submitting(step))
    await asyncio.sleep(1.0)
    if has_trouble:
        await site.be_grey(FIRST_SECONDS)
        await asyncio.sleep(PAUSE_SECONDS)
        await site.be_grey(SECOND_SECONDS)
    caller.cancel()
    sound_at = site.record.now()
    await asyncio.sleep(0.2)
    if await site.submit(LATE, [step]) != 200:
        raise RuntimeError("the job was not accepted")
    submitted_at = site.record.now()
    until = site.record.now() + 25
    first = until
    while site.record.now() < until and first == until:
        await asyncio.sleep(0.1)
        first = min([each[0] for each in site.starts if each[0] > sound_at], default=until)
    while site.record.now() < until and await site.state(LATE) != "complete":
        await asyncio.sleep(0.2)
    stood = first - max(sound_at + CALM_SECONDS, submitted_at)
    site.record.write("result", idle=round(first - sound_at, 1), stood=round(stood, 1))
    print(f"nothing started for {first - sound_at:.1f} s, {stood:.1f} s of them calm")
    if stood >= STANDSTILL_SECONDS:
        return f"LOST: the job stood still for {stood:.1f} s of calm beside two idle workers"
    return ""


if __name__ == "__main__":
    play(scenario, GreySite, __file__.rsplit("/", 1)[0])
