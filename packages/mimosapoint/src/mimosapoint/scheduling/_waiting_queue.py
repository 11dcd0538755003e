"""Waiting jobs by equivalence class; if the oldest of a class does not fit, none does."""

import heapq
from collections.abc import Iterable
from datetime import datetime

import attrs

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling.placement_search import GangDemand

__all__ = ["EquivalenceClass", "WaitingQueue", "class_rank"]

_CLASS_ORDER = (JobClass.URGENT, JobClass.NORMAL, JobClass.DEFERRABLE)


def class_rank(job_class: JobClass) -> int:
    """Return the rank of a job class; 0 is urgent."""
    return _CLASS_ORDER.index(job_class)


@attrs.frozen
class EquivalenceClass:
    """Properties shared by waiting jobs that are interchangeable for placement.

    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: class that orders the jobs.
    :param demand: resources that each job needs.
    :param interruptible: whether they may be preempted.
    """

    workspace: str
    service: str
    job_class: JobClass
    demand: GangDemand
    interruptible: bool

    @property
    def rank(self) -> int:
        """Rank of the job class; 0 is urgent."""
        return class_rank(self.job_class)


class WaitingQueue:
    """Waiting jobs of each equivalence class, oldest first."""

    def __init__(self) -> None:
        self.records_by_id: dict[str, JobRecord] = {}
        self._equivalence_class_by_id: dict[str, EquivalenceClass] = {}
        self._heaps: dict[EquivalenceClass, list[tuple[datetime, str]]] = {}
        self._equivalence_classes_by_key: dict[tuple, EquivalenceClass] = {}

    def sync(self, waiting: Iterable[JobRecord]) -> set[str]:
        """Replace the waiting jobs, and return the ids of the new ones."""
        records = {record.id: record for record in waiting}
        for job in self._equivalence_class_by_id.keys() - records.keys():
            del self._equivalence_class_by_id[job]
        arrived = records.keys() - self._equivalence_class_by_id.keys()
        for job in arrived:
            self._add(records[job])
        self.records_by_id = records
        return arrived

    def _add(self, record: JobRecord) -> None:
        equivalence_class = self.equivalence_class_of(record)
        self._equivalence_class_by_id[record.id] = equivalence_class
        heapq.heappush(
            self._heaps.setdefault(equivalence_class, []), (record.submitted_at, record.id)
        )

    def equivalence_class_of(self, record: JobRecord) -> EquivalenceClass:
        """Return the equivalence class of a job; equal classes are the same object."""
        request = record.request
        key = (
            request.workspace,
            request.service,
            request.job_class,
            request.gang,
            request.shape,
            request.adjacency,
            request.interruptible,
        )
        equivalence_class = self._equivalence_classes_by_key.get(key)
        if equivalence_class is None:
            equivalence_class = EquivalenceClass(
                *key[:3], GangDemand.of(request), request.interruptible
            )
            self._equivalence_classes_by_key[key] = equivalence_class
        return equivalence_class

    def equivalence_classes(self) -> list[EquivalenceClass]:
        """Return the equivalence classes with waiting jobs."""
        for equivalence_class in [
            equivalence_class
            for equivalence_class in self._heaps
            if self.head(equivalence_class) is None
        ]:
            del self._heaps[equivalence_class]
        return list(self._heaps)

    def head(self, equivalence_class: EquivalenceClass) -> JobRecord | None:
        """Return the oldest job of an equivalence class, or ``None``."""
        heap = self._heaps.get(equivalence_class)
        while heap:
            job = heap[0][1]
            if self._equivalence_class_by_id.get(job) is equivalence_class:
                return self.records_by_id[job]
            heapq.heappop(heap)
        return None

    def oldest(self, equivalence_class: EquivalenceClass, count: int) -> list[JobRecord]:
        """Return at most ``count`` jobs of an equivalence class, oldest first."""
        heap = self._heaps.get(equivalence_class, ())
        jobs = {
            job for _, job in heap if self._equivalence_class_by_id.get(job) is equivalence_class
        }
        records = (self.records_by_id[job] for job in jobs)
        return heapq.nsmallest(count, records, key=lambda r: (r.submitted_at, r.id))

    def remove(self, job: str) -> None:
        """Remove a job that was decided on; the next view adds it again if it still waits."""
        equivalence_class = self._equivalence_class_by_id.pop(job, None)
        heap = self._heaps.get(equivalence_class) if equivalence_class is not None else None
        if heap and heap[0][1] == job:
            heapq.heappop(heap)
