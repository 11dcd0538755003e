"""Guarantee allocations: the workers that each guaranteed gang can always claim."""

from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.configuration import Configuration, GuaranteeInstanceKey, allocate_guarantees
from mimosapoint.model import Adjacency
from mimosapoint.scheduling._vectors import ResourceVector, fits, subtract, to_vector
from mimosapoint.scheduling.placement_search import (
    GangDemand,
    best_fit,
    gang_resources,
    topology_domains,
)

__all__ = [
    "GuaranteeAllocation",
    "GuaranteeInstance",
    "find_allocation",
    "retain_fitting",
    "allocate",
    "deduct",
    "instances_in_zone",
]


@attrs.frozen
class GuaranteeInstance:
    """One guaranteed gang of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param index: index of the gang within the guarantee, from 0.
    :param demand: resources that are guaranteed.
    """

    workspace: str
    guarantee: str
    index: int
    demand: GangDemand

    @property
    def key(self) -> tuple[str, str, int]:
        """Key of the instance, which is the same in all versions of the configuration."""
        return (self.workspace, self.guarantee, self.index)


@attrs.frozen
class GuaranteeAllocation:
    """Workers on which a guarantee instance can be placed.

    :param guarantee_instance: the guarantee instance.
    :param resources_by_worker: resources allocated to it on each worker.
    """

    guarantee_instance: GuaranteeInstance
    resources_by_worker: dict[str, ResourceVector]


def _placement_difficulty(instance: GuaranteeInstance) -> tuple:
    demand = instance.demand
    breadth = (Adjacency.WORKER, Adjacency.RACK, Adjacency.AVAILABILITY_ZONE).index(
        demand.adjacency
    )
    size = [-demand.gang * amount for amount in demand.task_vector[::-1]]
    return (size[0], -demand.task_vector[3], breadth, size, instance.key)


def find_allocation(
    instance: GuaranteeInstance,
    available: Mapping[str, ResourceVector],
    rack_by_id: Mapping[str, str],
) -> GuaranteeAllocation | None:
    """Return the best-fitting allocation in the available resources, or ``None``."""
    domains = topology_domains(instance.demand.adjacency, available, rack_by_id)
    workers = best_fit(instance.demand, available, domains)
    return (
        None
        if workers is None
        else GuaranteeAllocation(instance, gang_resources(instance.demand, workers))
    )


def instances_in_zone(configuration: Configuration, zone: str) -> tuple[GuaranteeInstance, ...]:
    """Return the guarantee instances declared for a zone, those that are hardest to place first.

    The result depends on the configuration alone, so that all nodes compute the same.
    """
    found = [
        _instance(configuration, key)
        for key, allocation in allocate_guarantees(configuration).items()
        if allocation.zone == zone
    ]
    return tuple(sorted(found, key=_placement_difficulty))


def _instance(configuration: Configuration, key: GuaranteeInstanceKey) -> GuaranteeInstance:
    guarantees = configuration.workspaces_by_id[key.workspace].guarantees
    guarantee = next(found for found in guarantees if found.id == key.guarantee)
    demand = GangDemand(guarantee.gang, to_vector(guarantee.shape), guarantee.adjacency)
    return GuaranteeInstance(key.workspace, key.guarantee, key.instance, demand)


def allocate(
    instances: Iterable[GuaranteeInstance],
    available: dict[str, ResourceVector],
    rack_by_id: Mapping[str, str],
) -> dict[tuple[str, str, int], GuaranteeAllocation]:
    """Return an allocation for each instance that fits, and deduct them from ``available``."""
    found: dict[tuple[str, str, int], GuaranteeAllocation] = {}
    for instance in instances:
        allocation = find_allocation(instance, available, rack_by_id)
        if allocation is not None:
            found[instance.key] = allocation
            deduct(allocation, available)
    return found


def retain_fitting(
    allocations: Iterable[GuaranteeAllocation], available: dict[str, ResourceVector]
) -> dict[tuple[str, str, int], GuaranteeAllocation]:
    """Return the allocations that fit together, and deduct them from ``available``."""
    found: dict[tuple[str, str, int], GuaranteeAllocation] = {}
    for allocation in allocations:
        if all(
            w in available and fits(amount, available[w])
            for w, amount in allocation.resources_by_worker.items()
        ):
            found[allocation.guarantee_instance.key] = allocation
            deduct(allocation, available)
    return found


def deduct(allocation: GuaranteeAllocation, available: dict[str, ResourceVector]) -> None:
    """Deduct an allocation from the available resources."""
    for worker, amount in allocation.resources_by_worker.items():
        available[worker] = subtract(available[worker], amount)
