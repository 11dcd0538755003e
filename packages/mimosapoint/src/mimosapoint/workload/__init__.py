"""Jobs of several steps: what callers submit, how far it has come, and the queues it waits in."""

from mimosapoint.workload.catalog import FIRST_PRIORITY, Catalog, Queue, Tenant
from mimosapoint.workload.core import (
    Amounts,
    JobRecord,
    Phase,
    RunEnd,
    Schedule,
    Step,
    TaskId,
    UnitId,
)
from mimosapoint.workload.progress import JobProgress

__all__ = [
    "FIRST_PRIORITY",
    "Amounts",
    "Catalog",
    "JobProgress",
    "JobRecord",
    "Phase",
    "Queue",
    "RunEnd",
    "Schedule",
    "Step",
    "TaskId",
    "Tenant",
    "UnitId",
]
