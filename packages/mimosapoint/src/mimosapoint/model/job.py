"""Job requests, and the job records of the owner of an availability zone."""

from datetime import datetime
from enum import Enum
from typing import Any

import attrs

from mimosapoint.model.outcome import Outcome
from mimosapoint.model.resources import Resources

__all__ = [
    "Adjacency",
    "Checkpoint",
    "JobClass",
    "JobRecord",
    "JobRequest",
    "JobState",
    "JobView",
    "Placement",
    "task_id",
]


class JobClass(Enum):
    """Urgency of a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class Adjacency(Enum):
    """Smallest topology domain that must hold all tasks of a gang."""

    WORKER = "worker"
    RACK = "rack"
    AVAILABILITY_ZONE = "availability-zone"


class JobState(Enum):
    """State of a job in its owner's job table."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"
    MOVED = "moved"


@attrs.frozen
class JobRequest:
    """A caller's request for a job.

    :param workspace: id of the workspace.
    :param service: id of the service within the workspace.
    :param idempotency_key: the caller's key; a repeated request with the key returns the same job.
    :param job_class: urgency of the job.
    :param gang: number of tasks of the gang.
    :param shape: resources of each task.
    :param adjacency: smallest topology domain that must hold the gang.
    :param zones: availability zones the job may run in; empty means those of the service.
    :param run_time: declared run time in seconds.
    :param repeatable: whether the job may run again after a start with unknown outcome.
    :param interruptible: whether the job may be checkpointed and preempted.
    :param start_by: time by which the job must have started; otherwise it is not run.
    :param finish_by: time at which the outcome loses its value for the caller.
    :param payload: input of the tasks; a JSON value.
    """

    workspace: str
    service: str
    idempotency_key: str
    job_class: JobClass = JobClass.NORMAL
    gang: int = 1
    shape: Resources = Resources()
    adjacency: Adjacency = Adjacency.AVAILABILITY_ZONE
    zones: tuple[str, ...] = ()
    run_time: float = 60.0
    repeatable: bool = True
    interruptible: bool = True
    start_by: datetime | None = None
    finish_by: datetime | None = None
    payload: Any = None


@attrs.frozen
class Placement:
    """Placement of one attempt to run a gang.

    :param attempt: number of the attempt, from 1.
    :param workers: worker of each task, ordered by task index.
    :param guarantee: id of the guarantee that the gang claims, or ``None`` when it borrows.
    :param boots: incarnation id of each task's worker at the time of the placement.
    """

    attempt: int
    workers: tuple[str, ...]
    guarantee: str | None = None
    boots: tuple[str, ...] = ()


@attrs.frozen
class Checkpoint:
    """Saved state of one task on the platform.

    :param name: the platform's name of the checkpoint.
    :param progress: seconds of work that it preserves.
    """

    name: str
    progress: float


@attrs.frozen
class JobRecord:
    """A job as its owner stores it.

    :param id: id of the job; it begins with the id of its home availability zone.
    :param request: the caller's request.
    :param state: state of the job.
    :param submitted_at: time of acceptance.
    :param placement: placement of the current or last attempt.
    :param started_at: time at which the current attempt's whole gang was started.
    :param ended_at: time of the end.
    :param cancel_requested: whether the caller has requested cancellation.
    :param stop_reason: why the owner stops a running job: ``cancel``, ``reclaim`` or ``zone-out``.
    :param progress: seconds of work preserved by the last checkpoints of all tasks.
    :param checkpoints: last checkpoint of each task.
    :param moves: number of moves between availability zones.
    :param moved_to: availability zone that has the record now.
    :param moved_at: time of the last move.
    :param adopted: whether that availability zone has confirmed the move.
    :param outcome: outcome of the job; ``None`` until it has ended.
    :param failures: number of attempts that failed.
    :param ever_started: whether a task of any attempt may have started.
    :param trace: trace context of the request.
    """

    id: str
    request: JobRequest
    state: JobState
    submitted_at: datetime
    placement: Placement | None = None
    started_at: datetime | None = None
    ended_at: datetime | None = None
    cancel_requested: bool = False
    stop_reason: str | None = None
    progress: float = 0.0
    checkpoints: tuple[Checkpoint, ...] = ()
    moves: int = 0
    moved_to: str | None = None
    moved_at: datetime | None = None
    adopted: bool = False
    outcome: Outcome | None = None
    failures: int = 0
    ever_started: bool = False
    trace: str | None = None

    def missed_start_by(self, now: datetime) -> bool:
        """Return whether ``start_by`` passed without a start; an interrupted job has started."""
        start_by = self.request.start_by
        return start_by is not None and start_by <= now and not self.ever_started

    @property
    def live(self) -> bool:
        """Whether this owner still has to run or to end the job."""
        return self.state not in (JobState.ENDED, JobState.MOVED)


@attrs.frozen
class JobView:
    """A job as reported to its caller.

    :param id: id of the job.
    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: urgency of the job.
    :param state: state of the job.
    :param zone: availability zone that has the record.
    :param submitted_at: time of acceptance.
    :param started_at: time at which the whole gang was started.
    :param ended_at: time of the end.
    :param durable: whether the latest change of the job's record is durable.
    :param outcome: outcome of the job; ``None`` until it has ended.
    """

    id: str
    workspace: str
    service: str
    job_class: JobClass
    state: JobState
    zone: str
    submitted_at: datetime
    started_at: datetime | None = None
    ended_at: datetime | None = None
    durable: bool = True
    outcome: Outcome | None = None


def task_id(job_id: str, attempt: int, index: int) -> str:
    """Return the id of a task, which is the same on every node.

    >>> task_id("mvd-centro~ab12", 1, 0)
    'mvd-centro~ab12/1/0'
    """
    return f"{job_id}/{attempt}/{index}"
