"""Homes of guaranteed shapes: which workers each guaranteed gang can always claim."""

from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.configuration import Configuration, GuaranteeInstanceKey
from mimosapoint.configuration import allocate_guarantees as declared_homes
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
    """One gang of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param index: number of the gang within the guarantee, from 0.
    :param need: room that it guarantees.
    """

    workspace: str
    guarantee: str
    index: int
    need: GangDemand

    @property
    def key(self) -> tuple[str, str, int]:
        """Name of the unit that outlives versions of the configuration."""
        return (self.workspace, self.guarantee, self.index)


@attrs.frozen
class GuaranteeAllocation:
    """Workers that hold a unit.

    :param guarantee_instance: the guaranteed gang.
    :param resources_by_worker: resources kept for it on each worker.
    """

    guarantee_instance: GuaranteeInstance
    resources_by_worker: dict[str, ResourceVector]


def _placement_difficulty(unit: GuaranteeInstance) -> tuple:
    need = unit.need
    widest = (Adjacency.WORKER, Adjacency.RACK, Adjacency.AVAILABILITY_ZONE).index(need.adjacency)
    size = [-need.gang * amount for amount in need.task_vector[::-1]]
    return (size[0], -need.task_vector[3], widest, size, unit.key)


def find_allocation(
    unit: GuaranteeInstance, room: Mapping[str, ResourceVector], rack_by_id: Mapping[str, str]
) -> GuaranteeAllocation | None:
    """Return the tightest home in the room, or ``None``."""
    parts = topology_domains(unit.need.adjacency, room, rack_by_id)
    workers = best_fit(unit.need, room, parts)
    return (
        None if workers is None else GuaranteeAllocation(unit, gang_resources(unit.need, workers))
    )


def instances_in_zone(configuration: Configuration, zone: str) -> tuple[GuaranteeInstance, ...]:
    """Return the units that an availability zone holds, those that are hardest to place first.

    Every node works out the same ones, since they depend on the configuration alone.
    """
    found = [
        _instance(configuration, key)
        for key, home in declared_homes(configuration).items()
        if home.zone == zone
    ]
    return tuple(sorted(found, key=_placement_difficulty))


def _instance(configuration: Configuration, key: GuaranteeInstanceKey) -> GuaranteeInstance:
    guarantees = configuration.workspaces_by_id[key.workspace].guarantees
    guarantee = next(found for found in guarantees if found.id == key.guarantee)
    need = GangDemand(guarantee.gang, to_vector(guarantee.shape), guarantee.adjacency)
    return GuaranteeInstance(key.workspace, key.guarantee, key.instance, need)


def allocate(
    units: Iterable[GuaranteeInstance],
    room: dict[str, ResourceVector],
    rack_by_id: Mapping[str, str],
) -> dict[tuple[str, str, int], GuaranteeAllocation]:
    """Return a home for each unit that fits; the room is used up."""
    found: dict[tuple[str, str, int], GuaranteeAllocation] = {}
    for unit in units:
        home = find_allocation(unit, room, rack_by_id)
        if home is not None:
            found[unit.key] = home
            deduct(home, room)
    return found


def retain_fitting(
    homes: Iterable[GuaranteeAllocation], room: dict[str, ResourceVector]
) -> dict[tuple[str, str, int], GuaranteeAllocation]:
    """Return those homes that fit into the room together; the room is used up."""
    found: dict[tuple[str, str, int], GuaranteeAllocation] = {}
    for home in homes:
        if all(
            w in room and fits(amount, room[w]) for w, amount in home.resources_by_worker.items()
        ):
            found[home.guarantee_instance.key] = home
            deduct(home, room)
    return found


def deduct(home: GuaranteeAllocation, room: dict[str, ResourceVector]) -> None:
    """Take a home's amounts out of the room."""
    for worker, amount in home.resources_by_worker.items():
        room[worker] = subtract(room[worker], amount)
