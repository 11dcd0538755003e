"""Guarantee allocations and non-preemptible work of an availability zone."""

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
"""Workspace, claimed guarantee and resources by worker of a non-preemptible job."""

Table = dict[str, dict[str, ResourceVector]]
"""Resources by workspace and worker."""


def _add(table: Table, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
    row = table.setdefault(workspace, {})
    for worker, amount in amounts.items():
        row[worker] = add(row.get(worker, ZERO), amount)


class GuaranteeAllocator:
    """Assigns guarantee allocations to workers and tracks what is committed to each workspace.

    On each worker, the maximum of a workspace's allocations and its non-preemptible work is
    committed to it. The capacity left after all workspaces is uncommitted.
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
        """Whether every guarantee instance has an allocation."""
        return len(self.allocations) == len(self.instances)

    def reallocate(
        self,
        instances: tuple[GuaranteeInstance, ...],
        capacity: dict[str, ResourceVector],
        rack_by_id: dict[str, str],
        non_preemptible: Iterable[NonPreemptibleWork],
    ) -> None:
        """Compute the allocations on the usable workers.

        While non-preemptible work runs, present allocations are kept where they still fit. An
        allocation on a worker that is committed beyond its capacity is dropped.
        Instances without an allocation then get one in the uncommitted capacity.

        :param instances: guarantee instances of the zone, hardest to place first.
        :param capacity: resources of each usable worker.
        :param rack_by_id: rack of each usable worker.
        :param non_preemptible: non-preemptible work that runs.
        """
        non_preemptible = list(non_preemptible)
        self.instances, self._capacity, self._rack_by_id = instances, capacity, rack_by_id
        recomputed = allocate(instances, dict(capacity), rack_by_id)
        previous = self.allocations if non_preemptible else {}
        candidates = [
            previous.get(instance.key) or recomputed.get(instance.key) for instance in instances
        ]
        self._install(
            retain_fitting(
                [allocation for allocation in candidates if allocation is not None], dict(capacity)
            ),
            non_preemptible,
        )
        self._install(
            {
                key: allocation
                for key, allocation in self.allocations.items()
                if not self._overcommitted(allocation)
            },
            non_preemptible,
        )
        while found := self._missing_allocations(non_preemptible):
            self._install(self.allocations | found, non_preemptible)

    def _install(
        self,
        allocations: dict[tuple, GuaranteeAllocation],
        non_preemptible: Iterable[NonPreemptibleWork],
    ) -> None:
        self.allocations = allocations
        self._allocations_by_workspace, self._allocated, self._non_preemptible = {}, {}, {}
        for allocation in allocations.values():
            workspace = allocation.guarantee_instance.workspace
            self._allocations_by_workspace.setdefault(workspace, []).append(allocation)
            _add(self._allocated, workspace, allocation.resources_by_worker)
        for workspace, _, amounts in non_preemptible:
            _add(self._non_preemptible, workspace, amounts)
        self._workspaces_by_worker = {}
        for table in (self._allocated, self._non_preemptible):
            for workspace, row in table.items():
                for worker in row:
                    self._workspaces_by_worker.setdefault(worker, set()).add(workspace)
        self.uncommitted = {}
        for worker in self._capacity:
            self._update_uncommitted(worker)

    def _overcommitted(self, allocation: GuaranteeAllocation) -> bool:
        """Return whether a worker of the allocation is committed beyond its capacity."""
        return any(
            not fits(ZERO, self.uncommitted[worker]) for worker in allocation.resources_by_worker
        )

    def _missing_allocations(
        self, non_preemptible: Iterable[NonPreemptibleWork]
    ) -> dict[tuple, GuaranteeAllocation]:
        """Return allocations for the instances that have none, as far as they fit.

        A running claim outside the allocations already serves one instance of its guarantee.
        """
        outside_claims = Counter(
            (workspace, guarantee)
            for workspace, guarantee, amounts in non_preemptible
            if guarantee and not self._within_allocations(workspace, amounts)
        )
        uncommitted = dict(self.uncommitted)
        found = {}
        for instance in self.instances:
            if instance.key in self.allocations:
                continue
            if outside_claims[instance.key[:2]] > 0:
                outside_claims[instance.key[:2]] -= 1
                continue
            allocation = find_allocation(instance, uncommitted, self._rack_by_id)
            if allocation is not None:
                found[instance.key] = allocation
                deduct(allocation, uncommitted)
        return found

    def _within_allocations(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> bool:
        row = self._allocated.get(workspace, {})
        return all(worker in row for worker in amounts)

    def _update_uncommitted(self, worker: str) -> None:
        uncommitted = self._capacity[worker]
        for workspace in self._workspaces_by_worker.get(worker, ()):
            allocated = self._allocated.get(workspace, {}).get(worker, ZERO)
            used = self._non_preemptible.get(workspace, {}).get(worker, ZERO)
            uncommitted = subtract(uncommitted, maximum(allocated, used))
        self.uncommitted[worker] = uncommitted

    def add_non_preemptible(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
        """Count non-preemptible work of a workspace."""
        _add(self._non_preemptible, workspace, amounts)
        for worker in amounts:
            self._workspaces_by_worker.setdefault(worker, set()).add(workspace)
            if worker in self._capacity:
                self._update_uncommitted(worker)

    def remove_non_preemptible(self, workspace: str, amounts: Mapping[str, ResourceVector]) -> None:
        """Undo :meth:`add_non_preemptible`."""
        row = self._non_preemptible[workspace]
        for worker, amount in amounts.items():
            row[worker] = subtract(row[worker], amount)
            if worker in self._capacity:
                self._update_uncommitted(worker)

    def allocations_of(self, workspace: str) -> list[GuaranteeAllocation]:
        """Return the allocations of a workspace."""
        return self._allocations_by_workspace.get(workspace, [])

    def unclaimed(self, workspace: str, worker: str) -> ResourceVector:
        """Return a workspace's allocations on a worker less its non-preemptible work."""
        allocated = self._allocated.get(workspace, {}).get(worker)
        if allocated is None:
            return ZERO
        return maximum(
            ZERO, subtract(allocated, self._non_preemptible.get(workspace, {}).get(worker, ZERO))
        )

    def claimable(self, allocation: GuaranteeAllocation) -> dict[str, ResourceVector]:
        """Return the unclaimed resources of an allocation on each of its workers."""
        workspace = allocation.guarantee_instance.workspace
        return {
            worker: minimum(amount, self.unclaimed(workspace, worker))
            for worker, amount in allocation.resources_by_worker.items()
        }

    def non_preemptible_limit(self, workspace: str, worker: str) -> ResourceVector:
        """Return what non-preemptible work of the workspace may still take on a worker.

        It is the uncommitted capacity and the unclaimed allocations of the workspace itself.
        """
        uncommitted = self.uncommitted[worker]
        if worker not in self._allocated.get(workspace, {}):
            return uncommitted
        return add(uncommitted, self.unclaimed(workspace, worker))

    def non_preemptible_capacity(self, workspace: str, worker: str) -> ResourceVector:
        """Return what non-preemptible work of the workspace could take on an empty worker."""
        left = self._capacity[worker]
        for other in self._workspaces_by_worker.get(worker, ()):
            if other != workspace:
                left = subtract(left, self._allocated.get(other, {}).get(worker, ZERO))
        return left
