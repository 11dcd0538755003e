"""Homes of guaranteed shapes: which workers each guaranteed gang can always claim."""

from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.configuration import Configuration, HomeKey
from mimosapoint.configuration import homes as declared_homes
from mimosapoint.model import Adjacency
from mimosapoint.scheduling._vectors import Vector, fits, minus, vector
from mimosapoint.scheduling.places import Need, amounts, groups, tight_place

__all__ = ["Home", "Unit", "find_home", "keep", "settle", "take", "units_of"]


@attrs.frozen
class Unit:
    """One gang of a guarantee.

    :param workspace: id of the workspace.
    :param guarantee: id of the guarantee.
    :param index: number of the gang within the guarantee, from 0.
    :param need: room that it guarantees.
    """

    workspace: str
    guarantee: str
    index: int
    need: Need

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


def _hardness(unit: Unit) -> tuple:
    need = unit.need
    widest = (Adjacency.WORKER, Adjacency.RACK, Adjacency.AVAILABILITY_ZONE).index(need.adjacency)
    size = [-need.gang * amount for amount in need.vector[::-1]]
    return (size[0], -need.vector[3], widest, size, unit.key)


def find_home(unit: Unit, room: Mapping[str, Vector], rack_by_id: Mapping[str, str]) -> Home | None:
    """Return the tightest home in the room, or ``None``."""
    parts = groups(unit.need.adjacency, room, rack_by_id)
    workers = tight_place(unit.need, room, parts)
    return None if workers is None else Home(unit, amounts(unit.need, workers))


def units_of(configuration: Configuration, zone: str) -> tuple[Unit, ...]:
    """Return the units that an availability zone holds, those that are hardest to place first.

    Every node works out the same ones, since they depend on the configuration alone.
    """
    found = [
        _unit(configuration, key)
        for key, home in declared_homes(configuration).items()
        if home.zone == zone
    ]
    return tuple(sorted(found, key=_hardness))


def _unit(configuration: Configuration, key: HomeKey) -> Unit:
    guarantees = configuration.workspaces_by_id[key.workspace].guarantees
    guarantee = next(found for found in guarantees if found.id == key.guarantee)
    need = Need(guarantee.gang, vector(guarantee.shape), guarantee.adjacency)
    return Unit(key.workspace, key.guarantee, key.instance, need)


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
