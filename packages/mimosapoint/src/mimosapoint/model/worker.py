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
    """State of a task on its worker."""

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
    """A task to reserve resources for and to run.

    :param id: id of the task; a repeated start with the same id has no further effect.
    :param workspace: id of the workspace.
    :param service: id of the service.
    :param shape: resources that the task may use.
    :param index: position of the task in its gang.
    :param gang: number of tasks of the gang.
    :param payload: input of the task; a JSON value.
    :param checkpoint: checkpoint to resume from.
    :param progress: seconds of work preserved by that checkpoint.
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
    """Acquires or renews the lease on a worker and on every task that runs there.

    :param holder: id of the node.
    :param zone: availability zone of the worker.
    :param epoch: epoch of the holder; the worker refuses one lower than it has seen.
    :param ttl: seconds after which the worker stops its tasks unless the lease is renewed.
    :param wait: seconds for which the reply may wait for a report that differs from the one seen.
    :param seen: revision of the last report that the holder received.
    """

    holder: str
    zone: str
    epoch: int
    ttl: float
    wait: float = 0.0
    seen: int = -1


@attrs.frozen
class ReserveRequest:
    """Reserves resources for all of the tasks or for none.

    :param epoch: epoch of the holder.
    :param tasks: tasks to reserve for; a task that is already known is confirmed.
    :param ttl: seconds after which an unused task reservation expires.
    """

    epoch: int
    tasks: tuple[TaskSpec, ...]
    ttl: float


@attrs.frozen
class StartRequest:
    """Starts reserved tasks; refused for all of them when one task reservation has expired.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks; one that already runs or has ended is confirmed.
    """

    epoch: int
    tasks: tuple[str, ...]


@attrs.frozen
class StopRequest:
    """Stops tasks and releases task reservations; an unknown task is prevented from starting later.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks.
    :param mode: whether the tasks are checkpointed first.
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
    """Names ended tasks whose output is requested or may be discarded.

    :param epoch: epoch of the holder.
    :param tasks: ids of the tasks.
    """

    epoch: int
    tasks: tuple[str, ...]


@attrs.frozen
class TaskReport:
    """State of a task as its worker reports it.

    :param id: id of the task.
    :param state: state of the task.
    :param used: resources in use, reported with a delay; ``None`` while unknown.
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
    :param detail: human-readable description of a failure.
    """

    id: str
    state: TaskState
    output: Any = None
    detail: str = ""


@attrs.frozen
class WorkerReport:
    """Reply of a worker to each request.

    :param worker: id of the worker.
    :param capacity: resources of the worker.
    :param tasks: tasks that the worker knows and whose end is not acknowledged.
    :param boot: id of this incarnation of the worker; a new incarnation has lost its tasks.
    :param revision: revision of the reported state, increasing within an incarnation.
    """

    worker: str
    capacity: Resources
    tasks: tuple[TaskReport, ...] = ()
    boot: str = ""
    revision: int = 0
