"""Callers that go on asking for work while something is played."""

from typing import Any

import trio
from mimosapoint.jobs import home_zone_of_job

from tools.site.recorder import Recorder
from tools.site.sample_jobs import bulletin, expected_parts, rebuild, thumbnail

__all__ = ["Callers"]

PAUSE_SECONDS = 0.25


class Callers:
    """Callers of a site, each of which waits for its answer.

    :param recorder: keeps what they see.
    :param nursery: runs them.
    :param name: start of their idempotency keys.
    """

    def __init__(self, recorder: Recorder, nursery: trio.Nursery, name: str):
        self._recorder = recorder
        self._nursery = nursery
        self._name = name
        self._number = 0

    def submit(
        self, job: dict[str, Any], start_bound: float | None = None, home: str | None = None
    ) -> str:
        """Ask for one job in the background; return its idempotency key.

        :param start_bound: seconds within which the job claims a guarantee, if it does.
        :param home: availability zone that the job is to be homed in, if it matters.
        """
        key = self._next_key(job, home)
        expected = expected_parts(job)
        self._nursery.start_soon(self._recorder.run_job, job, key, expected, start_bound)
        return key

    def _next_key(self, job: dict[str, Any], home: str | None) -> str:
        """Return an unused key whose job belongs to the home."""
        while True:
            self._number += 1
            key = f"{self._name}-{self._number}"
            if home is None or home_zone_of_job(self._recorder.job_id(job, key)) == home:
                return key

    async def submit_until_cancelled(self) -> None:
        """Ask for work of the three kinds until cancelled."""
        number = 0
        while True:
            number += 1
            self.submit(bulletin(number, repeatable=number % 3 != 0))
            self.submit(thumbnail(number))
            if number % 4 == 0:
                self.submit(rebuild(number))
            await trio.sleep(PAUSE_SECONDS)
