"""Jobs that no availability zone can ever run beside the guarantees of others."""

from collections.abc import Iterator

import attrs

from mimosapoint.configuration import Configuration, Home, Zone
from mimosapoint.configuration import homes as declared_homes
from mimosapoint.model import JobRequest
from mimosapoint.scheduling._queue import Kind
from mimosapoint.scheduling._vectors import Vector, minus, plus, scaled, vector
from mimosapoint.scheduling.places import first_place, groups

__all__ = ["FitCheck"]


@attrs.frozen
class _Held:
    """Declared home of a guarantee.

    :param workspace: id of the workspace.
    :param vector: resources of each task.
    :param home: where it is.
    """

    workspace: str
    vector: Vector
    home: Home


def _held_homes(configuration: Configuration) -> Iterator[_Held]:
    for key, home in declared_homes(configuration).items():
        guarantees = configuration.workspaces_by_id[key.workspace].guarantees
        shape = next(found.shape for found in guarantees if found.id == key.guarantee)
        yield _Held(key.workspace, vector(shape), home)


class FitCheck:
    """Tells which zones could run a job when empty; answers hold for one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._held = list(_held_homes(configuration))
        self._zones: dict[tuple[Kind, tuple[str, ...]], frozenset[str]] = {}

    def zones(self, request: JobRequest, kind: Kind) -> frozenset[str]:
        """Return the allowed zones that could run the job, whatever their mode."""
        key = (kind, request.zones)
        found = self._zones.get(key)
        if found is None:
            zones = self.configuration.allowed_zones(request)
            found = frozenset(zone for zone in zones if self._fits(kind, zone))
            self._zones[key] = found
        return found

    def _fits(self, kind: Kind, zone_id: str) -> bool:
        zone = self.configuration.zones_by_id[zone_id]
        workspace = self.configuration.workspaces_by_id[kind.workspace]
        if not workspace.may_borrow:
            room = self._own_room(kind.workspace, zone_id)
        else:
            room = self._capacity(zone)
            if not kind.interruptible:
                self._take_homes_of_others(kind.workspace, zone_id, room)
        rack_by_id = {worker: worker.split("/")[0] for worker in room}
        parts = groups(kind.need.adjacency, room, rack_by_id)
        return first_place(kind.need, room, parts) is not None

    @staticmethod
    def _capacity(zone: Zone) -> dict[str, Vector]:
        capacity = zone.capacity
        return {
            f"{rack}/{worker}": vector(capacity.worker)
            for rack in range(capacity.racks)
            for worker in range(capacity.workers_per_rack)
        }

    def _take_homes_of_others(self, workspace: str, zone: str, room: dict[str, Vector]) -> None:
        for held in self._held:
            if held.home.zone == zone and held.workspace != workspace:
                for rack, worker, count in held.home.tasks:
                    name = f"{rack}/{worker}"
                    room[name] = minus(room[name], scaled(held.vector, count))

    def _own_room(self, workspace: str, zone: str) -> dict[str, Vector]:
        room: dict[str, Vector] = {}
        for held in self._held:
            if held.home.zone == zone and held.workspace == workspace:
                for rack, worker, count in held.home.tasks:
                    name = f"{rack}/{worker}"
                    room[name] = plus(room.get(name, (0, 0, 0, 0)), scaled(held.vector, count))
        return room
