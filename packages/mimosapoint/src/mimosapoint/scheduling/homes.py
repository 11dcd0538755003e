"""Homes of guaranteed shapes: which workers each guaranteed gang can always claim."""

from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.configuration import Capacity, Configuration, Guarantee, ZoneMode
from mimosapoint.model import Adjacency
from mimosapoint.scheduling._vectors import Vector, fits, minus, vector
from mimosapoint.scheduling.places import Need, amounts, tight_place

__all__ = ["Home", "Unit", "find_home", "keep", "settle", "shares", "take", "units_of"]


@attrs.frozen
class Unit:
    """One gang of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param index: number of the gang within the guarantee, from 0.
    :param need: room that it guarantees.
    :param zones: availability zones that may hold it; empty means every one of the region.
    """

    workspace: str
    guarantee: str
    index: int
    need: Need
    zones: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[str, str, int]:
        """Name of the unit that outlives versions of the configuration."""
        return (self.workspace, self.guarantee, self.index)


@attrs.frozen
class Home:
    """Workers that hold a unit.

    :param unit: the guaranteed gang.
    :param amounts: resources kept for it on each worker.
    """

    unit: Unit
    amounts: dict[str, Vector]


def _units_of_guarantee(workspace: str, guarantee: Guarantee) -> list[Unit]:
    need = Need(guarantee.gang, vector(guarantee.shape), guarantee.adjacency)
    return [
        Unit(workspace, guarantee.id, index, need, guarantee.zones)
        for index in range(guarantee.count)
    ]


def units_of(configuration: Configuration, region: str) -> list[Unit]:
    """Return the units of a region, those that are hardest to place first."""
    found: list[Unit] = []
    for id, workspace in configuration.workspaces_by_id.items():
        if workspace.region == region:
            for guarantee in workspace.guarantees:
                found.extend(_units_of_guarantee(id, guarantee))
    return sorted(found, key=_hardness)


def _hardness(unit: Unit) -> tuple:
    need = unit.need
    widest = (Adjacency.WORKER, Adjacency.RACK, Adjacency.AVAILABILITY_ZONE).index(need.adjacency)
    size = [-need.gang * amount for amount in need.vector[::-1]]
    return (size[0], -need.vector[3], widest, size, unit.key)


def find_home(unit: Unit, room: Mapping[str, Vector], rack_by_id: Mapping[str, str]) -> Home | None:
    """Return the tightest home in the room, or ``None``."""
    workers = tight_place(unit.need, room, rack_by_id)
    return None if workers is None else Home(unit, amounts(unit.need, workers))


@attrs.define
class _DeclaredZone:
    """Declared workers of an availability zone while units are shared out."""

    id: str
    room: dict[str, Vector]
    rack_by_id: dict[str, str]
    total: int
    units: list[Unit] = attrs.field(factory=list)

    @classmethod
    def of(cls, id: str, capacity: Capacity) -> "_DeclaredZone":
        rack_by_id = {
            f"{rack}/{worker}": str(rack)
            for rack in range(capacity.racks)
            for worker in range(capacity.workers_per_rack)
        }
        room = dict.fromkeys(rack_by_id, vector(capacity.worker))
        return cls(id, room, rack_by_id, max(1, len(room) * _weight(vector(capacity.worker))))

    @property
    def load(self) -> float:
        """Share of the zone that its units take."""
        return sum(u.need.gang * _weight(u.need.vector) for u in self.units) / self.total

    def take(self, unit: Unit) -> bool:
        """Add the unit when it fits."""
        home = find_home(unit, self.room, self.rack_by_id)
        if home is None:
            return False
        for worker, amount in home.amounts.items():
            self.room[worker] = minus(self.room[worker], amount)
        self.units.append(unit)
        return True


def _weight(amount: Vector) -> int:
    """Return one number for an amount, accelerators before cores."""
    return amount[3] * 1000 + amount[1]


def _share_out(units: Iterable[Unit], zones: list[_DeclaredZone]) -> None:
    for unit in units:
        for zone in sorted(zones, key=lambda zone: (zone.load, zone.id)):
            if (not unit.zones or zone.id in unit.zones) and zone.take(unit):
                break


def shares(configuration: Configuration, region: str) -> dict[str, tuple[Unit, ...]]:
    """Return the units that each availability zone of a region holds.

    The units of a zone that is out go to the others as far as they fit there; the other units
    stay where they are.
    """
    declared = configuration.zones_of(region)
    zones = [_DeclaredZone.of(id, zone.capacity) for id, zone in sorted(declared.items())]
    _share_out(units_of(configuration, region), zones)
    out = [zone for zone in zones if declared[zone.id].mode is not ZoneMode.IN_SERVICE]
    staying = [zone for zone in zones if declared[zone.id].mode is ZoneMode.IN_SERVICE]
    for zone in out:
        _share_out(zone.units, staying)
    found = {zone.id: tuple(zone.units) for zone in staying}
    return found | {zone.id: () for zone in out}


def settle(
    units: Iterable[Unit], room: dict[str, Vector], rack_by_id: Mapping[str, str]
) -> dict[tuple[str, str, int], Home]:
    """Return a home for each unit that fits; the room is used up."""
    found: dict[tuple[str, str, int], Home] = {}
    for unit in units:
        home = find_home(unit, room, rack_by_id)
        if home is not None:
            found[unit.key] = home
            take(home, room)
    return found


def keep(homes: Iterable[Home], room: dict[str, Vector]) -> dict[tuple[str, str, int], Home]:
    """Return those homes that fit into the room together; the room is used up."""
    found: dict[tuple[str, str, int], Home] = {}
    for home in homes:
        if all(w in room and fits(amount, room[w]) for w, amount in home.amounts.items()):
            found[home.unit.key] = home
            take(home, room)
    return found


def take(home: Home, room: dict[str, Vector]) -> None:
    """Take a home's amounts out of the room."""
    for worker, amount in home.amounts.items():
        room[worker] = minus(room[worker], amount)
