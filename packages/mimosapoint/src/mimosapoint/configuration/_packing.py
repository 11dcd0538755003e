"""Packing of gangs into the racks of availability zones.

The packer is deterministic: large gangs first, each into the first place that holds it. When that
leaves a gang over, a search with a bounded number of steps tries other places.
"""

from collections.abc import Iterable, Iterator

from mimosapoint.configuration._room import Demand, DemandKey, Place, ZoneRoom
from mimosapoint.configuration.document import Capacity
from mimosapoint.model import Adjacency

__all__ = ["Places", "first_fit", "pack", "rooms"]

SEARCH_STEPS = 2_000
"""Most places that the search tries before it gives up."""

Places = dict[DemandKey, Place]

ADJACENCY_ORDER = (Adjacency.RACK, Adjacency.WORKER, Adjacency.AVAILABILITY_ZONE)


def _size(demand: Demand) -> tuple[object, ...]:
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


def _fit(demand: Demand, rooms_by_id: dict[str, ZoneRoom]) -> Place | None:
    """Return a place in the zone with the most free accelerators that holds the gang."""
    zones = sorted(
        enumerate(demand.zones),
        key=lambda pair: (-rooms_by_id[pair[1]].free_accelerators, pair[0]),
    )
    for _, zone in zones:
        place = rooms_by_id[zone].find(demand)
        if place is not None:
            return place
    return None


def first_fit(demands: Iterable[Demand], rooms_by_id: dict[str, ZoneRoom]) -> Places:
    """Place demands into the room, the hardest to place first; what does not fit is left out."""
    places = {}
    for demand in sorted(demands, key=_size):
        place = _fit(demand, rooms_by_id)
        if place is not None:
            rooms_by_id[place.zone].take(place, demand.shape)
            places[demand.key] = place
    return places


class _Search:
    """Depth-first search over places, given up after :data:`SEARCH_STEPS`."""

    def __init__(self, demands: list[Demand], rooms_by_id: dict[str, ZoneRoom]):
        self._demands = demands
        self._rooms_by_id = rooms_by_id
        self._steps = SEARCH_STEPS
        self.places: Places = {}

    def solve(self) -> bool:
        """Place every demand; return whether that was possible within the steps."""
        chosen: list[Place] = []
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
            self._do(depth, place)
            chosen.append(place)
            if len(chosen) == len(self._demands):
                return True
            options.append(self._options(depth + 1))
        return False

    def _options(self, depth: int) -> Iterator[Place]:
        demand = self._demands[depth]
        for zone in demand.zones:
            yield from self._rooms_by_id[zone].every_place(demand)

    def _do(self, depth: int, place: Place) -> None:
        demand = self._demands[depth]
        self._rooms_by_id[place.zone].take(place, demand.shape)
        self.places[demand.key] = place

    def _undo(self, depth: int, place: Place) -> None:
        demand = self._demands[depth]
        self._rooms_by_id[place.zone].give_back(place, demand.shape)
        del self.places[demand.key]


def rooms(capacities_by_id: dict[str, Capacity]) -> dict[str, ZoneRoom]:
    """Return the room of empty availability zones."""
    return {id: ZoneRoom(id, capacity) for id, capacity in capacities_by_id.items()}


def pack(demands: Iterable[Demand], capacities_by_id: dict[str, Capacity]) -> Places:
    """Return a place for each demand that could be placed.

    :param demands: the gangs.
    :param capacities_by_id: declared capacity of each availability zone.
    """
    ordered = sorted(demands, key=_size)
    places = first_fit(ordered, rooms(capacities_by_id))
    if len(places) == len(ordered):
        return places
    search = _Search(ordered, rooms(capacities_by_id))
    return search.places if search.solve() else places
