"""Whether a worker can be trusted with work, judged by how runs on it end."""

from datetime import datetime, timedelta

import attrs

__all__ = ["WorkerHealth"]

SUSPECT_JOBS = 2
"""Jobs that fail on a worker, with nothing done there in between, before it is put aside. One
failing job may itself be at fault."""

ASIDE_MIN = timedelta(seconds=3)
"""Time for which a worker is first put aside: half of the shortest such fault on the sites."""

ASIDE_MAX = timedelta(seconds=12)
"""Longest time for which a worker is put aside before it is tried again."""


@attrs.define
class WorkerHealth:
    """What the ends of runs say of one worker.

    :param failing_jobs: jobs that failed there since something was done there.
    :param aside_until: time up to which it gets no work; ``None`` when it was not put aside.
    """

    failing_jobs: set[str] = attrs.field(factory=set)
    aside_until: datetime | None = None
    _aside: timedelta = ASIDE_MIN

    @property
    def is_suspect(self) -> bool:
        """Whether the last end there was a failure."""
        return bool(self.failing_jobs)

    def is_aside(self, now: datetime) -> bool:
        """Tell whether the worker gets no work now."""
        return self.aside_until is not None and now < self.aside_until

    def note_done(self) -> None:
        """Note a run that was done: the worker is sound."""
        self.failing_jobs.clear()
        self.aside_until = None
        self._aside = ASIDE_MIN

    def note_failed(self, job: str, now: datetime) -> bool:
        """Note a failed run and tell whether the worker is put aside for it."""
        self.failing_jobs.add(job)
        if len(self.failing_jobs) < SUSPECT_JOBS or self.is_aside(now):
            return False
        self.aside_until = now + self._aside
        self._aside = min(2 * self._aside, ASIDE_MAX)
        self.failing_jobs = {job}
        return True
