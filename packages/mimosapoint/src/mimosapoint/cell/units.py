"""What the owner of a cell holds in memory of jobs: units, runs and assignments."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from mimosapoint.cell.slow_workers import ProgressRate
from mimosapoint.workload import (
    AcceptedJob,
    JobProgress,
    ResourceAmounts,
    RunEnd,
    Step,
    TaskId,
    UnitId,
)

if TYPE_CHECKING:
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["TaskRun", "Job", "Unit", "UnitState"]


class UnitState(Enum):
    """What a unit is about."""

    WAITING = "waiting"
    ACTIVE = "active"
    """It runs, starts, or its last run is being stopped."""
    DONE = "done"
    DROPPED = "dropped"
    """Its job has ended without it."""


@attrs.define(eq=False)
class TaskRun:
    """A run of a task that a worker has, or may have.

    :param task: the task.
    :param run: number of the run.
    :param session: the worker.
    :param amounts: what the run occupies.
    :param unit: unit of the task; ``None`` for a run that nobody wants.
    :param not_after_ms: time on the worker's clock after which an unanswered start has no effect.
    :param confirmed_ms: worker's clock at which the run was there; ``None`` before.
    :param stopping: whether a stop was ordered.
    :param percent: progress in percent, as last reported.
    :param progress_rate: how fast it gets on.
    """

    task: TaskId
    run: int
    session: WorkerSession
    amounts: ResourceAmounts
    unit: Unit | None
    not_after_ms: int = 0
    confirmed_ms: int | None = None
    stopping: bool = False
    percent: int = 0
    progress_rate: ProgressRate = attrs.field(factory=ProgressRate)

    def log_fields(self) -> dict[str, object]:
        """Return what every log line about the run names."""
        return {
            "job": self.task.job,
            "task": self.task,
            "run": self.run,
            "worker": self.session.id,
        }


@attrs.define(eq=False)
class Unit:
    """A gang, or one task of another step.

    :param id: id of the unit.
    :param job: its job.
    :param state: what it is about.
    :param since: time since which it waits or runs.
    :param run: number of its newest run.
    :param task_runs_by_task: runs that are, or may be, on workers.
    :param end: how the newest run ends, once the first of its members has ended.
    :param stop_reason: why the newest run is being stopped; empty when it is not.
    :param preemptions: number of times that it was stopped for others.
    :param failed_on: workers on which runs of the unit failed.
    :param step: step of the unit.
    :param size: number of tasks.
    """

    id: UnitId
    job: Job
    state: UnitState
    since: datetime
    run: int = 0
    task_runs_by_task: dict[TaskId, TaskRun] = attrs.field(factory=dict)
    end: RunEnd | None = None
    stop_reason: str = ""
    preemptions: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    step: Step = attrs.field(init=False, repr=False)
    size: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.step = self.job.record.steps[self.id.step]
        self.size = self.step.count if self.step.gang else 1

    @property
    def tasks(self) -> tuple[TaskId, ...]:
        """Tasks of the unit."""
        return self.job.record.tasks_of(self.id)

    @property
    def checkpoint(self) -> str:
        """Newest checkpoint; empty for none."""
        return self.job.progress.checkpoints.get(self.id.key, "")


@attrs.define(eq=False)
class Job:
    """An accepted job.

    :param record: what was accepted.
    :param accepted_rev: revision of the store at which it was accepted.
    :param progress: its durable progress.
    :param progress_rev: revision at which the progress is stored; 0 before.
    :param seen_at: time at which the owner learned of it.
    :param cancelled: whether its caller has cancelled it.
    :param units_by_id: units whose turn has come.
    :param expanded_steps: steps whose units exist, as pairs of occurrence and step.
    :param remaining: number of units that are not done, of all occurrences.
    :param progress_version: counts changes of the progress.
    :param stored_progress_version: newest version that is stored.
    :param failed_on: workers on which runs of the job failed.
    :param ended_at: time at which it ended; ``None`` before.
    :param critical_path: duration of its longest chain of steps, by the estimates.
    """

    record: AcceptedJob
    accepted_rev: int
    progress: JobProgress
    progress_rev: int
    seen_at: datetime
    cancelled: bool = False
    units_by_id: dict[UnitId, Unit] = attrs.field(factory=dict)
    expanded_steps: set[tuple[int, int]] = attrs.field(factory=set)
    remaining: int = 0
    progress_version: int = 0
    stored_progress_version: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    ended_at: datetime | None = None
    critical_path: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.critical_path = self.record.critical_path()
        per_occurrence = sum(1 if step.gang else step.count for step in self.record.steps)
        total = per_occurrence * self.record.occurrences
        self.remaining = total - sum(len(indexes) for indexes in self.progress.done.values())

    def step_is_done(self, occurrence: int, step: int) -> bool:
        """Tell whether every unit of a step is done."""
        spec = self.record.steps[step]
        wanted = 1 if spec.gang else spec.count
        return len(self.progress.done.get(f"{occurrence}.{step}", ())) >= wanted

    def due(self, occurrence: int) -> datetime:
        """Return the time from which an occurrence may run."""
        schedule = self.record.schedule
        return schedule.due(occurrence) if schedule else self.seen_at

    def soft_deadline(self, occurrence: int) -> datetime:
        """Return the end of an occurrence up to which it has its full value."""
        record = self.record
        return self.due(occurrence) + record.slack_factor * self.critical_path + record.target
