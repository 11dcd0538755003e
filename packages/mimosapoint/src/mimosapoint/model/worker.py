"""Messages between the owner of an availability zone and its workers."""

from enum import Enum
from typing import Any

import attrs

from mimosapoint.model.resources import Resources

__all__ = [
    "CollectRequest",
    "LeaseRequest",
    "ReserveRequest",
    "StartRequest",
    "StopMode",
    "StopRequest",
    "TaskOutput",
    "TaskReport",
    "TaskSpec",
    "TaskState",
    "ThrottleRequest",
    "WorkerReport",
]


class TaskState(Enum):
    """Stage of a task on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


class StopMode(Enum):
    """How a task is stopped."""

    CHECKPOINT = "checkpoint"
    DISCARD = "discard"


@attrs.frozen
class TaskSpec:
    """A task to reserve room for and to run.

    :param id: id of the task; starts are idempotent by it.
    :param workspace: id of the workspace.
    :param service: id of the service.
    :param shape: resources that the task may use.
    :param index: position of the task in its gang.
    :param gang: number of tasks of the gang.
    :param payload: input of the task; a JSON value.
    :param checkpoint: checkpoint to resume from.
    :param progress: seconds of work kept in that checkpoint.
    :param trace: trace context of the request, as in the ``traceparent`` header.
    """

    id: str
    workspace: str
    service: str
    shape: Resources
    index: int
    gang: int
    payload: Any = None
    checkpoint: str | None = None
    progress: float = 0.0
    trace: str | None = None


@attrs.frozen
class LeaseRequest:
    """Takes or renews the lease on a worker and on every task that runs there.

    :param holder: id of the node.
    :param zone: availability zone of the worker.
    :param epoch: epoch of the holder; a lower one than the worker has seen is refused.
    :param ttl: seconds after which the worker stops its tasks unless renewed.
    :param wait: seconds to hold the reply until the report differs from the one that was seen.
    :param seen: revision of the last report that the holder has.
    """

    holder: str
    zone: str
    epoch: int
    ttl: float
    wait: float = 0.0
    seen: int = -1


@attrs.frozen
class ReserveRequest:
    """Reserves room for tasks; all of them or none.

    :param epoch: epoch of the holder.
    :param tasks: tasks to reserve for; a task that is known already is confirmed.
    :param ttl: seconds after which an unused reservation lapses.
    """

    epoch: int
    tasks: tuple[TaskSpec, ...]
    ttl: float


@attrs.frozen
class StartRequest:
    """Starts reserved tasks; refused as a whole when a reservation has lapsed.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks; one that already runs or has ended is confirmed.
    """

    epoch: int
    tasks: tuple[str, ...]


@attrs.frozen
class StopRequest:
    """Stops tasks and releases reservations; a task that is unknown is barred from starting.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks.
    :param mode: whether to checkpoint first.
    """

    epoch: int
    tasks: tuple[str, ...]
    mode: StopMode = StopMode.DISCARD


@attrs.frozen
class ThrottleRequest:
    """Limits the share of resources that tasks get.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks.
    :param share: share of the declared shape, above 0 and up to 1.
    """

    epoch: int
    tasks: tuple[str, ...]
    share: float


@attrs.frozen
class CollectRequest:
    """Names ended tasks whose output is wanted or may be dropped.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks.
    """

    epoch: int
    tasks: tuple[str, ...]


@attrs.frozen
class TaskReport:
    """State of a task as its worker reports it.

    :param id: id of the task.
    :param state: stage of the task.
    :param used: resources in use, reported with a lag; ``None`` when not known yet.
    :param progress: seconds of work done.
    :param checkpoint: name of the last checkpoint.
    """

    id: str
    state: TaskState
    used: Resources | None = None
    progress: float = 0.0
    checkpoint: str | None = None


@attrs.frozen
class TaskOutput:
    """Output of an ended task.

    :param id: id of the task.
    :param state: how it ended.
    :param output: output of the task; a JSON value.
    :param detail: what went wrong, for people.
    """

    id: str
    state: TaskState
    output: Any = None
    detail: str = ""


@attrs.frozen
class WorkerReport:
    """What a worker answers to each command.

    :param worker: id of the worker.
    :param capacity: resources of the worker.
    :param tasks: tasks that the worker knows and that are not acknowledged.
    :param boot: id of this run of the worker; another one means that it forgot its tasks.
    :param revision: number of the state that is reported, rising within a boot.
    """

    worker: str
    capacity: Resources
    tasks: tuple[TaskReport, ...] = ()
    boot: str = ""
    revision: int = 0
