"""Packing of gangs into the racks of availability zones.

The algorithm is deterministic: first fit, with the gangs that are hardest to place first. If a
gang remains unplaced, a depth-first search with a bounded number of steps tries other placements.
"""

from collections.abc import Callable, Iterable, Iterator

from mimosapoint.configuration._free_capacity import (
    Demand,
    DemandKey,
    FreeCapacity,
    GangPlacement,
    ResourceVector,
    resource_vector,
)
from mimosapoint.configuration.document import Capacity
from mimosapoint.model import Adjacency

__all__ = ["Placements", "first_fit", "pack", "empty_zones"]

MAX_SEARCH_STEPS = 300
"""Maximum number of steps of the search before it gives up."""

Placements = dict[DemandKey, GangPlacement]
FreeCapacityByZone = dict[str, FreeCapacity]
ZoneOrder = Callable[[Demand, FreeCapacityByZone], list[str]]

ADJACENCY_ORDER = (Adjacency.RACK, Adjacency.WORKER, Adjacency.AVAILABILITY_ZONE)


def _placement_order(demand: Demand) -> tuple[object, ...]:
    """Return the sort key of a demand; the hardest to place sorts first."""
    total = tuple(-amount * demand.gang for amount in demand.shape)
    zone_count = len(demand.zones)
    return (
        ADJACENCY_ORDER.index(demand.adjacency),
        total[3],
        total[1],
        total[0],
        total[2],
        zone_count,
        demand.key,
    )


def _most_free_first(demand: Demand, free_capacity_by_zone: FreeCapacityByZone) -> list[str]:
    return sorted(demand.zones, key=lambda zone: -free_capacity_by_zone[zone].free_accelerators)


def _least_free_first(demand: Demand, free_capacity_by_zone: FreeCapacityByZone) -> list[str]:
    return sorted(demand.zones, key=lambda zone: free_capacity_by_zone[zone].free_accelerators)


def _in_declared_order(demand: Demand, free_capacity_by_zone: FreeCapacityByZone) -> list[str]:
    return list(demand.zones)


ZONE_ORDERS = (_most_free_first, _least_free_first, _in_declared_order)
"""Orders in which zones are tried; the first spreads the gangs over zones and is preferred."""


def first_fit(
    demands: Iterable[Demand],
    free_capacity_by_zone: FreeCapacityByZone,
    zone_order: ZoneOrder = _most_free_first,
) -> Placements:
    """Place demands by first fit, the hardest to place first; omit those that do not fit.

    :param demands: the gangs.
    :param free_capacity_by_zone: free capacity by zone id; reduced by each placement.
    :param zone_order: returns the zones of a demand in the order to try.
    """
    placements = {}
    for demand in sorted(demands, key=_placement_order):
        candidates = (
            free_capacity_by_zone[zone].find(demand)
            for zone in zone_order(demand, free_capacity_by_zone)
        )
        placement = next((placement for placement in candidates if placement is not None), None)
        if placement is not None:
            free_capacity_by_zone[placement.zone].allocate(placement, demand.shape)
            placements[demand.key] = placement
    return placements


class _PlacementSearch:
    """Depth-first search over placements, limited to :data:`MAX_SEARCH_STEPS` steps."""

    def __init__(self, demands: list[Demand], free_capacity_by_zone: FreeCapacityByZone):
        self._demands = demands
        self._free_capacity_by_zone = free_capacity_by_zone
        self._remaining_steps = MAX_SEARCH_STEPS
        self.placements: Placements = {}

    def solve(self) -> bool:
        """Place all demands; return whether this succeeded within the step limit."""
        path: list[GangPlacement] = []
        candidates = [self._candidates(0)]
        while candidates:
            depth = len(candidates) - 1
            if len(path) > depth:
                self._pop(depth, path.pop())
            placement = next(candidates[depth], None)
            self._remaining_steps -= 1
            if self._remaining_steps < 0:
                return False
            if placement is None:
                candidates.pop()
                continue
            self._push(depth, placement)
            path.append(placement)
            if len(path) == len(self._demands):
                return True
            candidates.append(self._candidates(depth + 1))
        return False

    def _candidates(self, depth: int) -> Iterator[GangPlacement]:
        demand = self._demands[depth]
        for zone in demand.zones:
            yield from self._free_capacity_by_zone[zone].candidate_placements(demand)

    def _push(self, depth: int, placement: GangPlacement) -> None:
        demand = self._demands[depth]
        self._free_capacity_by_zone[placement.zone].allocate(placement, demand.shape)
        self.placements[demand.key] = placement

    def _pop(self, depth: int, placement: GangPlacement) -> None:
        demand = self._demands[depth]
        self._free_capacity_by_zone[placement.zone].release(placement, demand.shape)
        del self.placements[demand.key]


def empty_zones(capacities_by_id: dict[str, Capacity]) -> FreeCapacityByZone:
    """Return the free capacity of empty availability zones by zone id."""
    return {id: FreeCapacity(id, capacity) for id, capacity in capacities_by_id.items()}


def pack(demands: Iterable[Demand], capacities_by_id: dict[str, Capacity]) -> Placements:
    """Return a placement for each demand that could be placed.

    :param demands: the gangs.
    :param capacities_by_id: declared capacity by availability zone id.
    """
    ordered = sorted(demands, key=_placement_order)
    best: Placements = {}
    for zone_order in ZONE_ORDERS:
        placements = first_fit(ordered, empty_zones(capacities_by_id), zone_order)
        best = max(best, placements, key=len)
        if len(best) == len(ordered) or _exceeds_total(ordered, capacities_by_id):
            return best
    search = _PlacementSearch(ordered, empty_zones(capacities_by_id))
    return search.placements if search.solve() else best


def _exceeds_total(demands: list[Demand], capacities_by_id: dict[str, Capacity]) -> bool:
    """Return whether the demands require more of some resource than all zones declare."""
    for index in range(len(ResourceVector.__args__)):
        required = sum(demand.shape[index] * demand.gang for demand in demands)
        declared = sum(
            resource_vector(capacity.worker)[index] * capacity.racks * capacity.workers_per_rack
            for capacity in capacities_by_id.values()
        )
        if required > declared:
            return True
    return False
