"""What a policy knows of its availability zone between decisions."""

from collections.abc import Collection, Iterator
from datetime import datetime

import attrs

from mimosapoint.model import Adjacency, JobClass, JobRecord, JobState
from mimosapoint.scheduling._guarantee_allocator import GuaranteeAllocator, NonPreemptibleWork
from mimosapoint.scheduling._vectors import ZERO, ResourceVector, add, fits, subtract, to_vector
from mimosapoint.scheduling.guarantee_allocations import instances_in_zone
from mimosapoint.scheduling.placement_search import GangDemand, gang_resources, topology_domains
from mimosapoint.scheduling.view import ZoneView

__all__ = ["RunningJob", "ZoneState"]


@attrs.define
class RunningJob:
    """A job that holds workers.

    :param record: its record.
    :param resources_by_worker: what it holds on each worker.
    :param checkpointed_at: time of its last checkpoint, or of its start.
    """

    record: JobRecord
    resources_by_worker: dict[str, ResourceVector]
    checkpointed_at: datetime | None

    @property
    def stopping(self) -> bool:
        """Whether its room will be free soon."""
        return self.record.state is JobState.STOPPING

    @property
    def claims_guarantee(self) -> bool:
        """Whether it runs on a guarantee of its workspace."""
        return self.record.placement.guarantee is not None

    @property
    def non_preemptible(self) -> bool:
        """Whether it can't be stopped for others."""
        return self.claims_guarantee or not self.record.request.interruptible

    def lost_work(self, now: datetime) -> float:
        """Return the accelerator-seconds that a stop without a checkpoint would lose."""
        request = self.record.request
        since = (now - self.checkpointed_at).total_seconds() if self.checkpointed_at else 0.0
        return since * request.gang * max(request.shape.accelerators, 0.1)


class ZoneState:
    """Room and running jobs of an availability zone, kept up to date by differences."""

    def __init__(self) -> None:
        self.guarantees = GuaranteeAllocator()
        self.rack_by_id: dict[str, str] = {}
        self.free: dict[str, ResourceVector] = {}
        self.running_jobs_by_id: dict[str, RunningJob] = {}
        self.capacity_increased = True
        self.allocations_rebuilt = False
        self.available: dict[str, ResourceVector] = {}
        self.unreserved: dict[str, ResourceVector] = {}
        self._reserved: dict[str, ResourceVector] = {}
        self._domains: dict[Adjacency, list[list[str]]] = {}
        self._preemptible: dict[str, ResourceVector] = {}
        self._held: dict[str, ResourceVector] = {}
        self._releasing: dict[str, ResourceVector] = {}
        self._jobs_on: dict[str, set[str]] = {}
        self._provisional: list[tuple[str, dict[str, ResourceVector]]] = []
        self._configuration = None
        self._non_preemptible_ended = False

    def sync(self, view: ZoneView, quarantined: Collection[str] = ()) -> None:
        """Take in the view; avoided workers count as lost, though their jobs run on.

        Afterwards ``capacity_increased`` tells whether room has come, and ``allocations_rebuilt`` whether homes were
        found anew, which forgets all held room.
        """
        self.allocations_rebuilt = False
        self._undo_provisional()
        self._sync_running(view)
        usable = (w for w in view.workers_by_id.values() if w.usable and w.id not in quarantined)
        workers = {worker.id: worker.rack for worker in usable}
        changed = self._new_configuration(view) or workers != self.rack_by_id
        if changed or (self._non_preemptible_ended and not self.guarantees.complete):
            self._rebuild_allocations(view, workers)
        self._non_preemptible_ended = False
        self._sync_free(view)

    def _new_configuration(self, view: ZoneView) -> bool:
        known, self._configuration = self._configuration, view.configuration
        return known is not view.configuration and known != view.configuration

    def _undo_provisional(self) -> None:
        for workspace, taken in self._provisional:
            self.guarantees.remove_non_preemptible(workspace, taken)
        self._provisional.clear()

    def _sync_running(self, view: ZoneView) -> None:
        running = view.running_by_id
        for job in self.running_jobs_by_id.keys() - running.keys():
            self._drop(self.running_jobs_by_id[job])
        for job, record in running.items():
            entry = self.running_jobs_by_id.get(job)
            if entry is None:
                self._add(record)
            elif entry.record is not record:
                self._update(entry, record, view.now)

    def _update(self, entry: RunningJob, record: JobRecord, now: datetime) -> None:
        if entry.record.placement != record.placement:
            self._drop(entry)
            self._add(record)
            return
        if record.progress != entry.record.progress:
            entry.checkpointed_at = now
        elif entry.checkpointed_at is None:
            entry.checkpointed_at = record.started_at
        self._set_record(entry, record)

    def _set_record(self, entry: RunningJob, record: JobRecord) -> None:
        self._update_totals(entry, subtract)
        entry.record = record
        self._update_totals(entry, add)

    def _update_totals(self, entry: RunningJob, combine) -> None:
        """Count a job among those being stopped, or among those that may be."""
        if entry.stopping:
            self._accumulate(self._releasing, entry.resources_by_worker, combine)
        elif not entry.non_preemptible and entry.record.request.job_class is not JobClass.URGENT:
            self._accumulate(self._preemptible, entry.resources_by_worker, combine)

    def mark_stopping(self, entry: RunningJob) -> None:
        """Count a job as being stopped until the next view tells otherwise."""
        self._set_record(entry, attrs.evolve(entry.record, state=JobState.STOPPING))

    def _add(self, record: JobRecord) -> None:
        need = GangDemand.of(record.request)
        entry = RunningJob(
            record, gang_resources(need, record.placement.workers), record.started_at
        )
        self.running_jobs_by_id[record.id] = entry
        for worker in entry.resources_by_worker:
            self._jobs_on.setdefault(worker, set()).add(record.id)
        self._update_totals(entry, add)
        if entry.non_preemptible:
            self.guarantees.add_non_preemptible(record.request.workspace, entry.resources_by_worker)

    def _drop(self, entry: RunningJob) -> None:
        job = entry.record.id
        del self.running_jobs_by_id[job]
        for worker in entry.resources_by_worker:
            self._jobs_on[worker].discard(job)
        self._update_totals(entry, subtract)
        if entry.non_preemptible:
            self.guarantees.remove_non_preemptible(
                entry.record.request.workspace, entry.resources_by_worker
            )
            self._non_preemptible_ended = True

    @staticmethod
    def _accumulate(
        table: dict[str, ResourceVector], delta: dict[str, ResourceVector], combine
    ) -> None:
        for worker, amount in delta.items():
            table[worker] = combine(table.get(worker, ZERO), amount)

    def _rebuild_allocations(self, view: ZoneView, workers: dict[str, str]) -> None:
        self.rack_by_id = dict(sorted(workers.items()))
        capacity = {id: to_vector(view.workers_by_id[id].capacity) for id in self.rack_by_id}
        units = instances_in_zone(view.configuration, view.zone)
        self.guarantees.reallocate(units, capacity, self.rack_by_id, self._non_preemptible_work())
        self._held.clear()
        self._reserved.clear()
        self._domains.clear()
        self.allocations_rebuilt = True

    def _non_preemptible_work(self) -> Iterator[NonPreemptibleWork]:
        for entry in self.running_jobs_by_id.values():
            if entry.non_preemptible:
                record = entry.record
                yield record.request.workspace, record.placement.guarantee, entry.resources_by_worker

    def _sync_free(self, view: ZoneView) -> None:
        expected = self.free
        self.free = {id: to_vector(view.workers_by_id[id].free) for id in self.rack_by_id}
        self.capacity_increased = self.allocations_rebuilt or any(
            free != expected.get(id) and not fits(free, expected.get(id, ZERO))
            for id, free in self.free.items()
        )
        self.available = dict(self.free)
        for worker, held in self._held.items():
            self.available[worker] = subtract(self.available[worker], held)
        self.unreserved = dict(self.available)
        for worker, reserved in self._reserved.items():
            self.unreserved[worker] = subtract(self.unreserved[worker], reserved)

    def domains(self, adjacency: Adjacency) -> list[list[str]]:
        """Return the parts of the zone that may hold a gang."""
        found = self._domains.get(adjacency)
        if found is None:
            found = self._domains[adjacency] = topology_domains(
                adjacency, self.rack_by_id, self.rack_by_id
            )
        return found

    def deduct_placement(
        self, workspace: str, taken: dict[str, ResourceVector], firm: bool
    ) -> None:
        """Take free room for a job; the next view tells whether the owner did."""
        self._accumulate(self.free, taken, subtract)
        self._accumulate(self.available, taken, subtract)
        self._accumulate(self.unreserved, taken, subtract)
        if firm:
            self.guarantees.add_non_preemptible(workspace, taken)
            self._provisional.append((workspace, taken))

    def hold(self, workspace: str, taken: dict[str, ResourceVector], firm: bool) -> None:
        """Keep room for a job that will be placed soon."""
        self._accumulate(self._held, taken, add)
        self._accumulate(self.available, taken, subtract)
        self._accumulate(self.unreserved, taken, subtract)
        if firm:
            self.guarantees.add_non_preemptible(workspace, taken)

    def release(self, workspace: str, taken: dict[str, ResourceVector], firm: bool) -> None:
        """Undo :meth:`hold`."""
        self._accumulate(self._held, taken, subtract)
        self._accumulate(self.available, taken, add)
        self._accumulate(self.unreserved, taken, add)
        if firm:
            self.guarantees.remove_non_preemptible(workspace, taken)

    def reserve(self, taken: dict[str, ResourceVector]) -> None:
        """Keep room from ordinary borrowers."""
        self._accumulate(self._reserved, taken, add)
        self._accumulate(self.unreserved, taken, subtract)

    def unreserve(self, taken: dict[str, ResourceVector]) -> None:
        """Undo :meth:`reserve`."""
        self._accumulate(self._reserved, taken, subtract)
        self._accumulate(self.unreserved, taken, add)

    def future_available(self, worker: str) -> ResourceVector:
        """Return what is open now or as soon as the jobs being stopped are gone."""
        return add(self.available[worker], self._releasing.get(worker, ZERO))

    def available_after_preemption(self, worker: str) -> ResourceVector:
        """Return what urgent work may have: coming room and that of less urgent borrowers."""
        return add(self.future_available(worker), self._preemptible.get(worker, ZERO))

    def jobs_on(self, worker: str) -> list[RunningJob]:
        """Return the jobs that hold room on a worker."""
        return [self.running_jobs_by_id[job] for job in self._jobs_on.get(worker, ())]

    def victims_on(self, worker: str) -> list[RunningJob]:
        """Return the jobs on a worker that may be stopped for others."""
        return [e for e in self.jobs_on(worker) if not e.non_preemptible and not e.stopping]
