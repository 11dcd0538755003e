"""Check for jobs that no zone could run even when empty, in view of the guarantees of others."""

from collections.abc import Iterator

import attrs

from mimosapoint.configuration import (
    Configuration,
    DeclaredAllocation,
    Zone,
    allocate_guarantees,
)
from mimosapoint.model import JobRequest
from mimosapoint.scheduling._vectors import ResourceVector, add, scale, subtract, to_vector
from mimosapoint.scheduling._waiting_queue import EquivalenceClass
from mimosapoint.scheduling.placement_search import first_fit, topology_domains

__all__ = ["FeasibilityCheck"]


@attrs.frozen
class _DeclaredAllocation:
    """Declared allocation of a guarantee instance.

    :param workspace: id of the workspace.
    :param vector: resources of each task.
    :param allocation: its zone and workers.
    """

    workspace: str
    vector: ResourceVector
    allocation: DeclaredAllocation


def _declared_allocations(configuration: Configuration) -> Iterator[_DeclaredAllocation]:
    for key, allocation in allocate_guarantees(configuration).items():
        guarantees = configuration.workspaces_by_id[key.workspace].guarantees
        shape = next(found.shape for found in guarantees if found.id == key.guarantee)
        yield _DeclaredAllocation(key.workspace, to_vector(shape), allocation)


class FeasibilityCheck:
    """Determines which zones could run a job when empty, for one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._declared = list(_declared_allocations(configuration))
        self._zones: dict[tuple[EquivalenceClass, tuple[str, ...]], frozenset[str]] = {}

    def feasible_zones(
        self, request: JobRequest, equivalence_class: EquivalenceClass
    ) -> frozenset[str]:
        """Return the allowed zones that could run the job, in or out of service."""
        key = (equivalence_class, request.zones)
        found = self._zones.get(key)
        if found is None:
            zones = self.configuration.allowed_zones(request)
            found = frozenset(zone for zone in zones if self._fits(equivalence_class, zone))
            self._zones[key] = found
        return found

    def _fits(self, equivalence_class: EquivalenceClass, zone_id: str) -> bool:
        zone = self.configuration.zones_by_id[zone_id]
        workspace = self.configuration.workspaces_by_id[equivalence_class.workspace]
        if not workspace.may_borrow:
            available = self._allocated_capacity(equivalence_class.workspace, zone_id)
        else:
            available = self._capacity(zone)
            if not equivalence_class.interruptible:
                self._deduct_others_allocations(equivalence_class.workspace, zone_id, available)
        rack_by_id = {worker: worker.split("/")[0] for worker in available}
        domains = topology_domains(equivalence_class.demand.adjacency, available, rack_by_id)
        return first_fit(equivalence_class.demand, available, domains) is not None

    @staticmethod
    def _capacity(zone: Zone) -> dict[str, ResourceVector]:
        capacity = zone.capacity
        return {
            f"{rack}/{worker}": to_vector(capacity.worker)
            for rack in range(capacity.racks)
            for worker in range(capacity.workers_per_rack)
        }

    def _deduct_others_allocations(
        self, workspace: str, zone: str, available: dict[str, ResourceVector]
    ) -> None:
        for declared in self._declared:
            if declared.allocation.zone == zone and declared.workspace != workspace:
                for rack, worker, count in declared.allocation.tasks:
                    name = f"{rack}/{worker}"
                    available[name] = subtract(available[name], scale(declared.vector, count))

    def _allocated_capacity(self, workspace: str, zone: str) -> dict[str, ResourceVector]:
        available: dict[str, ResourceVector] = {}
        for declared in self._declared:
            if declared.allocation.zone == zone and declared.workspace == workspace:
                for rack, worker, count in declared.allocation.tasks:
                    name = f"{rack}/{worker}"
                    available[name] = add(
                        available.get(name, (0, 0, 0, 0)), scale(declared.vector, count)
                    )
        return available
