"""Workers that fail what they start, told apart from jobs that fail wherever they run."""

from collections import deque
from collections.abc import Collection, Iterable
from datetime import datetime, timedelta

import attrs

from mimosapoint.model import Failed, JobRecord, Succeeded

__all__ = ["Suspects"]

WINDOW = timedelta(minutes=10)
"""Time for which a failure counts against a worker."""

JOBS_FAILED = 3
"""Different jobs that must fail on a worker before it is quarantined."""

JOB_SUSPECT_WORKERS = 3
"""Workers in separate attempts after which failures are the job's own."""

FIRST_QUARANTINE = timedelta(minutes=1)
"""Length of a worker's first quarantine; it doubles with each further one."""

LONGEST_QUARANTINE = timedelta(minutes=16)
"""Longest quarantine."""

QUARANTINED_SHARE = 0.1
"""Share of a zone's workers that may be in quarantine; one worker always may."""


@attrs.define
class _History:
    """What is known of one worker."""

    failures: deque[tuple[datetime, str]] = attrs.field(factory=deque)
    quarantines: int = 0
    until: datetime | None = None


class Suspects:
    """Counts failures by worker and by job."""

    def __init__(self) -> None:
        self._by_worker: dict[str, _History] = {}
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
            self._credit(record)
        elif isinstance(record.outcome, Failed):
            self._blame(record, record.ended_at)
        self._attempts_of.pop(record.id, None)

    def _credit(self, record: JobRecord) -> None:
        """Forget failures that came before the start of a job that succeeded."""
        for worker in set(record.placement.workers):
            history = self._by_worker.get(worker)
            if history is None or record.started_at is None:
                continue
            if not history.failures or history.failures[-1][0] <= record.started_at:
                del self._by_worker[worker]

    def _blame(self, record: JobRecord, now: datetime) -> None:
        """Count a failed attempt against its workers unless the job fails wherever it runs."""
        workers = frozenset(record.placement.workers)
        attempts = self._attempts_of.setdefault(record.id, [])
        if not any(workers & known for known in attempts):
            attempts.append(workers)
        if len(attempts) >= JOB_SUSPECT_WORKERS:
            self._clear(record.id)
            return
        for worker in workers:
            self._by_worker.setdefault(worker, _History()).failures.append((now, record.id))

    def _clear(self, job: str) -> None:
        for history in self._by_worker.values():
            history.failures = deque(f for f in history.failures if f[1] != job)

    def quarantined(self, workers: Collection[str], now: datetime) -> frozenset[str]:
        """Return the workers that get no work now, those that failed most jobs first.

        :param workers: ids of the zone's usable workers.
        """
        limit = max(1, int(QUARANTINED_SHARE * len(workers)))
        held = []
        for worker in self._by_worker.keys() & workers:
            history = self._by_worker[worker]
            self._review(history, now)
            if history.until is not None:
                held.append((-history.quarantines, worker))
        return frozenset(worker for _, worker in sorted(held)[:limit])

    @staticmethod
    def _review(history: _History, now: datetime) -> None:
        """Begin or end a quarantine; after one, a single failed job begins the next."""
        if history.until is not None and now >= history.until:
            history.until = None
            history.failures.clear()
        while history.failures and now - history.failures[0][0] > WINDOW:
            history.failures.popleft()
        needed = 1 if history.quarantines else JOBS_FAILED
        if history.until is None and len({job for _, job in history.failures}) >= needed:
            length = min(FIRST_QUARANTINE * 2**history.quarantines, LONGEST_QUARANTINE)
            history.until = now + length
            history.quarantines += 1
