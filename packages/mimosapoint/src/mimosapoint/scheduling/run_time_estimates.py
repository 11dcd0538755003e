"""Run-time estimates from the history of ended jobs, as declared run times are inaccurate."""

from bisect import bisect_right
from collections import deque
from datetime import datetime

from mimosapoint.model import JobClass, JobRecord, JobRequest, Succeeded

__all__ = ["RunTimeEstimator"]

MAX_SAMPLES = 64
"""Run times kept for each service and job class."""

MIN_SAMPLES = 5
"""Run times needed before estimates replace the declared run time."""

DECLARED_TIME_FACTOR = 3.0
"""Factor on the declared run time while there are too few samples."""

CONSERVATIVE_QUANTILE = 0.9
"""Quantile of the run times that a conservative estimate returns."""

OVERRUN_FACTOR = 0.5
"""Expected remaining share of the time run so far, for a job longer than all samples."""

_Key = tuple[str, str, JobClass]


class RunTimeEstimator:
    """Estimates run times from the latest ones of each service and job class."""

    def __init__(self) -> None:
        self._recent: dict[_Key, deque[float]] = {}
        self._ordered: dict[_Key, list[float]] = {}

    @staticmethod
    def _key(request: JobRequest) -> _Key:
        return (request.workspace, request.service, request.job_class)

    def observe(self, record: JobRecord) -> None:
        """Record the run time of a job that succeeded in its first attempt."""
        if not isinstance(record.outcome, Succeeded) or record.placement is None:
            return
        if record.placement.attempt > 1 or not record.started_at or not record.ended_at:
            return
        key = self._key(record.request)
        recent = self._recent.setdefault(key, deque(maxlen=MAX_SAMPLES))
        recent.append((record.ended_at - record.started_at).total_seconds())
        self._ordered[key] = sorted(recent)

    def conservative_estimate(self, request: JobRequest) -> float:
        """Return the seconds within which such a job ends with high probability."""
        known = self._ordered.get(self._key(request), ())
        if len(known) < MIN_SAMPLES:
            return request.run_time * DECLARED_TIME_FACTOR
        return known[min(len(known) - 1, int(CONSERVATIVE_QUANTILE * len(known)))]

    def estimate_remaining(self, record: JobRecord, now: datetime) -> float:
        """Return the seconds that a running job is expected to need still.

        With enough samples it is the median of those longer than the run so far, less the run so
        far; if none is longer, it is :data:`OVERRUN_FACTOR` of the run so far. With too few samples
        it follows from the declared run time.
        """
        started_at = record.started_at or now
        run = (now - started_at).total_seconds() + record.progress
        known = self._ordered.get(self._key(record.request), ())
        if len(known) < MIN_SAMPLES:
            return max(record.request.run_time * DECLARED_TIME_FACTOR - run, run * OVERRUN_FACTOR)
        longer = bisect_right(known, run)
        if longer == len(known):
            return run * OVERRUN_FACTOR
        return known[(longer + len(known)) // 2] - run
