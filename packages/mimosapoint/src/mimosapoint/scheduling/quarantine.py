"""Quarantine of workers on which several jobs fail.

Failures of a job that fails wherever it runs do not count.
"""

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
"""Attempts on disjoint workers after which the job's failures no longer count against workers."""

FIRST_QUARANTINE = timedelta(minutes=1)
"""Duration of a worker's first quarantine; it doubles with each further one."""

MAX_QUARANTINE = timedelta(minutes=16)
"""Longest duration of a quarantine."""

MAX_QUARANTINED_SHARE = 0.1
"""Share of a zone's workers that may be in quarantine; one worker always may."""


@attrs.frozen
class _Failure:
    """Failure of an attempt, as counted against one of its workers.

    :param at: time at which it was recorded.
    :param job: id of the job.
    :param weight: share of the failure, which is divided evenly among the gang's workers.
    """

    at: datetime
    job: str
    weight: float


@attrs.define
class _WorkerHistory:
    """Recent failures and quarantines of a worker."""

    failures: deque[_Failure] = attrs.field(factory=deque)
    quarantines: int = 0
    quarantined_until: datetime | None = None

    @property
    def failure_weight(self) -> float:
        """Sum of the weights of its failures."""
        return sum(failure.weight for failure in self.failures)


class WorkerQuarantine:
    """Counts failed attempts by worker and by job, and chooses the quarantined workers."""

    def __init__(self) -> None:
        self._history_by_worker: dict[str, _WorkerHistory] = {}
        self._failures_by_job: dict[str, int] = {}
        self._attempts_by_job: dict[str, list[frozenset[str]]] = {}

    def sync(self, records: Iterable[JobRecord], now: datetime) -> None:
        """Count new failures of jobs that returned to the queue against their workers."""
        for record in records:
            if record.failures > self._failures_by_job.get(record.id, 0) and record.placement:
                self._failures_by_job[record.id] = record.failures
                self._record_failure(record, now)

    def record_job_end(self, record: JobRecord) -> None:
        """Clear failures of its workers if the job succeeded, or count its failure."""
        self._failures_by_job.pop(record.id, None)
        if record.placement is None or record.ended_at is None:
            return
        if isinstance(record.outcome, Succeeded):
            self._clear_after_success(record)
        elif isinstance(record.outcome, Failed):
            self._record_failure(record, record.ended_at)
        self._attempts_by_job.pop(record.id, None)

    def _clear_after_success(self, record: JobRecord) -> None:
        """Clear a worker's history unless a failure came after the start of the succeeded job.

        This also resets the duration of its next quarantine.
        """
        for worker in set(record.placement.workers):
            history = self._history_by_worker.get(worker)
            if history is None or record.started_at is None:
                continue
            if not history.failures or history.failures[-1].at <= record.started_at:
                del self._history_by_worker[worker]

    def _record_failure(self, record: JobRecord, now: datetime) -> None:
        """Count a failed attempt against its workers.

        It does not count once the job has failed in :data:`JOB_FAULT_ATTEMPTS` attempts on disjoint
        workers; its earlier failures are then removed.
        """
        workers = frozenset(record.placement.workers)
        attempts = self._attempts_by_job.setdefault(record.id, [])
        if not any(workers & attempt for attempt in attempts):
            attempts.append(workers)
        if len(attempts) >= JOB_FAULT_ATTEMPTS:
            self._remove_job_failures(record.id)
            return
        for worker in workers:
            failure = _Failure(now, record.id, 1 / len(workers))
            self._history_by_worker.setdefault(worker, _WorkerHistory()).failures.append(failure)

    def _remove_job_failures(self, job: str) -> None:
        for history in self._history_by_worker.values():
            history.failures = deque(f for f in history.failures if f.job != job)

    def quarantined(self, workers: Collection[str], now: datetime) -> frozenset[str]:
        """Return the quarantined workers; up to the limit, those with the highest failure weight.

        :param workers: ids of the zone's usable workers.
        """
        limit = max(1, int(MAX_QUARANTINED_SHARE * len(workers)))
        candidates = []
        for worker in self._history_by_worker.keys() & workers:
            history = self._history_by_worker[worker]
            self._update_quarantine(history, now)
            if history.quarantined_until is not None:
                candidates.append((-history.failure_weight, worker))
        return frozenset(worker for _, worker in sorted(candidates)[:limit])

    @staticmethod
    def _update_quarantine(history: _WorkerHistory, now: datetime) -> None:
        """Start or end a quarantine; after the first, a single failed job starts the next."""
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
