"""Waiting jobs by kind, so that one look at a kind's oldest job stands for them all."""

import heapq
from collections.abc import Iterable
from datetime import datetime

import attrs

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling.placement_search import GangDemand

__all__ = ["EquivalenceClass", "WaitingQueue", "class_rank"]

_CLASS_ORDER = (JobClass.URGENT, JobClass.NORMAL, JobClass.DEFERRABLE)


def class_rank(job_class: JobClass) -> int:
    """Return the place of a class in the order, urgent first."""
    return _CLASS_ORDER.index(job_class)


@attrs.frozen
class EquivalenceClass:
    """What jobs have in common that are placed alike.

    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: how soon they are wanted.
    :param need: room that each needs.
    :param interruptible: whether they may be stopped for others.
    """

    workspace: str
    service: str
    job_class: JobClass
    need: GangDemand
    interruptible: bool

    @property
    def rank(self) -> int:
        """Place of its class in the order, urgent first."""
        return class_rank(self.job_class)


class WaitingQueue:
    """Keeps the waiting jobs of each kind, oldest first."""

    def __init__(self) -> None:
        self.records_by_id: dict[str, JobRecord] = {}
        self._equivalence_class_by_id: dict[str, EquivalenceClass] = {}
        self._heaps: dict[EquivalenceClass, list[tuple[datetime, str]]] = {}
        self._equivalence_classes_by_key: dict[tuple, EquivalenceClass] = {}

    def sync(self, waiting: Iterable[JobRecord]) -> set[str]:
        """Take in the waiting jobs and return the ids of those that have come."""
        records = {record.id: record for record in waiting}
        for job in self._equivalence_class_by_id.keys() - records.keys():
            del self._equivalence_class_by_id[job]
        come = records.keys() - self._equivalence_class_by_id.keys()
        for job in come:
            self._add(records[job])
        self.records_by_id = records
        return come

    def _add(self, record: JobRecord) -> None:
        kind = self.equivalence_class_of(record)
        self._equivalence_class_by_id[record.id] = kind
        heapq.heappush(self._heaps.setdefault(kind, []), (record.submitted_at, record.id))

    def equivalence_class_of(self, record: JobRecord) -> EquivalenceClass:
        """Return the kind of a job; equal kinds are one object."""
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
        kind = self._equivalence_classes_by_key.get(key)
        if kind is None:
            kind = EquivalenceClass(*key[:3], GangDemand.of(request), request.interruptible)
            self._equivalence_classes_by_key[key] = kind
        return kind

    def equivalence_classes(self) -> list[EquivalenceClass]:
        """Return the kinds with waiting jobs."""
        for kind in [kind for kind in self._heaps if self.head(kind) is None]:
            del self._heaps[kind]
        return list(self._heaps)

    def head(self, kind: EquivalenceClass) -> JobRecord | None:
        """Return the oldest job of a kind."""
        heap = self._heaps.get(kind)
        while heap:
            job = heap[0][1]
            if self._equivalence_class_by_id.get(job) is kind:
                return self.records_by_id[job]
            heapq.heappop(heap)
        return None

    def oldest(self, kind: EquivalenceClass, count: int) -> list[JobRecord]:
        """Return a few jobs of a kind, oldest first."""
        heap = self._heaps.get(kind, ())
        jobs = {job for _, job in heap if self._equivalence_class_by_id.get(job) is kind}
        records = (self.records_by_id[job] for job in jobs)
        return heapq.nsmallest(count, records, key=lambda r: (r.submitted_at, r.id))

    def remove(self, job: str) -> None:
        """Take out a job that was decided on; it comes back when the next view has it."""
        kind = self._equivalence_class_by_id.pop(job, None)
        heap = self._heaps.get(kind) if kind is not None else None
        if heap and heap[0][1] == job:
            heapq.heappop(heap)
