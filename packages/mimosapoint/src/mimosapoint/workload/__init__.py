"""Multi-step jobs, their progress, and the cell configuration that applies to them."""

from mimosapoint.workload.cell_configuration import (
    URGENT_PRIORITY,
    CellConfiguration,
    CellWorkspace,
    Queue,
)
from mimosapoint.workload.core import (
    AcceptedJob,
    Phase,
    ResourceAmounts,
    RunEnd,
    Schedule,
    Step,
    TaskId,
    UnitId,
)
from mimosapoint.workload.crashes import WorkerCrash, has_evidence, is_suspect
from mimosapoint.workload.progress import JobProgress
from mimosapoint.workload.starts import UnitStart
from mimosapoint.workload.validation import MAX_JOB_TASKS, check_job, check_progress, task_total

__all__ = [
    "MAX_JOB_TASKS",
    "URGENT_PRIORITY",
    "ResourceAmounts",
    "CellConfiguration",
    "JobProgress",
    "AcceptedJob",
    "Phase",
    "Queue",
    "RunEnd",
    "Schedule",
    "Step",
    "TaskId",
    "CellWorkspace",
    "UnitId",
    "UnitStart",
    "WorkerCrash",
    "check_job",
    "check_progress",
    "has_evidence",
    "is_suspect",
    "task_total",
]
