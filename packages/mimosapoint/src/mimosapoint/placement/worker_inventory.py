"""Workers of one availability zone and the resources allocated to gangs on them."""

import attrs

from mimosapoint.model import JobRecord, Resources, Vm, VmState
from mimosapoint.scheduling import WorkerView

__all__ = ["WorkerInventory"]


@attrs.define
class _WorkerEntry:
    """A worker and its free resources."""

    vm: Vm
    view: WorkerView
    reachable: bool = False


class WorkerInventory:
    """Capacity and allocations of the workers, as this owner accounts for them.

    Allocations of a job count once, whether they are made before or after the worker and its
    capacity become known.
    """

    def __init__(self) -> None:
        self._entries_by_id: dict[str, _WorkerEntry] = {}
        self._allocations_by_job: dict[str, tuple[tuple[str, ...], Resources]] = {}

    def update_vm(self, vm: Vm) -> None:
        """Add a worker, or update it from its entry in the platform's VM list."""
        entry = self._entries_by_id.get(vm.id)
        if entry is None:
            view = WorkerView(vm.id, vm.rack, Resources(0, 0, 0, 0), Resources(0, 0, 0, 0), False)
            entry = self._entries_by_id[vm.id] = _WorkerEntry(vm, view)
            self._subtract_allocations(entry)
        entry.vm = vm
        entry.view.rack = vm.rack
        self._update_usable(entry)

    def _subtract_allocations(self, entry: _WorkerEntry) -> None:
        for workers, shape in self._allocations_by_job.values():
            for _ in range(workers.count(entry.vm.id)):
                entry.view.free -= shape

    def remove_vm(self, worker: str) -> None:
        """Remove a worker that is no longer in the platform's VM list."""
        self._entries_by_id.pop(worker, None)

    def mark_leaving(self, worker: str) -> None:
        """Mark a worker as leaving, so that it gets no new tasks."""
        entry = self._entries_by_id.get(worker)
        if entry is not None:
            entry.vm = attrs.evolve(entry.vm, state=VmState.LEAVING)
            self._update_usable(entry)

    def has_allocation(self, worker: str) -> bool:
        """Return whether a gang has resources allocated on the worker."""
        return any(worker in workers for workers, _ in self._allocations_by_job.values())

    def update_capacity(self, worker: str, capacity: Resources) -> None:
        """Mark a worker as reachable and set its capacity."""
        entry = self._entries_by_id.get(worker)
        if entry is None:
            return
        if entry.view.capacity != capacity:
            entry.view.free = entry.view.free + capacity - entry.view.capacity
            entry.view.capacity = capacity
        entry.reachable = True
        self._update_usable(entry)

    def mark_unreachable(self, worker: str) -> None:
        """Mark a worker as unreachable, so that it gets no new tasks."""
        entry = self._entries_by_id.get(worker)
        if entry is not None:
            entry.reachable = False
            self._update_usable(entry)

    def _update_usable(self, entry: _WorkerEntry) -> None:
        entry.view.usable = entry.reachable and entry.vm.state is VmState.LIVE

    def allocate(self, record: JobRecord) -> None:
        """Allocate the resources of a placed gang."""
        if record.id in self._allocations_by_job or record.placement is None:
            return
        self._allocations_by_job[record.id] = (record.placement.workers, record.request.shape)
        for worker in record.placement.workers:
            entry = self._entries_by_id.get(worker)
            if entry is not None:
                entry.view.free -= record.request.shape

    def release(self, job_id: str) -> None:
        """Release the resources of a gang."""
        workers, shape = self._allocations_by_job.pop(job_id, ((), Resources()))
        for worker in workers:
            entry = self._entries_by_id.get(worker)
            if entry is not None:
                entry.view.free += shape

    def can_allocate(self, workers: tuple[str, ...], shape: Resources) -> bool:
        """Return whether all workers are usable and have the resources for a gang free.

        :param workers: worker of each task.
        :param shape: resources of one task.
        """
        for worker in set(workers):
            entry = self._entries_by_id.get(worker)
            if entry is None or not entry.view.usable:
                return False
            if shape.fit_count(entry.view.free) < workers.count(worker):
                return False
        return True

    def address(self, worker: str) -> str | None:
        """Return the worker's address, or ``None`` if the worker is unknown."""
        entry = self._entries_by_id.get(worker)
        return entry.vm.address if entry else None

    def is_leaving(self, worker: str) -> bool:
        """Return whether the worker is leaving or is no longer listed."""
        entry = self._entries_by_id.get(worker)
        return entry is None or entry.vm.state is not VmState.LIVE

    def is_usable(self, worker: str) -> bool:
        """Return whether the worker is reachable and not leaving."""
        entry = self._entries_by_id.get(worker)
        return entry is not None and entry.view.usable

    def views_by_id(self) -> dict[str, WorkerView]:
        """Return the scheduling policy's view of every worker, by id."""
        return {worker: entry.view for worker, entry in self._entries_by_id.items()}

    def total_free(self) -> Resources:
        """Return the sum of the free resources on usable workers."""
        total = Resources(0, 0, 0, 0)
        for entry in self._entries_by_id.values():
            if entry.view.usable:
                total += entry.view.free
        return total
