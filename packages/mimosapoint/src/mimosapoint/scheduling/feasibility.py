"""Jobs that no availability zone can ever run beside the guarantees of others."""

from collections.abc import Iterator

import attrs

from mimosapoint.configuration import Configuration, DeclaredAllocation, Zone
from mimosapoint.configuration import allocate_guarantees as declared_homes
from mimosapoint.model import JobRequest
from mimosapoint.scheduling._vectors import ResourceVector, add, scale, subtract, to_vector
from mimosapoint.scheduling._waiting_queue import EquivalenceClass
from mimosapoint.scheduling.placement_search import first_fit, topology_domains

__all__ = ["FeasibilityCheck"]


@attrs.frozen
class _DeclaredAllocation:
    """Declared home of a guarantee.

    :param workspace: id of the workspace.
    :param vector: resources of each task.
    :param home: where it is.
    """

    workspace: str
    vector: ResourceVector
    home: DeclaredAllocation


def _declared_allocations(configuration: Configuration) -> Iterator[_DeclaredAllocation]:
    for key, home in declared_homes(configuration).items():
        guarantees = configuration.workspaces_by_id[key.workspace].guarantees
        shape = next(found.shape for found in guarantees if found.id == key.guarantee)
        yield _DeclaredAllocation(key.workspace, to_vector(shape), home)


class FeasibilityCheck:
    """Tells which zones could run a job when empty; answers hold for one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._declared = list(_declared_allocations(configuration))
        self._zones: dict[tuple[EquivalenceClass, tuple[str, ...]], frozenset[str]] = {}

    def feasible_zones(self, request: JobRequest, kind: EquivalenceClass) -> frozenset[str]:
        """Return the allowed zones that could run the job, whatever their mode."""
        key = (kind, request.zones)
        found = self._zones.get(key)
        if found is None:
            zones = self.configuration.allowed_zones(request)
            found = frozenset(zone for zone in zones if self._fits(kind, zone))
            self._zones[key] = found
        return found

    def _fits(self, kind: EquivalenceClass, zone_id: str) -> bool:
        zone = self.configuration.zones_by_id[zone_id]
        workspace = self.configuration.workspaces_by_id[kind.workspace]
        if not workspace.may_borrow:
            room = self._allocated_capacity(kind.workspace, zone_id)
        else:
            room = self._capacity(zone)
            if not kind.interruptible:
                self._deduct_others_allocations(kind.workspace, zone_id, room)
        rack_by_id = {worker: worker.split("/")[0] for worker in room}
        parts = topology_domains(kind.need.adjacency, room, rack_by_id)
        return first_fit(kind.need, room, parts) is not None

    @staticmethod
    def _capacity(zone: Zone) -> dict[str, ResourceVector]:
        capacity = zone.capacity
        return {
            f"{rack}/{worker}": to_vector(capacity.worker)
            for rack in range(capacity.racks)
            for worker in range(capacity.workers_per_rack)
        }

    def _deduct_others_allocations(
        self, workspace: str, zone: str, room: dict[str, ResourceVector]
    ) -> None:
        for held in self._declared:
            if held.home.zone == zone and held.workspace != workspace:
                for rack, worker, count in held.home.tasks:
                    name = f"{rack}/{worker}"
                    room[name] = subtract(room[name], scale(held.vector, count))

    def _allocated_capacity(self, workspace: str, zone: str) -> dict[str, ResourceVector]:
        room: dict[str, ResourceVector] = {}
        for held in self._declared:
            if held.home.zone == zone and held.workspace == workspace:
                for rack, worker, count in held.home.tasks:
                    name = f"{rack}/{worker}"
                    room[name] = add(room.get(name, (0, 0, 0, 0)), scale(held.vector, count))
        return room
