"""Free capacity of availability zones, by rack and worker."""

from collections.abc import Iterator

import attrs

from mimosapoint.configuration.document import Capacity
from mimosapoint.model import Adjacency, Resources

__all__ = [
    "ResourceVector",
    "Demand",
    "DemandKey",
    "GangPlacement",
    "FreeCapacity",
    "resource_vector",
]

ResourceVector = tuple[int, int, int, int]
"""Slots, cores, memory in GiB and accelerators; a task requires at least one slot."""

DemandKey = tuple[str, str, int]
"""Workspace id, guarantee id and instance number."""


def resource_vector(resources: Resources) -> ResourceVector:
    """Return the amounts as a tuple."""
    return resources.slots, resources.cores, resources.memory_gib, resources.accelerators


def _fit_count(required: ResourceVector, available: ResourceVector) -> int:
    """Return how many times the required resources fit into the available ones."""
    times = available[0] // required[0]
    for available_amount, required_amount in (
        (available[1], required[1]),
        (available[2], required[2]),
        (available[3], required[3]),
    ):
        if required_amount and times:
            times = min(times, available_amount // required_amount)
    return times


def _subtract(available: ResourceVector, required: ResourceVector, times: int) -> ResourceVector:
    return (
        available[0] - required[0] * times,
        available[1] - required[1] * times,
        available[2] - required[2] * times,
        available[3] - required[3] * times,
    )


@attrs.frozen
class Demand:
    """A gang to be placed.

    :param key: guarantee instance of the gang.
    :param gang: number of tasks.
    :param shape: resources of each task.
    :param adjacency: kind of topology domain that must hold the whole gang.
    :param zones: availability zones that may hold it, in order of preference.
    """

    key: DemandKey
    gang: int
    shape: ResourceVector
    adjacency: Adjacency
    zones: tuple[str, ...]


@attrs.frozen
class GangPlacement:
    """Placement of a gang.

    :param zone: id of the availability zone.
    :param tasks: tuples of rack index, worker index within the rack and number of tasks.
    """

    zone: str
    tasks: tuple[tuple[int, int, int], ...]


class FreeCapacity:
    """Free capacity of the workers of an availability zone.

    :param zone: id of the availability zone.
    :param capacity: declared capacity of the zone.
    """

    def __init__(self, zone: str, capacity: Capacity):
        worker_capacity = resource_vector(capacity.worker)
        self.zone = zone
        self.worker_capacity = worker_capacity
        self.free = [[worker_capacity] * capacity.workers_per_rack for _ in range(capacity.racks)]
        self._slots = [worker_capacity[0] * capacity.workers_per_rack] * capacity.racks
        self._accelerators = [worker_capacity[3] * capacity.workers_per_rack] * capacity.racks
        self._next_rack_by_demand_class: dict[tuple[int, ResourceVector, Adjacency], int] = {}

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators not allocated to any gang."""
        return sum(self._accelerators)

    def find(self, demand: Demand) -> GangPlacement | None:
        """Return the first placement that fits the gang, or ``None``.

        A rack that is too full for a gang stays so until a placement is released, so the search
        resumes at the rack where the last search for an equal gang ended.
        """
        if demand.adjacency is Adjacency.AVAILABILITY_ZONE:
            return self._find_across_racks(demand)
        demand_class = (demand.gang, demand.shape, demand.adjacency)
        for rack in range(self._next_rack_by_demand_class.get(demand_class, 0), len(self.free)):
            placement = self.find_in_rack(demand, rack)
            if placement is not None:
                self._next_rack_by_demand_class[demand_class] = rack
                return placement
        self._next_rack_by_demand_class[demand_class] = len(self.free)
        return None

    def find_in_rack(self, demand: Demand, rack: int) -> GangPlacement | None:
        """Return a placement of the gang within one rack, or ``None``."""
        if not self._may_fit(demand.gang, demand.shape, rack):
            return None
        if demand.adjacency is Adjacency.WORKER:
            return self._find_on_one_worker(demand, rack)
        tasks = self._tasks_in_rack(demand, rack, demand.gang)
        if sum(count for _, _, count in tasks) < demand.gang:
            return None
        return GangPlacement(self.zone, tuple(tasks))

    def candidate_placements(self, demand: Demand) -> Iterator[GangPlacement]:
        """Yield a placement for each rack that fits the gang.

        Racks with the same free capacity as an earlier one are skipped. A gang that may span the
        availability zone gets at most one placement.
        """
        if demand.adjacency is Adjacency.AVAILABILITY_ZONE:
            across_racks = self._find_across_racks(demand)
            if across_racks is not None:
                yield across_racks
            return
        seen_states = set()
        for rack, workers in enumerate(self.free):
            free_by_worker = tuple(workers)
            if free_by_worker in seen_states:
                continue
            seen_states.add(free_by_worker)
            placement = self.find_in_rack(demand, rack)
            if placement is not None:
                yield placement

    def allocate(self, placement: GangPlacement, shape: ResourceVector) -> None:
        """Allocate the capacity of a placement."""
        for rack, worker, count in placement.tasks:
            self.free[rack][worker] = _subtract(self.free[rack][worker], shape, count)
            self._slots[rack] -= shape[0] * count
            self._accelerators[rack] -= shape[3] * count

    def release(self, placement: GangPlacement, shape: ResourceVector) -> None:
        """Release the capacity of a placement."""
        self._next_rack_by_demand_class.clear()
        for rack, worker, count in placement.tasks:
            self.free[rack][worker] = _subtract(self.free[rack][worker], shape, -count)
            self._slots[rack] += shape[0] * count
            self._accelerators[rack] += shape[3] * count

    def _may_fit(self, tasks: int, shape: ResourceVector, rack: int) -> bool:
        """Return whether a rack may fit the tasks, by its total slots and accelerators.

        The check is cheap and may report a fit where none exists, but never the opposite.
        """
        return (
            shape[0] * tasks <= self._slots[rack] and shape[3] * tasks <= self._accelerators[rack]
        )

    def _find_on_one_worker(self, demand: Demand, rack: int) -> GangPlacement | None:
        for worker, available in enumerate(self.free[rack]):
            if _fit_count(demand.shape, available) >= demand.gang:
                return GangPlacement(self.zone, ((rack, worker, demand.gang),))
        return None

    def _tasks_in_rack(
        self, demand: Demand, rack: int, remaining: int
    ) -> list[tuple[int, int, int]]:
        """Place up to ``remaining`` tasks in the rack, on partly used workers first."""
        tasks = []
        workers = self.free[rack]
        order = sorted(
            range(len(workers)), key=lambda index: workers[index] == self.worker_capacity
        )
        for worker in order:
            count = min(remaining, _fit_count(demand.shape, workers[worker]))
            if count:
                tasks.append((rack, worker, count))
                remaining -= count
            if remaining == 0:
                break
        return sorted(tasks)

    def _find_across_racks(self, demand: Demand) -> GangPlacement | None:
        """Return a placement that spans as many racks as needed, or ``None``."""
        tasks: list[tuple[int, int, int]] = []
        remaining = demand.gang
        for rack in range(len(self.free)):
            if not self._may_fit(1, demand.shape, rack):
                continue
            rack_tasks = self._tasks_in_rack(demand, rack, remaining)
            tasks.extend(rack_tasks)
            remaining -= sum(count for _, _, count in rack_tasks)
            if remaining == 0:
                return GangPlacement(self.zone, tuple(tasks))
        return None
