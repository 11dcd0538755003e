"""Run times learned from jobs that ended, since declared ones are far from the truth."""

from bisect import bisect_right
from collections import deque
from datetime import datetime

from mimosapoint.model import JobClass, JobRecord, JobRequest, Succeeded

__all__ = ["RunTimeEstimator"]

MAX_SAMPLES = 64
"""Run times remembered for each service and class."""

MIN_SAMPLES = 5
"""Run times from which learned ones replace declared ones."""

DECLARED_TIME_FACTOR = 3.0
"""Factor on a declared run time while too little is known."""

CONSERVATIVE_QUANTILE = 0.9
"""Share of run times that a cautious prediction covers."""

OVERRUN_FACTOR = 0.5
"""Part of the time run so far that is expected to remain of a job that beats all known ones."""

_Key = tuple[str, str, JobClass]


class RunTimeEstimator:
    """Remembers the last run times of each service and class."""

    def __init__(self) -> None:
        self._recent: dict[_Key, deque[float]] = {}
        self._ordered: dict[_Key, list[float]] = {}

    @staticmethod
    def _key(request: JobRequest) -> _Key:
        return (request.workspace, request.service, request.job_class)

    def observe(self, record: JobRecord) -> None:
        """Learn from a job that succeeded in its first attempt."""
        if not isinstance(record.outcome, Succeeded) or record.placement is None:
            return
        if record.placement.attempt > 1 or not record.started_at or not record.ended_at:
            return
        key = self._key(record.request)
        recent = self._recent.setdefault(key, deque(maxlen=MAX_SAMPLES))
        recent.append((record.ended_at - record.started_at).total_seconds())
        self._ordered[key] = sorted(recent)

    def conservative_estimate(self, request: JobRequest) -> float:
        """Return seconds within which such a job will most likely end."""
        known = self._ordered.get(self._key(request), ())
        if len(known) < MIN_SAMPLES:
            return request.run_time * DECLARED_TIME_FACTOR
        return known[min(len(known) - 1, int(CONSERVATIVE_QUANTILE * len(known)))]

    def estimate_remaining(self, record: JobRecord, now: datetime) -> float:
        """Return the seconds that a running job is expected to need still."""
        started_at = record.started_at or now
        run = (now - started_at).total_seconds() + record.progress
        known = self._ordered.get(self._key(record.request), ())
        if len(known) < MIN_SAMPLES:
            return max(record.request.run_time * DECLARED_TIME_FACTOR - run, run * OVERRUN_FACTOR)
        longer = bisect_right(known, run)
        if longer == len(known):
            return run * OVERRUN_FACTOR
        return known[(longer + len(known)) // 2] - run
