"""Services and workspaces that use so little that no job of theirs needs to wait."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mimosapoint.cell.decisions.quotas import RESOURCE_NAMES, QuotaLedger
from mimosapoint.cell.decisions.units import Job, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import CellConfiguration, ResourceAmounts

__all__ = ["AmpleRoom", "stands_still"]


def stands_still(job: Job) -> bool:
    """Return whether a job that has not ended has no runs on workers."""
    return not any(unit.task_runs_by_task for unit in job.units_by_id.values())


class AmpleRoom:
    """Finds units whose service and workspace use less than half of what they may.

    A job that stands still there for long is taken for lost by its caller, whatever it waits for.

    :param workers: the usable workers.
    :param configuration: configuration in force.
    :param quotas: use of the capped workspaces, before anything is planned.
    """

    def __init__(
        self, workers: Iterable[Worker], configuration: CellConfiguration, quotas: QuotaLedger
    ):
        self._configuration = configuration
        self._pools = _pools_under_half(workers)
        self._has_quota_by_workspace: Mapping[str, bool] = {
            workspace.name: _is_under_half(used, workspace.cap)
            for workspace, used in quotas.capped_use()
        }

    def __bool__(self) -> bool:
        return bool(self._pools)

    def includes(self, unit: Unit) -> bool:
        """Return whether the service and the workspace of a unit use less than half."""
        record = unit.job.record
        if self._configuration.pool_of(record) not in self._pools:
            return False
        return self._has_quota_by_workspace.get(record.tenant, True)


def _pools_under_half(workers: Iterable[Worker]) -> set[str]:
    """Return the services that use less than half of each resource of their workers."""
    # Plain numbers: sums of ResourceAmounts take three times as long on a large fleet.
    unused_by_pool: dict[str, list[int]] = {}
    for worker in workers:
        unused = unused_by_pool.setdefault(worker.registration.pool, [0, 0, 0])
        capacity, used = worker.registration.capacity, worker.used
        unused[0] += capacity.cpu_millis - 2 * used.cpu_millis
        unused[1] += capacity.memory_mb - 2 * used.memory_mb
        unused[2] += capacity.accelerators - 2 * used.accelerators
    # There are services without accelerators.
    return {
        pool
        for pool, (cpu_millis, memory_mb, accelerators) in unused_by_pool.items()
        if cpu_millis > 0 and memory_mb > 0 and accelerators >= 0
    }


def _is_under_half(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    """Return whether less than half is used of each resource that is limited."""
    return all(
        2 * getattr(used, name) < getattr(limit, name)
        for name in RESOURCE_NAMES
        if getattr(limit, name)
    )
