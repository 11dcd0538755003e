"""Metrics of a run: completion times, fragmentation, kept and lost work, decision times."""

import statistics
from collections import Counter
from datetime import datetime

import attrs
from mimosapoint.model import Adjacency, Failed, JobClass, JobRecord, JobRequest, Succeeded
from mimosapoint.scheduling import Preemption, ZoneView

from benchmarks.decisions.workload import START

__all__ = ["Metrics", "Segment", "percentile"]

LARGE_GANG_ACCELERATORS = 16
"""Least number of accelerators of a large gang."""

MIN_MEASURED_ACCELERATORS = 4
"""Least number of accelerators of a gang that counts for fragmentation."""


@attrs.frozen
class Segment:
    """One period in which a gang ran.

    :param zone: id of the availability zone.
    :param begin: seconds from the start of the run.
    :param end: seconds from the start of the run.
    :param accelerators: accelerators in use.
    :param lost: accelerator-seconds of work discarded at its end.
    """

    zone: str
    begin: float
    end: float
    accelerators: int
    lost: float


def percentile(values: list[float], share: float) -> float:
    """Return the element at index ``share * len(values)`` of the sorted values; 0 if none.

    :param share: percentile as a fraction from 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _seconds(time: datetime) -> float:
    return (time - START).total_seconds()


def _usable(request: JobRequest, free_by_rack: dict[str, list]) -> int:
    """Return how many free accelerators gangs like that of the request could use."""
    counts = [
        [request.shape.fit_count(free) for free in workers] for workers in free_by_rack.values()
    ]
    if request.adjacency is Adjacency.WORKER:
        counts = [[count] for rack in counts for count in rack]
    elif request.adjacency is Adjacency.AVAILABILITY_ZONE:
        counts = [[count for rack in counts for count in rack]]
    gangs = sum(sum(rack) // request.gang for rack in counts)
    return gangs * request.gang * request.shape.accelerators


def _shapes(requests: list[JobRequest]) -> list[tuple[JobRequest, int]]:
    """Return one request for each gang shape, with the number of requests of that shape.

    Gangs below ``MIN_MEASURED_ACCELERATORS`` are left out.
    """
    counts: Counter[tuple] = Counter()
    found: dict[tuple, JobRequest] = {}
    for request in requests:
        if request.gang * request.shape.accelerators >= MIN_MEASURED_ACCELERATORS:
            key = (request.gang, request.shape, request.adjacency)
            counts[key] += 1
            found[key] = request
    return [(found[key], count) for key, count in counts.items()]


class Metrics:
    """Collector of the figures of one run.

    :param requests: all requests of the run; the mean demand of their gang shapes weights
        the fragmentation.
    """

    def __init__(self, requests: list[JobRequest]) -> None:
        self._demand = _shapes(requests)
        self.fragmented_total = 0.0
        self.free_total = 0.0
        self.completion_by_class: dict[JobClass, list[float]] = {c: [] for c in JobClass}
        self.urgent_waits: list[float] = []
        self.preemptor_waits: list[float] = []
        self.large_waits: list[float] = [0.0]
        self.first_start: dict[str, float] = {}
        self.segments: list[Segment] = []
        self.decision_seconds: list[float] = []
        self.free_with_backlog_total = 0.0
        self.unusable_total = 0.0
        self.capacity_total = 0.0
        self.with_deadline = 0
        self.deadlines_met = 0
        self.unfinished_jobs = 0
        self.never_fit = 0
        self.moves = 0
        self.reclaims = 0
        self.refused_assignments = 0
        self.failed: Counter[str] = Counter()
        self.failed_records: list[JobRecord] = []
        self._first_reclaim_at: dict[str, float] = {}

    def started(self, record: JobRecord, now: float) -> None:
        """Record the first start of a job."""
        self.first_start[record.id] = now
        waited = now - _seconds(record.submitted_at)
        if record.request.job_class is JobClass.URGENT:
            self.urgent_waits.append(waited)
        if record.request.gang * record.request.shape.accelerators >= LARGE_GANG_ACCELERATORS:
            self.large_waits.append(waited)
        if record.id in self._first_reclaim_at:
            self.preemptor_waits.append(now - self._first_reclaim_at.pop(record.id))

    def reclaimed(self, reclaim: Preemption, now: float) -> None:
        """Record a reclaim; the preemptor's wait counts from its first reclaim."""
        self.reclaims += 1
        self._first_reclaim_at.setdefault(reclaim.preemptor, now)

    def ended(self, record: JobRecord, now: float) -> None:
        """Record the end of a job."""
        if not isinstance(record.outcome, Succeeded):
            self.failed[type(record.outcome).__name__] += 1
            if isinstance(record.outcome, Failed):
                self.failed_records.append(record)
            return
        request = record.request
        self.completion_by_class[request.job_class].append(now - _seconds(record.submitted_at))
        if request.finish_by is not None:
            self.with_deadline += 1
            self.deadlines_met += now <= _seconds(request.finish_by)

    def unfinished(self, record: JobRecord, until: float) -> None:
        """Record a job that did not end or that failed, with its age as completion time."""
        self.unfinished_jobs += record.outcome is None
        request = record.request
        waited = until - _seconds(record.submitted_at)
        self.completion_by_class[request.job_class].append(waited)
        self.with_deadline += request.finish_by is not None
        if record.id in self.first_start:
            return
        if request.job_class is JobClass.URGENT:
            self.urgent_waits.append(waited)
        if request.gang * request.shape.accelerators >= LARGE_GANG_ACCELERATORS:
            self.large_waits.append(waited)

    def sample(self, view: ZoneView) -> None:
        """Record a sample of the fragmentation of a zone."""
        free_by_rack: dict[str, list] = {}
        for worker in view.workers_by_id.values():
            if worker.usable:
                free_by_rack.setdefault(worker.rack, []).append(worker.free)
        free = sum(unused.accelerators for rack in free_by_rack.values() for unused in rack)
        self.capacity_total += sum(w.capacity.accelerators for w in view.workers_by_id.values())
        if not free:
            return
        self.free_total += free
        self.fragmented_total += free - self._mean_usable(self._demand, free_by_rack)
        shapes = _shapes([record.request for record in view.waiting])
        if shapes:
            self.free_with_backlog_total += free
            self.unusable_total += free - self._mean_usable(shapes, free_by_rack)

    @staticmethod
    def _mean_usable(shapes: list[tuple[JobRequest, int]], free_by_rack: dict) -> float:
        weights = sum(weight for _, weight in shapes)
        return sum(_usable(shape, free_by_rack) * weight for shape, weight in shapes) / weights

    def work(self, begin: float, end: float, zones: set[str] | None = None) -> float:
        """Return the accelerator-seconds of work between two times, less the work lost.

        :param begin: seconds from the start of the run.
        :param end: seconds from the start of the run.
        :param zones: ids of the availability zones that count; all by default.
        """
        total = 0.0
        for segment in self.segments:
            if zones is not None and segment.zone not in zones:
                continue
            overlap = min(segment.end, end) - max(segment.begin, begin)
            if overlap > 0:
                total += overlap * segment.accelerators
            if begin < segment.end <= end:
                total -= segment.lost
        return total

    def figures(self) -> dict[str, float]:
        """Return the figures of the run by name."""
        found: dict[str, float] = {}
        for job_class, values in self.completion_by_class.items():
            for share in (50, 95, 99):
                found[f"{job_class.value} p{share} s"] = percentile(values, share / 100)
        found["urgent start p50 s"] = percentile(self.urgent_waits, 0.50)
        found["urgent start p99 s"] = percentile(self.urgent_waits, 0.99)
        found["claim start p99 s"] = percentile(self.preemptor_waits, 0.99)
        found["deadlines met %"] = 100 * self.deadlines_met / max(1, self.with_deadline)
        found["unusable of free %"] = (
            100 * self.unusable_total / max(1.0, self.free_with_backlog_total)
        )
        found["broken of free %"] = 100 * self.fragmented_total / max(1.0, self.free_total)
        found["broken of all %"] = 100 * self.fragmented_total / max(1.0, self.capacity_total)
        found["unusable of all %"] = 100 * self.unusable_total / max(1.0, self.capacity_total)
        found["large wait p95 s"] = percentile(self.large_waits, 0.95)
        found["longest large wait s"] = max(self.large_waits)
        found["lost work %"] = self._lost_share()
        found["reclaims"] = self.reclaims
        found["moves"] = self.moves
        found["refused jobs"] = self.failed["NotRun"]
        found["failed jobs"] = self.failed["Failed"]
        found["left over"] = self.unfinished_jobs
        found["decision mean ms"] = 1000 * statistics.fmean(self.decision_seconds or [0.0])
        return found

    def _lost_share(self) -> float:
        used = sum((s.end - s.begin) * s.accelerators for s in self.segments)
        return 100 * sum(s.lost for s in self.segments) / max(1.0, used)
