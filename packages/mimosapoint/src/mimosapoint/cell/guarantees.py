"""Which urgent jobs the accelerators guaranteed to their workspaces cover."""

from collections.abc import Iterable

from mimosapoint.cell.units import Job
from mimosapoint.workload import URGENT_PRIORITY, AcceptedJob, CellConfiguration

__all__ = ["covered_jobs"]


def covered_jobs(jobs: Iterable[Job], catalog: CellConfiguration) -> frozenset[str]:
    """Return the ids of the urgent jobs that a guarantee covers.

    The jobs of a workspace are covered in the order in which they were accepted, as far as its
    guarantee reaches; one that needs more than what is left of it is passed over.

    :param jobs: jobs that have not ended.
    """
    left_by_tenant = {tenant.name: tenant.guaranteed_accelerators for tenant in catalog.tenants}
    urgent = [job for job in jobs if catalog.priority_of(job.record) == URGENT_PRIORITY]
    covered = set()
    for job in sorted(urgent, key=lambda job: job.accepted_rev):
        need = accelerators_of(job.record)
        if need and need <= left_by_tenant.get(job.record.tenant, 0):
            left_by_tenant[job.record.tenant] -= need
            covered.add(job.record.id)
    return frozenset(covered)


def accelerators_of(record: AcceptedJob) -> int:
    """Return the accelerators that the job's largest step needs."""
    return max(step.count * step.amounts.accelerators for step in record.steps)
