"""Workers that fail what they start, told apart from jobs that fail wherever they run."""

from collections import deque
from collections.abc import Collection, Iterable
from datetime import datetime, timedelta

import attrs

from mimosapoint.model import Failed, JobRecord, Succeeded

__all__ = ["WorkerQuarantine"]

FAILURE_WINDOW = timedelta(minutes=10)
"""Time for which a failure counts against a worker."""

FAILED_JOBS_THRESHOLD = 3
"""Different jobs that must fail on a worker before it is quarantined."""

JOB_FAULT_ATTEMPTS = 3
"""Workers in separate attempts after which failures are the job's own."""

FIRST_QUARANTINE = timedelta(minutes=1)
"""Length of a worker's first quarantine; it doubles with each further one."""

MAX_QUARANTINE = timedelta(minutes=16)
"""Longest quarantine."""

MAX_QUARANTINED_SHARE = 0.1
"""Share of a zone's workers that may be in quarantine; one worker always may."""


@attrs.frozen
class _Failure:
    """A failed attempt as one of its workers sees it.

    :param at: time at which it was noted.
    :param job: id of the job.
    :param weight: share of the blame, which the gang's workers divide among them.
    """

    at: datetime
    job: str
    weight: float


@attrs.define
class _WorkerHistory:
    """What is known of one worker."""

    failures: deque[_Failure] = attrs.field(factory=deque)
    quarantines: int = 0
    quarantined_until: datetime | None = None

    @property
    def blame(self) -> float:
        """Sum of the blame for its failures."""
        return sum(failure.weight for failure in self.failures)


class WorkerQuarantine:
    """Counts failures by worker and by job."""

    def __init__(self) -> None:
        self._by_worker: dict[str, _WorkerHistory] = {}
        self._failures_of: dict[str, int] = {}
        self._attempts_of: dict[str, list[frozenset[str]]] = {}

    def sync(self, records: Iterable[JobRecord], now: datetime) -> None:
        """Take in jobs that came back to the queue; failed attempts count against their workers."""
        for record in records:
            if record.failures > self._failures_of.get(record.id, 0) and record.placement:
                self._failures_of[record.id] = record.failures
                self._blame(record, now)

    def ended(self, record: JobRecord) -> None:
        """Take in a job that ended."""
        self._failures_of.pop(record.id, None)
        if record.placement is None or record.ended_at is None:
            return
        if isinstance(record.outcome, Succeeded):
            self._clear_after_success(record)
        elif isinstance(record.outcome, Failed):
            self._blame(record, record.ended_at)
        self._attempts_of.pop(record.id, None)

    def _clear_after_success(self, record: JobRecord) -> None:
        """Forget failures that came before the start of a job that succeeded."""
        for worker in set(record.placement.workers):
            history = self._by_worker.get(worker)
            if history is None or record.started_at is None:
                continue
            if not history.failures or history.failures[-1].at <= record.started_at:
                del self._by_worker[worker]

    def _blame(self, record: JobRecord, now: datetime) -> None:
        """Count a failed attempt against its workers unless the job fails wherever it runs."""
        workers = frozenset(record.placement.workers)
        attempts = self._attempts_of.setdefault(record.id, [])
        if not any(workers & known for known in attempts):
            attempts.append(workers)
        if len(attempts) >= JOB_FAULT_ATTEMPTS:
            self._forget_job_failures(record.id)
            return
        for worker in workers:
            failure = _Failure(now, record.id, 1 / len(workers))
            self._by_worker.setdefault(worker, _WorkerHistory()).failures.append(failure)

    def _forget_job_failures(self, job: str) -> None:
        for history in self._by_worker.values():
            history.failures = deque(f for f in history.failures if f.job != job)

    def quarantined(self, workers: Collection[str], now: datetime) -> frozenset[str]:
        """Return the workers that get no work now, those with most blame first.

        :param workers: ids of the zone's usable workers.
        """
        limit = max(1, int(MAX_QUARANTINED_SHARE * len(workers)))
        held = []
        for worker in self._by_worker.keys() & workers:
            history = self._by_worker[worker]
            self._update_quarantine(history, now)
            if history.quarantined_until is not None:
                held.append((-history.blame, worker))
        return frozenset(worker for _, worker in sorted(held)[:limit])

    @staticmethod
    def _update_quarantine(history: _WorkerHistory, now: datetime) -> None:
        """Begin or end a quarantine; after one, a single failed job begins the next."""
        if history.quarantined_until is not None and now >= history.quarantined_until:
            history.quarantined_until = None
            history.failures.clear()
        while history.failures and now - history.failures[0].at > FAILURE_WINDOW:
            history.failures.popleft()
        needed = 1 if history.quarantines else FAILED_JOBS_THRESHOLD
        if (
            history.quarantined_until is None
            and len({failure.job for failure in history.failures}) >= needed
        ):
            length = min(FIRST_QUARANTINE * 2**history.quarantines, MAX_QUARANTINE)
            history.quarantined_until = now + length
            history.quarantines += 1
