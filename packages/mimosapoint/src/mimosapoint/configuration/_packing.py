"""Packing of gangs into the racks of availability zones.

The packer is deterministic: large gangs first, each into the first place that holds it. When that
leaves a gang over, a search with a bounded number of steps tries other places.
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

SEARCH_STEPS = 300
"""Most places that the search tries before it gives up."""

Placements = dict[DemandKey, GangPlacement]
Rooms = dict[str, FreeCapacity]
ZoneOrder = Callable[[Demand, Rooms], list[str]]

ADJACENCY_ORDER = (Adjacency.RACK, Adjacency.WORKER, Adjacency.AVAILABILITY_ZONE)


def _placement_order(demand: Demand) -> tuple[object, ...]:
    """Rank demands: the hardest to place comes first."""
    total = tuple(-amount * demand.gang for amount in demand.shape)
    choice = len(demand.zones)
    return (
        ADJACENCY_ORDER.index(demand.adjacency),
        total[3],
        total[1],
        total[0],
        total[2],
        choice,
        demand.key,
    )


def _most_free_first(demand: Demand, rooms_by_id: Rooms) -> list[str]:
    return sorted(demand.zones, key=lambda zone: -rooms_by_id[zone].free_accelerators)


def _least_free_first(demand: Demand, rooms_by_id: Rooms) -> list[str]:
    return sorted(demand.zones, key=lambda zone: rooms_by_id[zone].free_accelerators)


def _in_declared_order(demand: Demand, rooms_by_id: Rooms) -> list[str]:
    return list(demand.zones)


ZONE_ORDERS = (_most_free_first, _least_free_first, _in_declared_order)
"""Orders in which zones are tried; the first one spreads the homes and is preferred."""


def first_fit(
    demands: Iterable[Demand], rooms_by_id: Rooms, zone_order: ZoneOrder = _most_free_first
) -> Placements:
    """Place demands into the room, the hardest to place first; what does not fit is left out."""
    places = {}
    for demand in sorted(demands, key=_placement_order):
        found = (rooms_by_id[zone].find(demand) for zone in zone_order(demand, rooms_by_id))
        place = next((place for place in found if place is not None), None)
        if place is not None:
            rooms_by_id[place.zone].allocate(place, demand.shape)
            places[demand.key] = place
    return places


class _Search:
    """Depth-first search over places, given up after :data:`SEARCH_STEPS`."""

    def __init__(self, demands: list[Demand], rooms_by_id: Rooms):
        self._demands = demands
        self._rooms_by_id = rooms_by_id
        self._steps = SEARCH_STEPS
        self.places: Placements = {}

    def solve(self) -> bool:
        """Place every demand; return whether that was possible within the steps."""
        chosen: list[GangPlacement] = []
        options = [self._options(0)]
        while options:
            depth = len(options) - 1
            if len(chosen) > depth:
                self._undo(depth, chosen.pop())
            place = next(options[depth], None)
            self._steps -= 1
            if self._steps < 0:
                return False
            if place is None:
                options.pop()
                continue
            self._place(depth, place)
            chosen.append(place)
            if len(chosen) == len(self._demands):
                return True
            options.append(self._options(depth + 1))
        return False

    def _options(self, depth: int) -> Iterator[GangPlacement]:
        demand = self._demands[depth]
        for zone in demand.zones:
            yield from self._rooms_by_id[zone].candidate_placements(demand)

    def _place(self, depth: int, place: GangPlacement) -> None:
        demand = self._demands[depth]
        self._rooms_by_id[place.zone].allocate(place, demand.shape)
        self.places[demand.key] = place

    def _undo(self, depth: int, place: GangPlacement) -> None:
        demand = self._demands[depth]
        self._rooms_by_id[place.zone].release(place, demand.shape)
        del self.places[demand.key]


def empty_zones(capacities_by_id: dict[str, Capacity]) -> Rooms:
    """Return the room of empty availability zones."""
    return {id: FreeCapacity(id, capacity) for id, capacity in capacities_by_id.items()}


def pack(demands: Iterable[Demand], capacities_by_id: dict[str, Capacity]) -> Placements:
    """Return a place for each demand that could be placed.

    :param demands: the gangs.
    :param capacities_by_id: declared capacity of each availability zone.
    """
    ordered = sorted(demands, key=_placement_order)
    best: Placements = {}
    for zone_order in ZONE_ORDERS:
        places = first_fit(ordered, empty_zones(capacities_by_id), zone_order)
        best = max(best, places, key=len)
        if len(best) == len(ordered) or _exceeds_total(ordered, capacities_by_id):
            return best
    search = _Search(ordered, empty_zones(capacities_by_id))
    return search.places if search.solve() else best


def _exceeds_total(demands: list[Demand], capacities_by_id: dict[str, Capacity]) -> bool:
    """Tell whether the demands ask for more than there is, wherever they are placed."""
    for index in range(len(ResourceVector.__args__)):
        wanted = sum(demand.shape[index] * demand.gang for demand in demands)
        there = sum(
            resource_vector(capacity.worker)[index] * capacity.racks * capacity.workers_per_rack
            for capacity in capacities_by_id.values()
        )
        if wanted > there:
            return True
    return False
