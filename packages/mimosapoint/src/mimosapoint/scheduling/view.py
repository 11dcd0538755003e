"""What a scheduling policy sees, and what it decides."""

from datetime import datetime

import attrs

from mimosapoint.configuration import Configuration
from mimosapoint.model import Adjacency, JobRecord, Resources

__all__ = [
    "Assignment",
    "Decision",
    "Move",
    "Preemption",
    "Refusal",
    "WorkerView",
    "ZoneSummary",
    "ZoneView",
]


@attrs.define
class WorkerView:
    """A worker as the owner of its availability zone knows it.

    :param id: id of the worker.
    :param rack: id of its rack.
    :param capacity: all its resources.
    :param free: resources that no live task holds.
    :param usable: whether new tasks may be placed there.
    """

    id: str
    rack: str
    capacity: Resources
    free: Resources
    usable: bool = True


@attrs.frozen
class ZoneSummary:
    """What the owners of other availability zones know of one.

    :param zone: id of the availability zone.
    :param in_service: whether tasks may start there.
    :param free_accelerators: accelerators that no task holds.
    :param free_slots: slots that no task holds.
    :param capacity_accelerators: accelerators of its usable workers.
    :param largest_block_by_adjacency: most free accelerators within one part of that kind.
    :param tasks_by_size: for tasks of so many accelerators, how many fit into the best rack and
        how many into the whole zone.
    :param unclaimed_by_guarantee: guaranteed gangs that nobody claims, by
        ``workspace/guarantee``.
    :param waiting: jobs that wait there.
    :param waiting_accelerators: accelerators that those jobs ask for.
    :param age: seconds since the summary was made.
    """

    zone: str
    in_service: bool
    free_accelerators: int = 0
    free_slots: int = 0
    capacity_accelerators: int = 0
    largest_block_by_adjacency: dict[Adjacency, int] = attrs.field(factory=dict)
    tasks_by_size: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    unclaimed_by_guarantee: dict[str, int] = attrs.field(factory=dict)
    waiting: int = 0
    waiting_accelerators: int = 0
    age: float = 0.0


@attrs.define
class ZoneView:
    """An availability zone at one moment.

    :param zone: id of the availability zone.
    :param now: time of the view.
    :param configuration: version in force.
    :param workers_by_id: every worker that the owner knows.
    :param running_by_id: jobs that hold workers, those being stopped among them.
    :param waiting: jobs that wait for a placement, oldest first.
    :param other_zones_by_id: what is known of the region's other availability zones.
    """

    zone: str
    now: datetime
    configuration: Configuration
    workers_by_id: dict[str, WorkerView]
    running_by_id: dict[str, JobRecord]
    waiting: list[JobRecord]
    other_zones_by_id: dict[str, ZoneSummary] = attrs.field(factory=dict)


@attrs.frozen
class Assignment:
    """Place a waiting gang.

    :param job: id of the job.
    :param workers: worker of each task, ordered by task index.
    :param guarantee: id of the guarantee that the gang claims, or ``None`` when it borrows.
    """

    job: str
    workers: tuple[str, ...]
    guarantee: str | None = None


@attrs.frozen
class Preemption:
    """Checkpoint and stop a running gang, which goes back to the queue.

    :param job: id of the job that gives way.
    :param preemptor: id of the job that needs the room.
    :param grace: seconds for the checkpoint.
    """

    job: str
    preemptor: str
    grace: float


@attrs.frozen
class Move:
    """Offer a waiting job to another availability zone.

    :param job: id of the job.
    :param zone: id of the other availability zone.
    """

    job: str
    zone: str


@attrs.frozen
class Refusal:
    """End a waiting job that will not run.

    :param job: id of the job.
    :param code: stable code of the reason.
    :param detail: what happened, for people.
    :param retry_after: seconds after which a new request may succeed; ``None`` when useless.
    """

    job: str
    code: str
    detail: str = ""
    retry_after: float | None = None


@attrs.frozen
class Decision:
    """Everything a policy wants done now.

    :param assignments: gangs to place; together they fit into the free room.
    :param preemptions: gangs to stop for others.
    :param moves: jobs to offer to other availability zones.
    :param refusals: jobs to end.
    :param truncated: whether the next decision should follow soon, as this one was cut short.
    """

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    moves: tuple[Move, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    truncated: bool = False
