"""Multi-step jobs, and the ids of their units and tasks."""

import re
from collections.abc import Iterator
from datetime import datetime, timedelta
from enum import Enum

import attrs

__all__ = [
    "ResourceAmounts",
    "AcceptedJob",
    "Phase",
    "RunEnd",
    "Schedule",
    "Step",
    "TaskId",
    "UnitId",
]

CORES_PER_ACCELERATOR = 8
"""Cores that one accelerator counts as when amounts of work are compared."""

MILLIS_PER_CORE = 1000

UNIT_KEY = re.compile(r"[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}")
"""Form of a unit's key; no job has as many tasks as nine digits count."""


@attrs.frozen
class ResourceAmounts:
    """Fixed-point amounts of a worker's resources.

    :param cpu_millis: thousandths of a processor core.
    :param memory_mb: memory in MB.
    :param accelerators: whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "ResourceAmounts") -> "ResourceAmounts":
        return ResourceAmounts(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "ResourceAmounts") -> "ResourceAmounts":
        return ResourceAmounts(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def scaled(self, count: int) -> "ResourceAmounts":
        """Return the total amounts of a number of equal tasks."""
        return ResourceAmounts(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def smaller(self, other: "ResourceAmounts") -> "ResourceAmounts":
        """Return the smaller amount of each resource."""
        return ResourceAmounts(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def larger(self, other: "ResourceAmounts") -> "ResourceAmounts":
        """Return the larger amount of each resource."""
        return ResourceAmounts(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fit_count(self, available: "ResourceAmounts") -> int:
        """Return how many times these amounts fit into the available amounts."""
        times = MILLIS_PER_CORE * MILLIS_PER_CORE
        if self.cpu_millis:
            times = available.cpu_millis // self.cpu_millis
        # Comparisons replace min() and max() for speed: one decision calls this thousands of times.
        if self.memory_mb:
            by_memory = available.memory_mb // self.memory_mb
            if by_memory < times:
                times = by_memory
        if self.accelerators:
            by_accelerators = available.accelerators // self.accelerators
            if by_accelerators < times:
                times = by_accelerators
        return times if times > 0 else 0

    @property
    def weighted_cores(self) -> float:
        """Cores, with each accelerator counted as :data:`CORES_PER_ACCELERATOR`."""
        return self.cpu_millis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * self.accelerators


@attrs.frozen
class Step:
    """A set of equal tasks of a job.

    :param count: number of tasks.
    :param amounts: resources of each task.
    :param estimate: the caller's estimate of a task's duration.
    :param after: numbers of the steps that must complete first.
    :param gang: whether the tasks are a gang, which starts all of them or none.
    :param rack_local: whether the gang runs more slowly when it spans racks.
    :param checkpoints: whether the tasks can resume from a checkpoint.
    :param label: label that the worker must have; empty for any worker.
    :param data_rack: rack that holds the input; empty for none.
    :param spread_limit: maximum number of the step's tasks on one worker; 0 for no limit.
    :param copies_allowed: whether several copies of a task may run at the same time.
    :param long_running: whether the tasks run until the job is cancelled.
    """

    count: int
    amounts: ResourceAmounts
    estimate: timedelta = timedelta(0)
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    checkpoints: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    copies_allowed: bool = False
    long_running: bool = False


@attrs.frozen
class Schedule:
    """Due times of a recurring job.

    :param first: due time of the first occurrence, in UTC.
    :param interval: time between occurrences.
    :param count: number of occurrences.
    """

    first: datetime
    interval: timedelta
    count: int

    def due(self, occurrence: int) -> datetime:
        """Return the due time of an occurrence, counted from 0."""
        return self.first + occurrence * self.interval


@attrs.frozen(cache_hash=True)
class UnitId:
    """Id of a unit, which is placed as one: a gang, or one task of another step.

    :param job: id of the job.
    :param occurrence: number of the occurrence, from 0.
    :param step: number of the step, from 0.
    :param index: number of the task within the step; 0 for a gang.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> str:
        """Key of the step within the job's progress."""
        return f"{self.occurrence}.{self.step}"

    @property
    def key(self) -> str:
        """Key of the unit within the job's progress."""
        return f"{self.occurrence}.{self.step}.{self.index}"

    def __str__(self) -> str:
        return f"{self.job}.{self.key}"


@attrs.frozen(cache_hash=True)
class TaskId:
    """Id of a task.

    :param job: id of the job.
    :param occurrence: number of the occurrence, from 0.
    :param step: number of the step, from 0.
    :param index: number of the task within the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def key(self) -> str:
        """Key of the task within the job's progress."""
        return f"{self.occurrence}.{self.step}.{self.index}"

    def __str__(self) -> str:
        return f"{self.job}.{self.key}"


@attrs.frozen
class AcceptedJob:
    """Immutable record of a job as it was accepted.

    :param id: id that the caller chose.
    :param queue: name of the queue.
    :param tenant: name of the workspace; empty on a public queue.
    :param pool: service whose workers run the tasks, as configured at acceptance.
    :param spec: text that is passed to the tasks.
    :param steps: the steps, each after its dependencies.
    :param priority: priority of the queue at acceptance; 0 is the highest.
    :param max_attempts: number of failed runs of a unit at which the job fails.
    :param slack_factor: allowed completion time as a multiple of the critical path.
    :param target: completion time allowed in addition.
    :param accepted_at: time of acceptance, in UTC.
    :param schedule: due times; ``None`` for a job that is due once, at acceptance.
    """

    id: str
    queue: str
    tenant: str
    pool: str
    spec: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    slack_factor: float
    target: timedelta
    accepted_at: datetime
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Number of occurrences; each runs every step."""
        return self.schedule.count if self.schedule else 1

    def units_of(self, occurrence: int, step: int) -> Iterator[UnitId]:
        """Yield the units of a step."""
        unit_count = 1 if self.steps[step].gang else self.steps[step].count
        for index in range(unit_count):
            yield UnitId(self.id, occurrence, step, index)

    def unit_of(self, task: TaskId) -> UnitId | None:
        """Return the unit of a task, or ``None`` when the job has no such task."""
        if not (0 <= task.step < len(self.steps) and 0 <= task.occurrence < self.occurrences):
            return None
        step = self.steps[task.step]
        if not 0 <= task.index < step.count:
            return None
        index = 0 if step.gang else task.index
        return UnitId(self.id, task.occurrence, task.step, index)

    def find_unit(self, key: str) -> UnitId | None:
        """Return the unit with a key, or ``None`` when the job has no such unit."""
        if not UNIT_KEY.fullmatch(key):
            return None
        unit = self.unit_of(TaskId(self.id, *map(int, key.split("."))))
        return unit if unit is not None and unit.key == key else None

    def tasks_of(self, unit: UnitId) -> tuple[TaskId, ...]:
        """Return the tasks of a unit."""
        step = self.steps[unit.step]
        indexes = range(step.count) if step.gang else (unit.index,)
        return tuple(TaskId(self.id, unit.occurrence, unit.step, index) for index in indexes)

    def critical_path(self) -> timedelta:
        """Return the estimated duration of the longest dependency chain of steps."""
        ends: list[timedelta] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=timedelta(0))
            ends.append(start + step.estimate)
        return max(ends, default=timedelta(0))


class Phase(Enum):
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the phase is final."""
        return self in (Phase.COMPLETE, Phase.FAILED, Phase.CANCELLED)


class RunEnd(Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease of the worker expired."""
    BROKEN = "broken"
    ALONE = "alone"
    """The other tasks of the gang did not start in time."""
    REFUSED = "refused"
    """The worker did not start the run."""
    LOST = "lost"
    """The worker restarted, was replaced or stopped reporting the run."""
