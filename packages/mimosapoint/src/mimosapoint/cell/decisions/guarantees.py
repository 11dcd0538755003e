"""Assignment of guaranteed accelerators to the urgent jobs of each workspace."""

from collections.abc import Iterable

from mimosapoint.cell.decisions.units import Job
from mimosapoint.workload import URGENT_PRIORITY, AcceptedJob, CellConfiguration

__all__ = ["covered_jobs"]


def covered_jobs(jobs: Iterable[Job], configuration: CellConfiguration) -> frozenset[str]:
    """Return the ids of the urgent jobs that a guarantee covers.

    The jobs of a workspace are covered in order of acceptance while its guarantee suffices. A job
    that needs more than the unclaimed rest, or no accelerators, is skipped.

    :param jobs: jobs that have not ended.
    :param configuration: configuration in force.
    """
    unclaimed_by_workspace = {
        tenant.name: tenant.guaranteed_accelerators for tenant in configuration.tenants
    }
    urgent = [job for job in jobs if configuration.priority_of(job.record) == URGENT_PRIORITY]
    covered = set()
    for job in sorted(urgent, key=lambda job: job.accepted_rev):
        needed = max_step_accelerators(job.record)
        if needed and needed <= unclaimed_by_workspace.get(job.record.tenant, 0):
            unclaimed_by_workspace[job.record.tenant] -= needed
            covered.add(job.record.id)
    return frozenset(covered)


def max_step_accelerators(record: AcceptedJob) -> int:
    """Return the number of accelerators that the job's largest step needs."""
    return max(step.count * step.amounts.accelerators for step in record.steps)
