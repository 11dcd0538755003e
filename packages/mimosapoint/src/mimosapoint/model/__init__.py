"""Data classes shared by the subpackages."""

from mimosapoint.model.job import (
    Adjacency,
    Checkpoint,
    JobClass,
    JobRecord,
    JobRequest,
    JobState,
    JobView,
    Placement,
    task_id,
)
from mimosapoint.model.outcome import Cancelled, Failed, MayHaveRun, NotRun, Outcome, Succeeded
from mimosapoint.model.resources import Resources
from mimosapoint.model.vm import Vm, VmKind, VmState
from mimosapoint.model.worker import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    StartRequest,
    StopMode,
    StopRequest,
    TaskOutput,
    TaskReport,
    TaskSpec,
    TaskState,
    ThrottleRequest,
    WorkerReport,
)

__all__ = [
    "Adjacency",
    "Cancelled",
    "Checkpoint",
    "CollectRequest",
    "Failed",
    "JobClass",
    "JobRecord",
    "JobRequest",
    "JobState",
    "JobView",
    "LeaseRequest",
    "MayHaveRun",
    "NotRun",
    "Outcome",
    "Placement",
    "ReserveRequest",
    "Resources",
    "StartRequest",
    "StopMode",
    "StopRequest",
    "Succeeded",
    "TaskOutput",
    "TaskReport",
    "TaskSpec",
    "TaskState",
    "ThrottleRequest",
    "Vm",
    "VmKind",
    "VmState",
    "WorkerReport",
    "task_id",
]
