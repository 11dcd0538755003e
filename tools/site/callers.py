"""Callers that submit jobs to a site in the background."""

from typing import Any

import trio
from mimosapoint.jobs import home_zone_of_job

from tools.site.recorder import Recorder
from tools.site.sample_jobs import bulletin, expected_parts, rebuild, thumbnail

__all__ = ["Callers"]

SUBMIT_INTERVAL_SECONDS = 0.25


class Callers:
    """Callers of a site, each of which submits one job and waits for its outcome.

    :param recorder: submits the jobs and records their outcomes.
    :param nursery: nursery that runs the callers.
    :param name: prefix of the idempotency keys.
    """

    def __init__(self, recorder: Recorder, nursery: trio.Nursery, name: str):
        self._recorder = recorder
        self._nursery = nursery
        self._name = name
        self._number = 0

    def submit(
        self, job: dict[str, Any], start_bound: float | None = None, home: str | None = None
    ) -> str:
        """Submit a job in the background and return its idempotency key.

        :param start_bound: seconds within which a job that claims a guarantee must start.
        :param home: home availability zone of the job; any zone by default.
        """
        key = self._next_key(job, home)
        expected = expected_parts(job)
        self._nursery.start_soon(self._recorder.run_job, job, key, expected, start_bound)
        return key

    def _next_key(self, job: dict[str, Any], home: str | None) -> str:
        """Return an unused key with which the job gets the given home zone."""
        while True:
            self._number += 1
            key = f"{self._name}-{self._number}"
            if home is None or home_zone_of_job(self._recorder.job_id(job, key)) == home:
                return key

    async def submit_until_cancelled(self) -> None:
        """Submit jobs of the three kinds of work until cancelled."""
        number = 0
        while True:
            number += 1
            self.submit(bulletin(number, repeatable=number % 3 != 0))
            self.submit(thumbnail(number))
            if number % 4 == 0:
                self.submit(rebuild(number))
            await trio.sleep(SUBMIT_INTERVAL_SECONDS)
