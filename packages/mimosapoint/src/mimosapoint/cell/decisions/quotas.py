"""Quotas of workspaces: what each uses on all workers, and what it may start."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum

import attrs

from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import CellConfiguration, CellWorkspace, ResourceAmounts

__all__ = ["RESOURCE_NAMES", "PossibleUse", "QuotaLedger", "QuotaObstacle", "QuotaReason"]

RESOURCE_NAMES = ("cpu_millis", "memory_mb", "accelerators")
"""Fields of resource amounts, which are the dimensions of a cap."""


NOTHING = ResourceAmounts()


class QuotaReason(Enum):
    """Reason why the quota of a workspace does not admit a start."""

    RUNS_UNKNOWN = "quota-unknown"
    """The quota admits the unit only if runs that are not known yet do not belong to it."""
    NEVER_FITS = "quota-never-fits"
    """The unit alone exceeds the cap."""
    EXHAUSTED = "quota"
    """The unit and the present use together exceed the cap."""


@attrs.frozen
class QuotaObstacle:
    """Why the quota of a workspace does not admit a start, with the figures.

    :param reason: the reason.
    :param workspace: the workspace.
    :param resource: first dimension of the cap that would be exceeded; empty if the use has no
        bound.
    :param used: use of the workspace in this dimension, including planned starts.
    :param cap: cap in this dimension.
    :param needed: what the unit needs in this dimension.
    :param possible: what runs that are not known may use in this dimension.
    """

    reason: QuotaReason
    workspace: str
    resource: str = ""
    used: int = 0
    cap: int = 0
    needed: int = 0
    possible: int = 0

    @property
    def detail(self) -> str:
        """Human-readable details."""
        unknown = f"runs that may belong to workspace {self.workspace} are not known yet"
        if not self.resource:
            return unknown
        figures = (
            f"needs {self.needed} {self.resource}; "
            f"workspace {self.workspace} uses {self.used} of its cap of {self.cap}"
        )
        if self.reason is QuotaReason.RUNS_UNKNOWN:
            return f"{figures}; {unknown}, of up to {self.possible}"
        return figures


@attrs.frozen
class PossibleUse:
    """Bound of what runs that are not known use, beyond the known ones.

    :param by_workspace: bound for each workspace.
    :param of_any: what runs of unknown jobs use, which may belong to any workspace.
    :param is_bounded: whether there is a bound at all.
    """

    by_workspace: Mapping[str, ResourceAmounts] = attrs.field(factory=dict)
    of_any: ResourceAmounts = NOTHING
    is_bounded: bool = True

    def of(self, workspace: str) -> ResourceAmounts:
        """Return the bound for a workspace."""
        return self.by_workspace.get(workspace, NOTHING) + self.of_any


class QuotaLedger:
    """Use and caps of the workspaces during one decision.

    The use covers runs that exist or may exist on any worker, also on unusable ones, and the
    starts that were planned with :meth:`add` or :meth:`add_unit`.

    :param capped_workspaces: workspaces with a cap, by name.
    :param used_by_workspace: their use.
    :param possible_use: what runs that are not known may use.
    """

    def __init__(
        self,
        capped_workspaces: Mapping[str, CellWorkspace] | None = None,
        used_by_workspace: dict[str, ResourceAmounts] | None = None,
        possible_use: PossibleUse | None = None,
    ):
        self._capped_workspaces = capped_workspaces or {}
        self._used_by_workspace = used_by_workspace if used_by_workspace is not None else {}
        self._obstacles_by_demand: dict[tuple[str, ResourceAmounts, int], QuotaObstacle] = {}
        self._admitted_by_workspace: dict[str, set[tuple[str, ResourceAmounts, int]]] = {}
        self._possible_use = possible_use or PossibleUse()

    @classmethod
    def from_workers(
        cls,
        workers: Iterable[Worker],
        configuration: CellConfiguration,
        possible_use: PossibleUse | None = None,
    ) -> QuotaLedger:
        """Return the ledger of the runs on all known workers.

        A run of an unknown job may belong to any workspace, and occupies at most what the other
        runs leave of its worker.

        :param workers: all workers, also unusable ones.
        :param configuration: configuration in force.
        :param possible_use: what runs that are not known may use.
        """
        if not configuration.capped_workspaces and not configuration.weights_by_workspace:
            return cls()
        # Plain numbers: sums of ResourceAmounts take three times as long on a large fleet.
        sums: dict[str, list[int]] = {}
        possible_use = possible_use or PossibleUse()
        for worker in workers:
            if None in worker.used_by_workspace:
                of_any = possible_use.of_any + worker.capacity_of_unknown_jobs
                possible_use = attrs.evolve(possible_use, of_any=of_any)
            for workspace, used in worker.used_by_workspace.items():
                if workspace is None:
                    continue
                total = sums.get(workspace)
                if total is None:
                    total = sums[workspace] = [0, 0, 0]
                total[0] += used.cpu_millis
                total[1] += used.memory_mb
                total[2] += used.accelerators
        totals = {workspace: ResourceAmounts(*total) for workspace, total in sums.items()}
        return cls(configuration.capped_workspaces, totals, possible_use)

    def obstacle(
        self,
        workspace: str,
        amounts: ResourceAmounts,
        freed: ResourceAmounts = NOTHING,
    ) -> QuotaObstacle | None:
        """Return why the workspace may not start the amounts; ``None`` if it may.

        :param workspace: the workspace.
        :param amounts: total of all tasks of the unit.
        :param freed: part of the use that is assumed to have ended.
        """
        capped = self._capped_workspaces.get(workspace)
        if capped is None:
            return None
        never_fits = self._find_exceeded(QuotaReason.NEVER_FITS, capped, ResourceAmounts(), amounts)
        if never_fits is not None:
            return attrs.evolve(never_fits, used=getattr(self.used(workspace), never_fits.resource))
        if not self._possible_use.is_bounded:
            return QuotaObstacle(QuotaReason.RUNS_UNKNOWN, workspace)
        used = self.used(workspace) - freed
        exhausted = self._find_exceeded(QuotaReason.EXHAUSTED, capped, used, amounts)
        if exhausted is not None:
            return exhausted
        possible = self._possible_use.of(workspace)
        unknown = self._find_exceeded(QuotaReason.RUNS_UNKNOWN, capped, used + possible, amounts)
        if unknown is None:
            return None
        more = getattr(possible, unknown.resource)
        return attrs.evolve(unknown, used=unknown.used - more, possible=more)

    def find_obstacle(self, unit: Unit) -> QuotaObstacle | None:
        """Return why the quota of its workspace does not admit a unit; ``None`` if it does.

        Equal units are checked once: the use only grows within a decision, so that an obstacle
        remains, and the quota admits a unit until the use of its workspace grows.
        """
        workspace = unit.job.record.tenant
        if workspace not in self._capped_workspaces:
            return None
        demand = (workspace, unit.step.amounts, unit.size)
        admitted = self._admitted_by_workspace.setdefault(workspace, set())
        if demand in admitted:
            return None
        obstacle = self._obstacles_by_demand.get(demand)
        if obstacle is None:
            obstacle = self.obstacle(workspace, unit.step.amounts.scaled(unit.size))
            if obstacle is None:
                admitted.add(demand)
            else:
                self._obstacles_by_demand[demand] = obstacle
        return obstacle

    def add_unit(self, unit: Unit) -> None:
        """Add a unit that starts, or for which capacity is held."""
        self.add(unit.job.record.tenant, unit.step.amounts.scaled(unit.size))

    def add(self, workspace: str, amounts: ResourceAmounts) -> None:
        """Add to the use of a workspace."""
        self._used_by_workspace[workspace] = self.used(workspace) + amounts
        self._admitted_by_workspace.pop(workspace, None)

    def used(self, workspace: str) -> ResourceAmounts:
        """Return what a workspace uses."""
        return self._used_by_workspace.get(workspace, ResourceAmounts())

    def is_exceeded(self, workspace: str, amounts: ResourceAmounts) -> bool:
        """Return whether the use exceeds the cap in a dimension that the amounts need.

        :param workspace: the workspace.
        :param amounts: amounts that the use includes already.
        """
        if workspace not in self._capped_workspaces:
            return False
        used = self.used(workspace) + self._possible_use.of(workspace)
        return not self._possible_use.is_bounded or any(
            getattr(amounts, name) and getattr(used, name) > limit
            for name, limit in self._limits(workspace)
        )

    def capped_use(self) -> Iterator[tuple[CellWorkspace, ResourceAmounts]]:
        """Yield the workspaces with a cap and their use."""
        for name, workspace in self._capped_workspaces.items():
            yield workspace, self.used(name)

    def _limits(self, workspace: str) -> Iterator[tuple[str, int]]:
        capped = self._capped_workspaces.get(workspace)
        for name in RESOURCE_NAMES if capped is not None else ():
            limit = getattr(capped.cap, name)
            if limit:
                yield name, limit

    def _find_exceeded(
        self,
        reason: QuotaReason,
        workspace: CellWorkspace,
        used: ResourceAmounts,
        amounts: ResourceAmounts,
    ) -> QuotaObstacle | None:
        """Return the first dimension in which the start would exceed the cap.

        A dimension that the start does not need does not block it: it cannot raise the use there.
        """
        for name, limit in self._limits(workspace.name):
            needed = getattr(amounts, name)
            if needed and getattr(used, name) + needed > limit:
                return QuotaObstacle(
                    reason, workspace.name, name, getattr(used, name), limit, needed
                )
        return None
