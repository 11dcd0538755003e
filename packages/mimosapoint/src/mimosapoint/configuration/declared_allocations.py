"""Homes: the racks that hold each guarantee, as a pure function of the configuration."""

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

CACHE_SIZE = 4
"""Configurations whose homes are remembered."""


@attrs.frozen(order=True)
class GuaranteeInstanceKey:
    """One instance of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param instance: number of the instance, from 0.
    """

    workspace: str
    guarantee: str
    instance: int


@attrs.frozen
class DeclaredAllocation:
    """Where an instance of a guarantee is held.

    :param zone: the availability zone.
    :param racks: indices of its racks, rising.
    :param tasks: number of tasks by rack index and worker index within the rack.
    """

    zone: str
    racks: tuple[int, ...]
    tasks: tuple[tuple[int, int, int], ...]


def eligible_zones(
    configuration: Configuration, region: str, guarantee: Guarantee
) -> tuple[str, ...]:
    """Return the availability zones of the region that may hold the guarantee, in order."""
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


def _limited(demand: Demand, zones: Collection[str]) -> Demand:
    """Return the demand with only those availability zones."""
    return attrs.evolve(demand, zones=tuple(id for id in demand.zones if id in zones))


def _replaced(
    demands: list[Demand], places: Placements, zones_by_id: dict[str, Zone]
) -> Placements:
    """Move what is held in zones that are out, as far as the others have room.

    The homes of the others stay unless they must move to make that room.
    """
    usable = _in_service(zones_by_id)
    limited = [_limited(demand, usable) for demand in demands]
    staying = {key: place for key, place in places.items() if place.zone in usable}
    if len(staying) == len(places):
        return places
    room_by_id = empty_zones(_capacities(usable))
    for demand in limited:
        if demand.key in staying:
            place = staying[demand.key]
            room_by_id[place.zone].allocate(place, demand.shape)
    moved = first_fit((d for d in limited if d.key not in staying), room_by_id)
    if len(staying) + len(moved) < len(demands):
        anew = pack(limited, _capacities(usable))
        if len(anew) == len(demands):
            return anew
    return {**places, **moved}


def _home(place: GangPlacement) -> DeclaredAllocation:
    racks = tuple(sorted({rack for rack, _, _ in place.tasks}))
    return DeclaredAllocation(place.zone, racks, place.tasks)


def _region_places(demands: list[Demand], zones_by_id: dict[str, Zone]) -> Placements:
    places = pack(demands, _capacities(zones_by_id))
    return _replaced(demands, places, zones_by_id)


def _compute(configuration: Configuration) -> dict[GuaranteeInstanceKey, DeclaredAllocation]:
    homes_by_key = {}
    for region, demands in sorted(_demands_by_region(configuration).items()):
        places = _region_places(demands, configuration.zones_of(region))
        for key, place in sorted(places.items()):
            homes_by_key[GuaranteeInstanceKey(*key)] = _home(place)
    return homes_by_key


_cache: OrderedDict[int, tuple[Configuration, dict[GuaranteeInstanceKey, DeclaredAllocation]]] = (
    OrderedDict()
)


def allocate_guarantees(
    configuration: Configuration,
) -> dict[GuaranteeInstanceKey, DeclaredAllocation]:
    """Return the home of each instance of each guarantee; one that has no room is left out.

    The result depends on the configuration alone, so that every node works it out alike. It is
    remembered for the last few configurations and must not be changed.

    :param configuration: a configuration whose values are in range.
    """
    known = _cache.get(id(configuration))
    if known is not None and known[0] is configuration:
        return known[1]
    computed = _compute(configuration)
    _cache[id(configuration)] = (configuration, computed)
    if len(_cache) > CACHE_SIZE:
        _cache.popitem(last=False)
    return computed
