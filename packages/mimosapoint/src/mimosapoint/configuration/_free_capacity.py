"""Free room of availability zones, by rack and worker."""

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
"""Slots, cores, memory and accelerators; a need has at least one slot."""

DemandKey = tuple[str, str, int]
"""Workspace, guarantee and number of the instance."""


def resource_vector(resources: Resources) -> ResourceVector:
    """Return the amounts as a plain tuple."""
    return resources.slots, resources.cores, resources.memory_gib, resources.accelerators


def _fit_count(need: ResourceVector, room: ResourceVector) -> int:
    """Return how many times the need fits into the room."""
    times = room[0] // need[0]
    for have, want in ((room[1], need[1]), (room[2], need[2]), (room[3], need[3])):
        if want and times:
            times = min(times, have // want)
    return times


def _minus(room: ResourceVector, need: ResourceVector, times: int) -> ResourceVector:
    return (
        room[0] - need[0] * times,
        room[1] - need[1] * times,
        room[2] - need[2] * times,
        room[3] - need[3] * times,
    )


@attrs.frozen
class Demand:
    """A gang to be placed.

    :param key: what the gang is known by.
    :param gang: number of tasks.
    :param shape: resources of each task.
    :param adjacency: smallest part of the platform that holds the gang.
    :param zones: availability zones that may hold it, in order of preference.
    """

    key: DemandKey
    gang: int
    shape: ResourceVector
    adjacency: Adjacency
    zones: tuple[str, ...]


@attrs.frozen
class GangPlacement:
    """Where a gang is held.

    :param zone: the availability zone.
    :param tasks: number of tasks by rack index and worker index.
    """

    zone: str
    tasks: tuple[tuple[int, int, int], ...]


class FreeCapacity:
    """Free room of an availability zone's workers.

    :param zone: id of the availability zone.
    :param capacity: its declared capacity.
    """

    def __init__(self, zone: str, capacity: Capacity):
        whole = resource_vector(capacity.worker)
        self.zone = zone
        self.worker_capacity = whole
        self.free = [[whole] * capacity.workers_per_rack for _ in range(capacity.racks)]
        self._slots = [whole[0] * capacity.workers_per_rack] * capacity.racks
        self._accelerators = [whole[3] * capacity.workers_per_rack] * capacity.racks
        self._first_by_demand: dict[tuple[int, ResourceVector, Adjacency], int] = {}

    @property
    def free_accelerators(self) -> int:
        """Accelerators that no gang holds."""
        return sum(self._accelerators)

    def find(self, demand: Demand) -> GangPlacement | None:
        """Return the first place that holds the gang, ``None`` when there is none.

        Room that was too small for a gang stays too small while gangs are only added, so the
        search goes on where the last one for the same kind of gang ended.
        """
        if demand.adjacency is Adjacency.AVAILABILITY_ZONE:
            return self._spread(demand)
        kind = (demand.gang, demand.shape, demand.adjacency)
        for rack in range(self._first_by_demand.get(kind, 0), len(self.free)):
            place = self.find_in_rack(demand, rack)
            if place is not None:
                self._first_by_demand[kind] = rack
                return place
        self._first_by_demand[kind] = len(self.free)
        return None

    def find_in_rack(self, demand: Demand, rack: int) -> GangPlacement | None:
        """Return a place for the gang within one rack."""
        if not self._may_hold(demand.gang, demand.shape, rack):
            return None
        if demand.adjacency is Adjacency.WORKER:
            return self._on_one_worker(demand, rack)
        tasks = self._fill(demand, rack, demand.gang)
        if sum(count for _, _, count in tasks) < demand.gang:
            return None
        return GangPlacement(self.zone, tuple(tasks))

    def candidate_placements(self, demand: Demand) -> Iterator[GangPlacement]:
        """Yield a place in each rack that holds the gang, alike racks only once."""
        if demand.adjacency is Adjacency.AVAILABILITY_ZONE:
            spread = self._spread(demand)
            if spread is not None:
                yield spread
            return
        seen = set()
        for rack, workers in enumerate(self.free):
            state = tuple(workers)
            if state in seen:
                continue
            seen.add(state)
            place = self.find_in_rack(demand, rack)
            if place is not None:
                yield place

    def allocate(self, place: GangPlacement, shape: ResourceVector) -> None:
        """Occupy a place."""
        for rack, worker, count in place.tasks:
            self.free[rack][worker] = _minus(self.free[rack][worker], shape, count)
            self._slots[rack] -= shape[0] * count
            self._accelerators[rack] -= shape[3] * count

    def release(self, place: GangPlacement, shape: ResourceVector) -> None:
        """Free a place."""
        self._first_by_demand.clear()
        for rack, worker, count in place.tasks:
            self.free[rack][worker] = _minus(self.free[rack][worker], shape, -count)
            self._slots[rack] += shape[0] * count
            self._accelerators[rack] += shape[3] * count

    def _may_hold(self, tasks: int, shape: ResourceVector, rack: int) -> bool:
        """Tell quickly whether a rack may have room; only a refusal is certain."""
        return (
            shape[0] * tasks <= self._slots[rack] and shape[3] * tasks <= self._accelerators[rack]
        )

    def _on_one_worker(self, demand: Demand, rack: int) -> GangPlacement | None:
        for worker, room in enumerate(self.free[rack]):
            if _fit_count(demand.shape, room) >= demand.gang:
                return GangPlacement(self.zone, ((rack, worker, demand.gang),))
        return None

    def _fill(self, demand: Demand, rack: int, wanted: int) -> list[tuple[int, int, int]]:
        """Return up to ``wanted`` tasks in the rack, broken workers first."""
        tasks = []
        workers = self.free[rack]
        order = sorted(
            range(len(workers)), key=lambda index: workers[index] == self.worker_capacity
        )
        for worker in order:
            count = min(wanted, _fit_count(demand.shape, workers[worker]))
            if count:
                tasks.append((rack, worker, count))
                wanted -= count
            if wanted == 0:
                break
        return sorted(tasks)

    def _spread(self, demand: Demand) -> GangPlacement | None:
        """Return a place over as many racks as it takes."""
        tasks: list[tuple[int, int, int]] = []
        wanted = demand.gang
        for rack in range(len(self.free)):
            if not self._may_hold(1, demand.shape, rack):
                continue
            found = self._fill(demand, rack, wanted)
            tasks.extend(found)
            wanted -= sum(count for _, _, count in found)
            if wanted == 0:
                return GangPlacement(self.zone, tuple(tasks))
        return None
