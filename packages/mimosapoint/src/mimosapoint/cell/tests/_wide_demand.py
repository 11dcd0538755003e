"""Demand in which small jobs arrive beside gangs that need most of the workers, or of a cap."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import attrs
import trio

from mimosapoint.cell.tests._site import CAPACITY, RACK_SIZE, SMALL, WIDE
from mimosapoint.workload import ResourceAmounts, Step

__all__ = ["WIDE_SEED", "WideDemand"]

WIDE_SEED = 1000
"""Seed from which plays of faults have this demand. Earlier seeds play what they always did."""

ROUNDS = 6
ROUND_SECONDS = 6.0
"""Time from a gang to the next one, in seconds; the last ones come after the faults."""

SMALL_JOBS = 3
"""Small jobs after each gang."""

RUN_SECONDS = (3.0, 5.0, 8.0)
"""Run times of tasks; a job that waits for the end of a run may stand still for too long."""


@attrs.frozen
class WideDemand:
    """Gangs and small jobs of one seed.

    :param random: source of the choices.
    :param workers: number of workers.
    :param cap: cap of the callers' workspace; 0 is no limit.
    :param run_time: run time of each task.
    """

    random: Random
    workers: int
    cap: ResourceAmounts
    run_time: timedelta

    @classmethod
    def of_seed(cls, seed: object, workers: int) -> "WideDemand":
        """Return the demand of a seed."""
        random = Random(f"wide {seed}")
        is_capped = random.random() < 0.5
        accelerators = CAPACITY.accelerators * workers * 3 // 4 if is_capped else 0
        run_time = timedelta(seconds=random.choice(RUN_SECONDS))
        return cls(random, workers, ResourceAmounts(accelerators=accelerators), run_time)

    async def submit_all(self, submit: Callable[..., Awaitable[object]]) -> None:
        """Submit the jobs; each gang needs most of the workers, most of the cap, or one rack."""
        most = self.cap.accelerators // WIDE.accelerators or self.workers
        for number in range(ROUNDS):
            rack_local = self.random.random() < 0.3
            count = RACK_SIZE if rack_local else self.random.randint(most - 1, most)
            step = Step(count, WIDE, gang=True, rack_local=rack_local)
            await submit(f"wide{number}", step)
            for small in range(SMALL_JOBS):
                await submit(f"small{number}-{small}", Step(1, SMALL))
                await trio.sleep(ROUND_SECONDS / SMALL_JOBS)
