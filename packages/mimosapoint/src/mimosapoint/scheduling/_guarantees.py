"""Homes of an availability zone and the work that can't be stopped, by workspace and worker."""

from collections import Counter
from collections.abc import Iterable, Mapping

from mimosapoint.scheduling._vectors import ZERO, Vector, fits, least, minus, most, plus
from mimosapoint.scheduling.homes import Home, Unit, find_home, keep, settle, take

__all__ = ["FirmWork", "Guarantees"]

FirmWork = tuple[str, str | None, Mapping[str, Vector]]
"""Workspace, claimed guarantee and amounts on each worker of a job that can't be stopped."""

Table = dict[str, dict[str, Vector]]
"""Amounts by workspace and worker."""


def _add(table: Table, workspace: str, amounts: Mapping[str, Vector]) -> None:
    row = table.setdefault(workspace, {})
    for worker, amount in amounts.items():
        row[worker] = plus(row.get(worker, ZERO), amount)


class Guarantees:
    """Tells which room is promised to whom.

    On each worker a workspace keeps the larger of its homes and its firm work, which is work
    that can't be stopped for others. What is left beside all of them is spare.
    """

    def __init__(self) -> None:
        self.homes: dict[tuple, Home] = {}
        self.units: tuple[Unit, ...] = ()
        self.spare: dict[str, Vector] = {}
        self._capacity: dict[str, Vector] = {}
        self._rack_by_id: dict[str, str] = {}
        self._homes_by_workspace: dict[str, list[Home]] = {}
        self._home_total: Table = {}
        self._firm: Table = {}
        self._parties: dict[str, set[str]] = {}

    @property
    def complete(self) -> bool:
        """Whether every unit has a home."""
        return len(self.homes) == len(self.units)

    def settle(
        self,
        units: tuple[Unit, ...],
        capacity: dict[str, Vector],
        rack_by_id: dict[str, str],
        firm: Iterable[FirmWork],
    ) -> None:
        """Find homes on usable workers, keeping those that still hold.

        :param units: units that the zone holds, hardest first.
        :param capacity: resources of each usable worker.
        :param rack_by_id: rack of each usable worker.
        :param firm: work that runs and can't be stopped.
        """
        firm = list(firm)
        self.units, self._capacity, self._rack_by_id = units, capacity, rack_by_id
        usual = settle(units, dict(capacity), rack_by_id)
        previous = self.homes if firm else {}
        wanted = [previous.get(unit.key) or usual.get(unit.key) for unit in units]
        self._install(keep([h for h in wanted if h is not None], dict(capacity)), firm)
        self._install({k: h for k, h in self.homes.items() if not self._crowded(h)}, firm)
        while found := self._missing_homes(firm):
            self._install(self.homes | found, firm)

    def _install(self, homes: dict[tuple, Home], firm: Iterable[FirmWork]) -> None:
        self.homes = homes
        self._homes_by_workspace, self._home_total, self._firm = {}, {}, {}
        for home in homes.values():
            workspace = home.unit.workspace
            self._homes_by_workspace.setdefault(workspace, []).append(home)
            _add(self._home_total, workspace, home.amounts)
        for workspace, _, amounts in firm:
            _add(self._firm, workspace, amounts)
        self._parties = {}
        for table in (self._home_total, self._firm):
            for workspace, row in table.items():
                for worker in row:
                    self._parties.setdefault(worker, set()).add(workspace)
        self.spare = {}
        for worker in self._capacity:
            self._update_spare(worker)

    def _crowded(self, home: Home) -> bool:
        """Tell whether firm work of others lies on a home."""
        return any(not fits(ZERO, self.spare[worker]) for worker in home.amounts)

    def _missing_homes(self, firm: Iterable[FirmWork]) -> dict[tuple, Home]:
        """Find homes for the units that have none; a claim that lies in no home has its unit."""
        served = Counter((w, g) for w, g, amounts in firm if g and not self._at_home(w, amounts))
        room = dict(self.spare)
        found = {}
        for unit in self.units:
            if unit.key in self.homes:
                continue
            if served[unit.key[:2]] > 0:
                served[unit.key[:2]] -= 1
                continue
            home = find_home(unit, room, self._rack_by_id)
            if home is not None:
                found[unit.key] = home
                take(home, room)
        return found

    def _at_home(self, workspace: str, amounts: Mapping[str, Vector]) -> bool:
        row = self._home_total.get(workspace, {})
        return all(worker in row for worker in amounts)

    def _update_spare(self, worker: str) -> None:
        left = self._capacity[worker]
        for workspace in self._parties.get(worker, ()):
            kept = self._home_total.get(workspace, {}).get(worker, ZERO)
            used = self._firm.get(workspace, {}).get(worker, ZERO)
            left = minus(left, most(kept, used))
        self.spare[worker] = left

    def add_firm(self, workspace: str, amounts: Mapping[str, Vector]) -> None:
        """Count work that can't be stopped."""
        _add(self._firm, workspace, amounts)
        for worker in amounts:
            self._parties.setdefault(worker, set()).add(workspace)
            if worker in self._capacity:
                self._update_spare(worker)

    def remove_firm(self, workspace: str, amounts: Mapping[str, Vector]) -> None:
        """Undo :meth:`add_firm`."""
        row = self._firm[workspace]
        for worker, amount in amounts.items():
            row[worker] = minus(row[worker], amount)
            if worker in self._capacity:
                self._update_spare(worker)

    def homes_of(self, workspace: str) -> list[Home]:
        """Return the homes of a workspace."""
        return self._homes_by_workspace.get(workspace, [])

    def unclaimed(self, workspace: str, worker: str) -> Vector:
        """Return what the workspace's homes on a worker have left beside its firm work."""
        kept = self._home_total.get(workspace, {}).get(worker)
        if kept is None:
            return ZERO
        return most(ZERO, minus(kept, self._firm.get(workspace, {}).get(worker, ZERO)))

    def claim_room(self, home: Home) -> dict[str, Vector]:
        """Return what a home has left on each of its workers."""
        workspace = home.unit.workspace
        return {w: least(a, self.unclaimed(workspace, w)) for w, a in home.amounts.items()}

    def firm_room(self, workspace: str, worker: str) -> Vector:
        """Return what work that can't be stopped may take on a worker."""
        spare = self.spare[worker]
        if worker not in self._home_total.get(workspace, {}):
            return spare
        return plus(spare, self.unclaimed(workspace, worker))

    def firm_capacity(self, workspace: str, worker: str) -> Vector:
        """Return what a worker without any job would let such work take."""
        left = self._capacity[worker]
        for other in self._parties.get(worker, ()):
            if other != workspace:
                left = minus(left, self._home_total.get(other, {}).get(worker, ZERO))
        return left
