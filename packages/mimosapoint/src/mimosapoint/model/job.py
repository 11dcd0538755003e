"""Jobs: what callers ask for and what the owner of an availability zone records."""

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
    """How soon a job is wanted."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


class Adjacency(Enum):
    """Smallest part of the platform that holds all tasks of a gang."""

    WORKER = "worker"
    RACK = "rack"
    AVAILABILITY_ZONE = "availability-zone"


class JobState(Enum):
    """Stage of a job in its owner's table."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"
    MOVED = "moved"


@attrs.frozen
class JobRequest:
    """A caller's request, checked against the configuration.

    :param workspace: id of the workspace.
    :param service: id of the service within the workspace.
    :param idempotency_key: caller's key; the same key gets the same job.
    :param job_class: how soon the job is wanted.
    :param gang: number of tasks that run together.
    :param shape: resources of each task.
    :param adjacency: smallest part of the platform that holds the gang.
    :param zones: availability zones the job may run in; empty means those of the service.
    :param run_time: declared run time in seconds.
    :param repeatable: whether the job may run again after a doubtful start.
    :param interruptible: whether the job may be checkpointed and stopped for others.
    :param start_by: give up when the job has not started by then.
    :param finish_by: time at which the answer loses its value.
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
    """One attempt to run a gang.

    :param attempt: number of the attempt, from 1.
    :param workers: worker of each task, ordered by task index.
    :param guarantee: id of the guarantee that the gang claims, or ``None`` when it borrows.
    :param boots: boot id of each task's worker at the time of the placement.
    """

    attempt: int
    workers: tuple[str, ...]
    guarantee: str | None = None
    boots: tuple[str, ...] = ()


@attrs.frozen
class Checkpoint:
    """Saved state of one task on the platform.

    :param name: platform's name of the checkpoint.
    :param progress: seconds of work that it keeps.
    """

    name: str
    progress: float


@attrs.frozen
class JobRecord:
    """A job as its owner keeps it in the store.

    :param id: id of the job; it begins with the id of its home availability zone.
    :param request: the caller's request.
    :param state: stage of the job.
    :param submitted_at: time of acceptance.
    :param placement: current or last attempt.
    :param started_at: time at which the current attempt's whole gang was started.
    :param ended_at: time of the end.
    :param cancel_requested: whether the caller has cancelled.
    :param stop_reason: why the owner stops a running job: ``cancel``, ``reclaim`` or ``zone-out``.
    :param progress: seconds of work that the last checkpoints of all tasks keep.
    :param checkpoints: last checkpoint of each task.
    :param moves: number of moves between availability zones.
    :param moved_to: availability zone that has the record now.
    :param moved_at: time of the last move.
    :param adopted: whether that availability zone has confirmed the move.
    :param outcome: how the job ended.
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
        """Whether the job should have started by now; one that was interrupted has."""
        start_by = self.request.start_by
        return start_by is not None and start_by <= now and not self.ever_started

    @property
    def live(self) -> bool:
        """Whether the job still has to run or to end."""
        return self.state not in (JobState.ENDED, JobState.MOVED)


@attrs.frozen
class JobView:
    """A job as callers see it.

    :param id: id of the job.
    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: how soon the job is wanted.
    :param state: stage of the job.
    :param zone: availability zone that has the record.
    :param submitted_at: time of acceptance.
    :param started_at: time at which the whole gang was started.
    :param ended_at: time of the end.
    :param durable: whether the acceptance is in the platform's store.
    :param outcome: how the job ended; ``None`` while it lives.
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
    """Return the id of a task, the same on every node.

    >>> task_id("mvd-centro~ab12", 1, 0)
    'mvd-centro~ab12/1/0'
    """
    return f"{job_id}/{attempt}/{index}"
