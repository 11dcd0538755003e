"""Run-time estimates from the history of ended jobs, as declared run times are inaccurate."""

from datetime import datetime

from mimosapoint.model import JobClass, JobRecord, JobRequest, Succeeded
from mimosapoint.run_times import OVERRUN_FACTOR, RunTimeSamples

__all__ = ["RunTimeEstimator"]

DECLARED_TIME_FACTOR = 3.0
"""Factor on the declared run time while there are too few samples."""

CONSERVATIVE_QUANTILE = 0.9
"""Quantile of the run times that a conservative estimate returns."""

_Key = tuple[str, str, JobClass]


class RunTimeEstimator:
    """Estimates run times from the latest ones of each service and job class."""

    def __init__(self) -> None:
        self._samples: RunTimeSamples[_Key] = RunTimeSamples()

    @staticmethod
    def _key(request: JobRequest) -> _Key:
        return (request.workspace, request.service, request.job_class)

    def observe(self, record: JobRecord) -> None:
        """Record the run time of a job that succeeded in its first attempt."""
        if not isinstance(record.outcome, Succeeded) or record.placement is None:
            return
        if record.placement.attempt > 1 or not record.started_at or not record.ended_at:
            return
        seconds = (record.ended_at - record.started_at).total_seconds()
        self._samples.add(self._key(record.request), seconds)

    def conservative_estimate(self, request: JobRequest) -> float:
        """Return the seconds within which such a job ends with high probability."""
        known = self._samples.quantile(self._key(request), CONSERVATIVE_QUANTILE)
        return request.run_time * DECLARED_TIME_FACTOR if known is None else known

    def estimate_remaining(self, record: JobRecord, now: datetime) -> float:
        """Return the seconds that a running job is expected to need still.

        With too few samples it follows from the declared run time.
        """
        started_at = record.started_at or now
        run = (now - started_at).total_seconds() + record.progress
        remaining = self._samples.remaining(self._key(record.request), run)
        if remaining is not None:
            return remaining
        return max(record.request.run_time * DECLARED_TIME_FACTOR - run, run * OVERRUN_FACTOR)
