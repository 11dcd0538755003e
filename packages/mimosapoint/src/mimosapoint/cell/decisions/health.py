"""Quarantine of workers on which runs of several jobs fail."""

from datetime import datetime, timedelta

import attrs

__all__ = ["WorkerHealth"]

QUARANTINE_JOBS = 2
"""Number of jobs that fail on a worker, without a success in between, before it is quarantined. A
single failing job may itself be faulty."""

QUARANTINE_MIN = timedelta(seconds=3)
"""First quarantine time. A worker on which everything fails is tried again this much later, which
costs one attempt of two jobs."""

QUARANTINE_MAX = timedelta(seconds=12)
"""Longest quarantine time before a worker gets work again."""


@attrs.define
class WorkerHealth:
    """Health of one worker, derived from the ends of its runs.

    :param failing_jobs: jobs whose runs failed on the worker since its last success; a quarantine
        keeps only the job that caused it.
    :param quarantined_until: time until which the worker gets no work; ``None`` if it was not
        quarantined since its last success.
    """

    failing_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: datetime | None = None
    _next_quarantine: timedelta = QUARANTINE_MIN

    @property
    def has_recent_failure(self) -> bool:
        """Whether a run has failed on the worker since its last success."""
        return bool(self.failing_jobs)

    def is_quarantined(self, now: datetime) -> bool:
        """Return whether the worker is quarantined."""
        return self.quarantined_until is not None and now < self.quarantined_until

    def record_success(self) -> None:
        """Record a successful run, which clears failures and quarantine."""
        self.failing_jobs.clear()
        self.quarantined_until = None
        self._next_quarantine = QUARANTINE_MIN

    def record_failure(self, job: str, now: datetime) -> bool:
        """Record a failed run; return whether it causes a quarantine.

        Each quarantine without a success in between is twice as long, up to :data:`QUARANTINE_MAX`.
        """
        self.failing_jobs.add(job)
        if len(self.failing_jobs) < QUARANTINE_JOBS or self.is_quarantined(now):
            return False
        self.quarantined_until = now + self._next_quarantine
        self._next_quarantine = min(2 * self._next_quarantine, QUARANTINE_MAX)
        self.failing_jobs = {job}
        return True
