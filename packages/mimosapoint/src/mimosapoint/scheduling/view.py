"""Input and output of a scheduling policy."""

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
    """A worker as known to the owner of its availability zone.

    :param id: id of the worker.
    :param rack: id of its rack.
    :param capacity: total resources.
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
    """State of an availability zone that is shared with the owners of other zones.

    :param zone: id of the availability zone.
    :param in_service: whether tasks may start there.
    :param free_accelerators: accelerators that no task holds.
    :param free_slots: slots that no task holds.
    :param capacity_accelerators: accelerators of its usable workers.
    :param largest_block_by_adjacency: most free accelerators within one topology domain,
        by adjacency.
    :param tasks_by_size: by accelerators per task, the number of tasks that fit into the best rack
        and into the whole zone.
    :param unclaimed_by_guarantee: number of unclaimed guarantee instances, by
        ``workspace/guarantee``.
    :param waiting: number of waiting jobs.
    :param waiting_accelerators: accelerators that the waiting jobs request.
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
    """State of an availability zone at one point in time.

    :param zone: id of the availability zone.
    :param now: time of the view.
    :param configuration: configuration in force.
    :param workers_by_id: all workers known to the owner.
    :param running_by_id: jobs that hold workers, including those being stopped.
    :param waiting: jobs that wait for a placement, oldest first.
    :param other_zones_by_id: latest summaries of the region's other availability zones.
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

    :param job: id of the victim.
    :param preemptor: id of the job that needs the resources.
    :param grace: seconds that the victim gets for its checkpoint.
    """

    job: str
    preemptor: str
    grace: float


@attrs.frozen
class Move:
    """Move a waiting job to another availability zone.

    :param job: id of the job.
    :param zone: id of the other availability zone.
    """

    job: str
    zone: str


@attrs.frozen
class Refusal:
    """Refuse a waiting job that will not run.

    :param job: id of the job.
    :param code: stable code of the reason.
    :param detail: description of the reason for operators and callers.
    :param retry_after: seconds after which a new request may succeed; ``None`` if it can't.
    """

    job: str
    code: str
    detail: str = ""
    retry_after: float | None = None


@attrs.frozen
class Decision:
    """Actions that a policy decided on for one view.

    :param assignments: gangs to place; together they fit into the free resources.
    :param preemptions: gangs to preempt.
    :param moves: jobs to move to other availability zones.
    :param refusals: jobs to refuse.
    :param truncated: whether a limit cut the decision short, so that the next should follow soon.
    """

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    moves: tuple[Move, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    truncated: bool = False
