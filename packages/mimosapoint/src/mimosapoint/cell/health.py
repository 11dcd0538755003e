"""Whether a worker can be trusted with work, judged by how runs on it end."""

from datetime import datetime, timedelta

import attrs

__all__ = ["WorkerHealth"]

QUARANTINE_JOBS = 2
"""Jobs that fail on a worker, with nothing done there in between, before it is put aside. One
failing job may itself be at fault."""

QUARANTINE_MIN = timedelta(seconds=3)
"""Time for which a worker is first put aside: half of the shortest such fault on the sites."""

QUARANTINE_MAX = timedelta(seconds=12)
"""Longest time for which a worker is put aside before it is tried again."""


@attrs.define
class WorkerHealth:
    """What the ends of runs say of one worker.

    :param failing_jobs: jobs that failed there since something was done there.
    :param quarantined_until: time up to which it gets no work; ``None`` when it was not put aside.
    """

    failing_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: datetime | None = None
    _quarantine: timedelta = QUARANTINE_MIN

    @property
    def has_recent_failure(self) -> bool:
        """Whether the last end there was a failure."""
        return bool(self.failing_jobs)

    def is_quarantined(self, now: datetime) -> bool:
        """Tell whether the worker gets no work now."""
        return self.quarantined_until is not None and now < self.quarantined_until

    def record_success(self) -> None:
        """Note a run that was done: the worker is sound."""
        self.failing_jobs.clear()
        self.quarantined_until = None
        self._quarantine = QUARANTINE_MIN

    def record_failure(self, job: str, now: datetime) -> bool:
        """Note a failed run and tell whether the worker is put aside for it."""
        self.failing_jobs.add(job)
        if len(self.failing_jobs) < QUARANTINE_JOBS or self.is_quarantined(now):
            return False
        self.quarantined_until = now + self._quarantine
        self._quarantine = min(2 * self._quarantine, QUARANTINE_MAX)
        self.failing_jobs = {job}
        return True
