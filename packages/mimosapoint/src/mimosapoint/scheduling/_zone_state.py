"""Capacity and running jobs of an availability zone, tracked between decisions."""

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
    """A job that holds resources of workers.

    :param record: record of the job.
    :param resources_by_worker: resources that it holds on each worker.
    :param checkpointed_at: time at which its last checkpoint was seen, or of its start.
    """

    record: JobRecord
    resources_by_worker: dict[str, ResourceVector]
    checkpointed_at: datetime | None

    @property
    def stopping(self) -> bool:
        """Whether the job is being stopped, so that its resources will be free soon."""
        return self.record.state is JobState.STOPPING

    @property
    def claims_guarantee(self) -> bool:
        """Whether the job claims a guarantee of its workspace."""
        return self.record.placement.guarantee is not None

    @property
    def non_preemptible(self) -> bool:
        """Whether the job may not be preempted."""
        return self.claims_guarantee or not self.record.request.interruptible

    def lost_work(self, now: datetime) -> float:
        """Return the accelerator-seconds that a stop without a checkpoint would lose.

        A task without accelerators counts as 0.1 accelerators.
        """
        request = self.record.request
        since = (now - self.checkpointed_at).total_seconds() if self.checkpointed_at else 0.0
        return since * request.gang * max(request.shape.accelerators, 0.1)


class ZoneState:
    """Capacity and running jobs of an availability zone, updated by differences between views.

    ``free`` is what no live task holds, ``available`` is ``free`` minus capacity holds, and
    ``unreserved`` is ``available`` minus reservations.
    """

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
        self._jobs_by_worker: dict[str, set[str]] = {}
        self._provisional: list[tuple[str, dict[str, ResourceVector]]] = []
        self._configuration = None
        self._non_preemptible_ended = False

    def sync(self, view: ZoneView, quarantined: Collection[str] = ()) -> None:
        """Update the state from the view.

        Quarantined workers are treated as unusable, though their jobs run on. Afterwards
        ``capacity_increased`` is true if a worker has more free resources than expected or
        the guarantee allocations were computed anew. ``allocations_rebuilt`` is true in the latter
        case, which clears all holds and reservations.

        :param quarantined: ids of workers that get no new tasks.
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
        previous, self._configuration = self._configuration, view.configuration
        return previous is not view.configuration and previous != view.configuration

    def _undo_provisional(self) -> None:
        for workspace, resources_by_worker in self._provisional:
            self.guarantees.remove_non_preemptible(workspace, resources_by_worker)
        self._provisional.clear()

    def _sync_running(self, view: ZoneView) -> None:
        running = view.running_by_id
        for job in self.running_jobs_by_id.keys() - running.keys():
            self._drop(self.running_jobs_by_id[job])
        for job, record in running.items():
            running_job = self.running_jobs_by_id.get(job)
            if running_job is None:
                self._add(record)
            elif running_job.record is not record:
                self._update(running_job, record, view.now)

    def _update(self, running_job: RunningJob, record: JobRecord, now: datetime) -> None:
        if running_job.record.placement != record.placement:
            self._drop(running_job)
            self._add(record)
            return
        if record.progress != running_job.record.progress:
            running_job.checkpointed_at = now
        elif running_job.checkpointed_at is None:
            running_job.checkpointed_at = record.started_at
        self._set_record(running_job, record)

    def _set_record(self, running_job: RunningJob, record: JobRecord) -> None:
        self._update_totals(running_job, subtract)
        running_job.record = record
        self._update_totals(running_job, add)

    def _update_totals(self, running_job: RunningJob, combine) -> None:
        """Add a job to, or subtract it from, the releasing or the preemptible resources.

        Urgent jobs count as neither until they are being stopped.
        """
        if running_job.stopping:
            self._accumulate(self._releasing, running_job.resources_by_worker, combine)
        elif (
            not running_job.non_preemptible
            and running_job.record.request.job_class is not JobClass.URGENT
        ):
            self._accumulate(self._preemptible, running_job.resources_by_worker, combine)

    def mark_stopping(self, running_job: RunningJob) -> None:
        """Treat a job as being stopped until the next view, which has the owner's record."""
        self._set_record(running_job, attrs.evolve(running_job.record, state=JobState.STOPPING))

    def _add(self, record: JobRecord) -> None:
        demand = GangDemand.of(record.request)
        running_job = RunningJob(
            record, gang_resources(demand, record.placement.workers), record.started_at
        )
        self.running_jobs_by_id[record.id] = running_job
        for worker in running_job.resources_by_worker:
            self._jobs_by_worker.setdefault(worker, set()).add(record.id)
        self._update_totals(running_job, add)
        if running_job.non_preemptible:
            self.guarantees.add_non_preemptible(
                record.request.workspace, running_job.resources_by_worker
            )

    def _drop(self, running_job: RunningJob) -> None:
        job = running_job.record.id
        del self.running_jobs_by_id[job]
        for worker in running_job.resources_by_worker:
            self._jobs_by_worker[worker].discard(job)
        self._update_totals(running_job, subtract)
        if running_job.non_preemptible:
            self.guarantees.remove_non_preemptible(
                running_job.record.request.workspace, running_job.resources_by_worker
            )
            self._non_preemptible_ended = True

    @staticmethod
    def _accumulate(
        totals: dict[str, ResourceVector], delta: dict[str, ResourceVector], combine
    ) -> None:
        for worker, amount in delta.items():
            totals[worker] = combine(totals.get(worker, ZERO), amount)

    def _rebuild_allocations(self, view: ZoneView, workers: dict[str, str]) -> None:
        self.rack_by_id = dict(sorted(workers.items()))
        capacity = {id: to_vector(view.workers_by_id[id].capacity) for id in self.rack_by_id}
        instances = instances_in_zone(view.configuration, view.zone)
        self.guarantees.reallocate(
            instances, capacity, self.rack_by_id, self._non_preemptible_work()
        )
        self._held.clear()
        self._reserved.clear()
        self._domains.clear()
        self.allocations_rebuilt = True

    def _non_preemptible_work(self) -> Iterator[NonPreemptibleWork]:
        for running_job in self.running_jobs_by_id.values():
            if running_job.non_preemptible:
                record = running_job.record
                yield (
                    record.request.workspace,
                    record.placement.guarantee,
                    running_job.resources_by_worker,
                )

    def _sync_free(self, view: ZoneView) -> None:
        expected_free = self.free
        self.free = {id: to_vector(view.workers_by_id[id].free) for id in self.rack_by_id}
        self.capacity_increased = self.allocations_rebuilt or any(
            free != expected_free.get(id) and not fits(free, expected_free.get(id, ZERO))
            for id, free in self.free.items()
        )
        self.available = dict(self.free)
        for worker, held in self._held.items():
            self.available[worker] = subtract(self.available[worker], held)
        self.unreserved = dict(self.available)
        for worker, reserved in self._reserved.items():
            self.unreserved[worker] = subtract(self.unreserved[worker], reserved)

    def domains(self, adjacency: Adjacency) -> list[list[str]]:
        """Return the topology domains of the zone, each of which may hold a gang."""
        found = self._domains.get(adjacency)
        if found is None:
            found = self._domains[adjacency] = topology_domains(
                adjacency, self.rack_by_id, self.rack_by_id
            )
        return found

    def deduct_placement(
        self, workspace: str, resources_by_worker: dict[str, ResourceVector], non_preemptible: bool
    ) -> None:
        """Deduct an assignment until the next view, which shows whether the owner made it."""
        self._accumulate(self.free, resources_by_worker, subtract)
        self._accumulate(self.available, resources_by_worker, subtract)
        self._accumulate(self.unreserved, resources_by_worker, subtract)
        if non_preemptible:
            self.guarantees.add_non_preemptible(workspace, resources_by_worker)
            self._provisional.append((workspace, resources_by_worker))

    def hold_capacity(
        self, workspace: str, resources_by_worker: dict[str, ResourceVector], non_preemptible: bool
    ) -> None:
        """Hold capacity for a preemptor that will be placed soon."""
        self._accumulate(self._held, resources_by_worker, add)
        self._accumulate(self.available, resources_by_worker, subtract)
        self._accumulate(self.unreserved, resources_by_worker, subtract)
        if non_preemptible:
            self.guarantees.add_non_preemptible(workspace, resources_by_worker)

    def release(
        self, workspace: str, resources_by_worker: dict[str, ResourceVector], non_preemptible: bool
    ) -> None:
        """Undo :meth:`hold_capacity`."""
        self._accumulate(self._held, resources_by_worker, subtract)
        self._accumulate(self.available, resources_by_worker, add)
        self._accumulate(self.unreserved, resources_by_worker, add)
        if non_preemptible:
            self.guarantees.remove_non_preemptible(workspace, resources_by_worker)

    def reserve(self, resources_by_worker: dict[str, ResourceVector]) -> None:
        """Withhold capacity from borrowers that may not use reserved capacity."""
        self._accumulate(self._reserved, resources_by_worker, add)
        self._accumulate(self.unreserved, resources_by_worker, subtract)

    def unreserve(self, resources_by_worker: dict[str, ResourceVector]) -> None:
        """Undo :meth:`reserve`."""
        self._accumulate(self._reserved, resources_by_worker, subtract)
        self._accumulate(self.unreserved, resources_by_worker, add)

    def future_available(self, worker: str) -> ResourceVector:
        """Return the available resources, with those of jobs that are being stopped."""
        return add(self.available[worker], self._releasing.get(worker, ZERO))

    def available_after_preemption(self, worker: str) -> ResourceVector:
        """Return the resources that urgent work may get.

        They are the future available resources and those of borrowers that are not urgent.
        """
        return add(self.future_available(worker), self._preemptible.get(worker, ZERO))

    def jobs_on(self, worker: str) -> list[RunningJob]:
        """Return the jobs that hold resources on a worker."""
        return [self.running_jobs_by_id[job] for job in self._jobs_by_worker.get(worker, ())]

    def victims_on(self, worker: str) -> list[RunningJob]:
        """Return the jobs on a worker that may be preempted and are not being stopped."""
        return [
            running_job
            for running_job in self.jobs_on(worker)
            if not running_job.non_preemptible and not running_job.stopping
        ]
