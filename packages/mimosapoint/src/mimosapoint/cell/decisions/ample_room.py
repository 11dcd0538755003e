"""Services and workspaces that use so little that no job of theirs needs to wait."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from mimosapoint.cell.decisions.quotas import RESOURCE_NAMES, QuotaLedger
from mimosapoint.cell.decisions.units import Job, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import CellConfiguration, ResourceAmounts

__all__ = ["AmpleRoom", "stands_still"]

MAX_UPDATE_GAP = timedelta(seconds=3)
"""Time without an update after which nothing is known of the use in between. While units may start,
decisions are at most a second apart."""


def stands_still(job: Job) -> bool:
    """Return whether a job that has not ended has no runs on workers."""
    return not any(unit.task_runs_by_task for unit in job.units_by_id.values())


class AmpleRoom:
    """Tracks since when services and workspaces use less than half of what they may.

    A job that stands still there for long is taken for lost by its caller, whatever it waits for.
    """

    def __init__(self) -> None:
        self._configuration: CellConfiguration | None = None
        self._updated_at: datetime | None = None
        self._since_by_pool: dict[str, datetime] = {}
        self._since_by_workspace: dict[str, datetime] = {}

    def update(
        self,
        workers: Iterable[Worker],
        configuration: CellConfiguration,
        quotas: QuotaLedger,
        now: datetime,
    ) -> None:
        """Take the present use into account.

        :param workers: the workers that make up the services.
        :param configuration: configuration in force.
        :param quotas: use of the capped workspaces, before anything is planned.
        :param now: present time.
        """
        self._configuration = configuration
        if self._updated_at is not None and now - self._updated_at > MAX_UPDATE_GAP:
            self._since_by_pool, self._since_by_workspace = {}, {}
        self._updated_at = now
        pools = _pools_under_half(workers)
        self._since_by_pool = {pool: self._since_by_pool.get(pool, now) for pool in pools}
        self._since_by_workspace = {
            workspace.name: self._since_by_workspace.get(workspace.name, now)
            for workspace, used in quotas.capped_use()
            if _is_under_half(used, workspace.cap)
        }

    def __bool__(self) -> bool:
        return bool(self._since_by_pool)

    def since(self, unit: Unit) -> datetime | None:
        """Return since when both the service and the workspace of a unit use less than half.

        :return: ``None`` if one of them does not.
        """
        record = unit.job.record
        since = self._since_by_pool.get(self._configuration.pool_of(record))
        if since is None or record.tenant not in self._configuration.capped_workspaces:
            return since
        workspace_since = self._since_by_workspace.get(record.tenant)
        return max(since, workspace_since) if workspace_since is not None else None


def _pools_under_half(workers: Iterable[Worker]) -> set[str]:
    """Return the services that use less than half of each resource of their workers."""
    # Plain numbers: sums of ResourceAmounts take three times as long on a large fleet.
    sums_by_pool: dict[str, tuple[list[int], list[int]]] = {}
    for worker in workers:
        in_use, total = sums_by_pool.setdefault(worker.registration.pool, ([0] * 3, [0] * 3))
        used, capacity = worker.used, worker.registration.capacity
        # A run of an unknown job is assumed to occupy more than any worker has.
        in_use[0] += min(used.cpu_millis, capacity.cpu_millis)
        in_use[1] += min(used.memory_mb, capacity.memory_mb)
        in_use[2] += min(used.accelerators, capacity.accelerators)
        total[0] += capacity.cpu_millis
        total[1] += capacity.memory_mb
        total[2] += capacity.accelerators
    return {
        pool
        for pool, (used, capacity) in sums_by_pool.items()
        if _is_under_half(ResourceAmounts(*used), ResourceAmounts(*capacity))
    }


def _is_under_half(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    """Return whether less than half is used of each resource that is limited."""
    return all(
        2 * getattr(used, name) < getattr(limit, name)
        for name in RESOURCE_NAMES
        if getattr(limit, name)
    )
