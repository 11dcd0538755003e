"""Homes of an availability zone and the work that can't be stopped, by workspace and worker."""

from collections import Counter
from collections.abc import Iterable, Mapping

from mimosapoint.scheduling._vectors import (
    ZERO,
    ResourceVector,
    add,
    fits,
    maximum,
    minimum,
    subtract,
)
from mimosapoint.scheduling.guarantee_allocations import (
    GuaranteeAllocation,
    GuaranteeInstance,
    allocate,
    deduct,
    find_allocation,
    retain_fitting,
)

__all__ = ["NonPreemptibleWork", "GuaranteeAllocator"]

NonPreemptibleWork = tuple[str, str | None, Mapping[str, ResourceVector]]
"""Workspace, claimed guarantee and amounts on each worker of a job that can't be stopped."""

Table = dict[str, dict[str, ResourceVector]]
"""Amounts by workspace and worker."""


def _add(table: Table, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
    row = table.setdefault(workspace, {})
    for worker, amount in amounts.items():
        row[worker] = add(row.get(worker, ZERO), amount)


class GuaranteeAllocator:
    """Tells which room is promised to whom.

    On each worker a workspace keeps the larger of its homes and its firm work, which is work
    that can't be stopped for others. What is left beside all of them is spare.
    """

    def __init__(self) -> None:
        self.allocations: dict[tuple, GuaranteeAllocation] = {}
        self.instances: tuple[GuaranteeInstance, ...] = ()
        self.uncommitted: dict[str, ResourceVector] = {}
        self._capacity: dict[str, ResourceVector] = {}
        self._rack_by_id: dict[str, str] = {}
        self._allocations_by_workspace: dict[str, list[GuaranteeAllocation]] = {}
        self._allocated: Table = {}
        self._non_preemptible: Table = {}
        self._workspaces_by_worker: dict[str, set[str]] = {}

    @property
    def complete(self) -> bool:
        """Whether every unit has a home."""
        return len(self.allocations) == len(self.instances)

    def reallocate(
        self,
        units: tuple[GuaranteeInstance, ...],
        capacity: dict[str, ResourceVector],
        rack_by_id: dict[str, str],
        firm: Iterable[NonPreemptibleWork],
    ) -> None:
        """Find homes on usable workers, keeping those that still hold.

        :param units: units that the zone holds, hardest first.
        :param capacity: resources of each usable worker.
        :param rack_by_id: rack of each usable worker.
        :param firm: work that runs and can't be stopped.
        """
        firm = list(firm)
        self.instances, self._capacity, self._rack_by_id = units, capacity, rack_by_id
        usual = allocate(units, dict(capacity), rack_by_id)
        previous = self.allocations if firm else {}
        wanted = [previous.get(unit.key) or usual.get(unit.key) for unit in units]
        self._install(retain_fitting([h for h in wanted if h is not None], dict(capacity)), firm)
        self._install(
            {k: h for k, h in self.allocations.items() if not self._overcommitted(h)}, firm
        )
        while found := self._missing_allocations(firm):
            self._install(self.allocations | found, firm)

    def _install(
        self, homes: dict[tuple, GuaranteeAllocation], firm: Iterable[NonPreemptibleWork]
    ) -> None:
        self.allocations = homes
        self._allocations_by_workspace, self._allocated, self._non_preemptible = {}, {}, {}
        for home in homes.values():
            workspace = home.guarantee_instance.workspace
            self._allocations_by_workspace.setdefault(workspace, []).append(home)
            _add(self._allocated, workspace, home.resources_by_worker)
        for workspace, _, amounts in firm:
            _add(self._non_preemptible, workspace, amounts)
        self._workspaces_by_worker = {}
        for table in (self._allocated, self._non_preemptible):
            for workspace, row in table.items():
                for worker in row:
                    self._workspaces_by_worker.setdefault(worker, set()).add(workspace)
        self.uncommitted = {}
        for worker in self._capacity:
            self._update_spare(worker)

    def _overcommitted(self, home: GuaranteeAllocation) -> bool:
        """Tell whether firm work of others lies on a home."""
        return any(not fits(ZERO, self.uncommitted[worker]) for worker in home.resources_by_worker)

    def _missing_allocations(
        self, firm: Iterable[NonPreemptibleWork]
    ) -> dict[tuple, GuaranteeAllocation]:
        """Find homes for the units that have none; a claim that lies in no home has its unit."""
        served = Counter(
            (w, g) for w, g, amounts in firm if g and not self._within_allocations(w, amounts)
        )
        room = dict(self.uncommitted)
        found = {}
        for unit in self.instances:
            if unit.key in self.allocations:
                continue
            if served[unit.key[:2]] > 0:
                served[unit.key[:2]] -= 1
                continue
            home = find_allocation(unit, room, self._rack_by_id)
            if home is not None:
                found[unit.key] = home
                deduct(home, room)
        return found

    def _within_allocations(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> bool:
        row = self._allocated.get(workspace, {})
        return all(worker in row for worker in amounts)

    def _update_spare(self, worker: str) -> None:
        left = self._capacity[worker]
        for workspace in self._workspaces_by_worker.get(worker, ()):
            kept = self._allocated.get(workspace, {}).get(worker, ZERO)
            used = self._non_preemptible.get(workspace, {}).get(worker, ZERO)
            left = subtract(left, maximum(kept, used))
        self.uncommitted[worker] = left

    def add_non_preemptible(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
        """Count work that can't be stopped."""
        _add(self._non_preemptible, workspace, amounts)
        for worker in amounts:
            self._workspaces_by_worker.setdefault(worker, set()).add(workspace)
            if worker in self._capacity:
                self._update_spare(worker)

    def remove_non_preemptible(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
        """Undo :meth:`add_non_preemptible`."""
        row = self._non_preemptible[workspace]
        for worker, amount in amounts.items():
            row[worker] = subtract(row[worker], amount)
            if worker in self._capacity:
                self._update_spare(worker)

    def allocations_of(self, workspace: str) -> list[GuaranteeAllocation]:
        """Return the homes of a workspace."""
        return self._allocations_by_workspace.get(workspace, [])

    def unclaimed(self, workspace: str, worker: str) -> ResourceVector:
        """Return what the workspace's homes on a worker have left beside its firm work."""
        kept = self._allocated.get(workspace, {}).get(worker)
        if kept is None:
            return ZERO
        return maximum(
            ZERO, subtract(kept, self._non_preemptible.get(workspace, {}).get(worker, ZERO))
        )

    def claimable(self, home: GuaranteeAllocation) -> dict[str, ResourceVector]:
        """Return what a home has left on each of its workers."""
        workspace = home.guarantee_instance.workspace
        return {
            w: minimum(a, self.unclaimed(workspace, w)) for w, a in home.resources_by_worker.items()
        }

    def non_preemptible_limit(self, workspace: str, worker: str) -> ResourceVector:
        """Return what work that can't be stopped may take on a worker."""
        spare = self.uncommitted[worker]
        if worker not in self._allocated.get(workspace, {}):
            return spare
        return add(spare, self.unclaimed(workspace, worker))

    def non_preemptible_capacity(self, workspace: str, worker: str) -> ResourceVector:
        """Return what a worker without any job would let such work take."""
        left = self._capacity[worker]
        for other in self._workspaces_by_worker.get(worker, ()):
            if other != workspace:
                left = subtract(left, self._allocated.get(other, {}).get(worker, ZERO))
        return left
