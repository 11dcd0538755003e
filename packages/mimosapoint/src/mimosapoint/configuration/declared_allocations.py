"""Declared allocations of guarantees, as a pure function of the configuration."""

from collections import OrderedDict
from collections.abc import Collection, Iterator

import attrs

from mimosapoint.configuration._free_capacity import Demand, GangPlacement, resource_vector
from mimosapoint.configuration._packing import Placements, empty_zones, first_fit, pack
from mimosapoint.configuration.document import (
    Capacity,
    Configuration,
    Guarantee,
    Workspace,
    Zone,
    ZoneMode,
)

__all__ = ["DeclaredAllocation", "GuaranteeInstanceKey", "eligible_zones", "allocate_guarantees"]

MAX_CACHED_CONFIGURATIONS = 4
"""Maximum number of configurations whose allocations are cached."""


@attrs.frozen(order=True)
class GuaranteeInstanceKey:
    """Key of one instance of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param instance: number of the instance, starting at 0.
    """

    workspace: str
    guarantee: str
    instance: int


@attrs.frozen
class DeclaredAllocation:
    """Allocation of one guarantee instance, derived from the configuration alone.

    :param zone: id of the availability zone.
    :param racks: indices of the racks, in ascending order.
    :param tasks: tuples of rack index, worker index within the rack and number of tasks.
    """

    zone: str
    racks: tuple[int, ...]
    tasks: tuple[tuple[int, int, int], ...]


def eligible_zones(
    configuration: Configuration, region: str, guarantee: Guarantee
) -> tuple[str, ...]:
    """Return the sorted ids of the zones in the region that may hold the guarantee."""
    zones = configuration.zones_of(region)
    return tuple(id for id in sorted(zones) if not guarantee.zones or id in guarantee.zones)


def _demands(configuration: Configuration, id: str, workspace: Workspace) -> Iterator[Demand]:
    """Yield a demand for each instance of each guarantee of a workspace."""
    for guarantee in workspace.guarantees:
        zones = eligible_zones(configuration, workspace.region, guarantee)
        shape = resource_vector(guarantee.shape)
        for instance in range(guarantee.count):
            key = (id, guarantee.id, instance)
            yield Demand(key, guarantee.gang, shape, guarantee.adjacency, zones)


def _demands_by_region(configuration: Configuration) -> dict[str, list[Demand]]:
    by_region: dict[str, list[Demand]] = {}
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        demands = by_region.setdefault(workspace.region, [])
        demands.extend(_demands(configuration, id, workspace))
    return by_region


def _capacities(zones_by_id: dict[str, Zone]) -> dict[str, Capacity]:
    return {id: zone.capacity for id, zone in sorted(zones_by_id.items())}


def _in_service(zones_by_id: dict[str, Zone]) -> dict[str, Zone]:
    return {id: zone for id, zone in zones_by_id.items() if zone.mode is ZoneMode.IN_SERVICE}


def _restrict_zones(demand: Demand, zones: Collection[str]) -> Demand:
    """Return the demand restricted to the given availability zones."""
    return attrs.evolve(demand, zones=tuple(id for id in demand.zones if id in zones))


def _move_from_withdrawn_zones(
    demands: list[Demand], placements: Placements, zones_by_id: dict[str, Zone]
) -> Placements:
    """Move placements out of withdrawn zones where the zones in service have capacity.

    Other placements change only if that is necessary to place every demand. A placement that
    cannot move stays in the withdrawn zone.
    """
    zones_in_service = _in_service(zones_by_id)
    restricted = [_restrict_zones(demand, zones_in_service) for demand in demands]
    kept = {
        key: placement
        for key, placement in placements.items()
        if placement.zone in zones_in_service
    }
    if len(kept) == len(placements):
        return placements
    free_capacity_by_zone = empty_zones(_capacities(zones_in_service))
    for demand in restricted:
        if demand.key in kept:
            placement = kept[demand.key]
            free_capacity_by_zone[placement.zone].allocate(placement, demand.shape)
    moved = first_fit((d for d in restricted if d.key not in kept), free_capacity_by_zone)
    if len(kept) + len(moved) < len(demands):
        repacked = pack(restricted, _capacities(zones_in_service))
        if len(repacked) == len(demands):
            return repacked
    return {**placements, **moved}


def _declared_allocation(placement: GangPlacement) -> DeclaredAllocation:
    racks = tuple(sorted({rack for rack, _, _ in placement.tasks}))
    return DeclaredAllocation(placement.zone, racks, placement.tasks)


def _region_placements(demands: list[Demand], zones_by_id: dict[str, Zone]) -> Placements:
    placements = pack(demands, _capacities(zones_by_id))
    return _move_from_withdrawn_zones(demands, placements, zones_by_id)


def _compute_allocations(
    configuration: Configuration,
) -> dict[GuaranteeInstanceKey, DeclaredAllocation]:
    allocations_by_key = {}
    for region, demands in sorted(_demands_by_region(configuration).items()):
        placements = _region_placements(demands, configuration.zones_of(region))
        for key, placement in sorted(placements.items()):
            allocations_by_key[GuaranteeInstanceKey(*key)] = _declared_allocation(placement)
    return allocations_by_key


_cache: OrderedDict[int, tuple[Configuration, dict[GuaranteeInstanceKey, DeclaredAllocation]]] = (
    OrderedDict()
)


def allocate_guarantees(
    configuration: Configuration,
) -> dict[GuaranteeInstanceKey, DeclaredAllocation]:
    """Return the declared allocation of each guarantee instance; omit those that do not fit.

    The result depends on the configuration alone, so that all nodes compute the same allocations.
    It is cached for the last :data:`MAX_CACHED_CONFIGURATIONS` configurations and must not be
    modified.

    :param configuration: a configuration whose values are in range.
    """
    cached = _cache.get(id(configuration))
    if cached is not None and cached[0] is configuration:
        return cached[1]
    computed = _compute_allocations(configuration)
    _cache[id(configuration)] = (configuration, computed)
    if len(_cache) > MAX_CACHED_CONFIGURATIONS:
        _cache.popitem(last=False)
    return computed
