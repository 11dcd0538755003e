"""Jobs, units and task runs, as the owner of a cell keeps them in memory.

A run number identifies one start of a unit; a task run is that start of one of its tasks.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

import attrs

from mimosapoint.cell.decisions.slow_workers import ProgressRate
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import (
    AcceptedJob,
    JobProgress,
    Phase,
    ResourceAmounts,
    RunEnd,
    Step,
    TaskId,
    UnitId,
    has_evidence,
    is_suspect,
)

__all__ = ["TaskRun", "Job", "Unit", "UnitState"]


class UnitState(Enum):
    """State of a unit."""

    WAITING = "waiting"
    ACTIVE = "active"
    """It starts or runs, or its last run is being stopped."""
    DONE = "done"
    DROPPED = "dropped"
    """Its job ended before the unit was done."""


@attrs.define(eq=False)
class TaskRun:
    """The owner's record of a run that exists, or may exist, on a worker.

    :param task: the task.
    :param run: number of the run.
    :param worker: the worker.
    :param amounts: resources that the run occupies.
    :param unit: unit of the task; ``None`` if the run is not wanted.
    :param not_after_ms: time on the worker's clock, in milliseconds, after which an unanswered
        start has no effect; ``None`` before the start is ordered.
    :param confirmed_ms: time on the worker's clock, in milliseconds, at which the run was
        confirmed; ``None`` before.
    :param stopping: whether a stop was ordered.
    :param is_resumed: whether the run was started from a checkpoint.
    :param percent: last reported progress, in percent.
    :param reported_ms: time of that report on the worker's clock, in milliseconds; 0 before one.
    :param reported_at: time of that report on the owner's clock; ``None`` before one.
    :param workspace: workspace whose quota it counts against; ``None`` if its job is unknown.
    :param progress_rate: rate of the progress.
    """

    task: TaskId
    run: int
    worker: Worker
    amounts: ResourceAmounts
    unit: Unit | None
    not_after_ms: int | None = None
    confirmed_ms: int | None = None
    stopping: bool = False
    is_resumed: bool = False
    percent: int = 0
    reported_ms: int = 0
    reported_at: datetime | None = None
    workspace: str | None = attrs.field()
    progress_rate: ProgressRate = attrs.field(init=False)

    @workspace.default
    def _workspace_of_unit(self) -> str | None:
        return self.unit.job.record.tenant if self.unit else None

    @progress_rate.default
    def _new_progress_rate(self) -> ProgressRate:
        return ProgressRate(self.unit.step.estimate) if self.unit else ProgressRate()

    def confirm(self, clock_ms: int, now: datetime) -> None:
        """Record that the run is on the worker.

        :param clock_ms: time on the worker's clock, in milliseconds.
        :param now: time on the owner's clock.
        """
        is_first = self.confirmed_ms is None
        self.confirmed_ms = clock_ms
        if is_first and self.unit is not None and self.not_after_ms is not None:
            self.unit.mark_formed(now)

    @property
    def is_suspect(self) -> bool:
        """Whether its unit is suspected of crashing its workers."""
        return self.unit is not None and self.unit.is_suspect

    @property
    def is_ordered(self) -> bool:
        """Whether the worker may have the run: its start was ordered, or a report listed it."""
        return self.not_after_ms is not None or self.confirmed_ms is not None

    @property
    def proven_time(self) -> timedelta:
        """Time for which run reports prove that it has worked, on the worker's clock."""
        if self.confirmed_ms is None:
            return timedelta(0)
        return timedelta(milliseconds=max(0, self.reported_ms - self.confirmed_ms))

    def log_fields(self) -> dict[str, object]:
        """Return the fields that identify the run in log lines."""
        return {
            "job": self.task.job,
            "task": self.task,
            "run": self.run,
            "worker": self.worker.id,
        }


@attrs.define(eq=False)
class Unit:
    """A gang, or one task of another step.

    :param id: id of the unit.
    :param job: its job.
    :param state: its state.
    :param since: time at which it began to wait or run.
    :param run: number of its newest run.
    :param task_runs_by_task: runs that exist, or may exist, on workers.
    :param end: how the newest run ends; set when its first task ends.
    :param stop_reason: why the newest run is being stopped; empty if it is not.
    :param formed_at: time from which all tasks of the newest run were on their workers; ``None``
        before, and if an earlier owner started the run.
    :param preemptions: number of times that it was preempted.
    :param failed_on: workers on which runs of the unit failed.
    :param unseen_ends: runs that have ended on a silent worker and may have failed there, with the
        time after which the worker's lease is over and their ends no longer count.
    :param lapsed_runs: runs whose worker's lease expired before it reported their end.
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
    formed_at: datetime | None = None
    preemptions: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    unseen_ends: dict[int, datetime] = attrs.field(factory=dict)
    lapsed_runs: set[int] = attrs.field(factory=set)
    step: Step = attrs.field(init=False, repr=False)
    size: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.step = self.job.record.steps[self.id.step]
        self.size = self.step.count if self.step.gang else 1

    @property
    def tasks(self) -> tuple[TaskId, ...]:
        """Tasks of the unit."""
        return self.job.record.tasks_of(self.id)

    def mark_formed(self, now: datetime) -> None:
        """Record the time of the confirmation by which all tasks are on their workers."""
        runs = self.task_runs_by_task.values()
        if len(runs) == self.size and all(run.confirmed_ms is not None for run in runs):
            self.formed_at = now

    def has_attempts_left(self, now: datetime, further_failures: int = 0) -> bool:
        """Return whether another attempt is permitted if all unseen ends are failures.

        :param now: the time.
        :param further_failures: number of failures assumed besides.
        """
        unseen = sum(now < counts_until for counts_until in self.unseen_ends.values())
        failures = self.job.progress.failure_count(self.id) + unseen + further_failures
        return self.step.long_running or failures < self.job.record.max_attempts

    @property
    def is_suspect(self) -> bool:
        """Whether one of its tasks is suspected of crashing its workers."""
        crashes = self.job.progress.crashes
        return bool(crashes) and any(is_suspect(crashes.get(task.key, ())) for task in self.tasks)

    @property
    def has_crash_evidence(self) -> bool:
        """Whether a crash without another cause speaks against one of its tasks."""
        crashes = self.job.progress.crashes
        return any(has_evidence(crashes.get(task.key, ())) for task in self.tasks)

    @property
    def checkpoint(self) -> str:
        """Newest checkpoint; empty if there is none."""
        return self.job.progress.checkpoints.get(self.id.key, "")


@attrs.define(eq=False)
class Job:
    """An accepted job.

    :param record: the accepted record.
    :param accepted_rev: revision of the store at which it was accepted.
    :param progress: its progress, including changes that are not stored yet.
    :param progress_rev: revision at which the progress is stored; 0 before.
    :param waiting_since: time from which its waiting is counted: when the owner learned of it, or
        its acceptance if it already had progress.
    :param cancelled: whether its caller has cancelled it.
    :param units_by_id: units created so far; a unit is created when its step may start.
    :param expanded_steps: steps whose units exist, as pairs of occurrence and step.
    :param remaining: number of units, over all occurrences, that are not done.
    :param progress_version: number of changes of the progress.
    :param stored_progress_version: newest version that is stored.
    :param stored_phase: phase that the newest stored progress shows, to callers as well.
    :param has_begun: whether a worker has begun a run; ``None`` if earlier owners may know.
    :param failed_on: workers on which runs of the job failed.
    :param ended_at: time at which it ended; ``None`` before.
    :param critical_path: estimated duration of the longest dependency chain of its steps.
    """

    record: AcceptedJob
    accepted_rev: int
    progress: JobProgress
    progress_rev: int
    waiting_since: datetime
    cancelled: bool = False
    units_by_id: dict[UnitId, Unit] = attrs.field(factory=dict)
    expanded_steps: set[tuple[int, int]] = attrs.field(factory=set)
    remaining: int = 0
    progress_version: int = 0
    stored_progress_version: int = 0
    stored_phase: Phase = attrs.field()
    has_begun: bool | None = attrs.field()
    failed_on: set[str] = attrs.field(factory=set)
    ended_at: datetime | None = None
    critical_path: timedelta = attrs.field(init=False)
    _remaining_work: dict[int, tuple[int, float]] = attrs.field(
        init=False, factory=dict, repr=False
    )

    @stored_phase.default
    def _phase_of_loaded_progress(self) -> Phase:
        return self.progress.shown_phase

    @has_begun.default
    def _has_begun_by_loaded_progress(self) -> bool | None:
        if self.progress.phase is Phase.QUEUED:
            return False
        return True if self.progress.has_results else self.progress.has_begun

    def __attrs_post_init__(self) -> None:
        self.critical_path = self.record.critical_path()
        per_occurrence = sum(1 if step.gang else step.count for step in self.record.steps)
        total = per_occurrence * self.record.occurrences
        self.remaining = total - sum(len(indexes) for indexes in self.progress.done.values())

    @property
    def is_waiting(self) -> bool:
        """Whether no run has begun and none is about to."""
        return self.has_begun is False and not self.has_active_unit

    @property
    def has_active_unit(self) -> bool:
        """Whether a unit starts, runs or is being stopped."""
        return any(unit.state is UnitState.ACTIVE for unit in self.units_by_id.values())

    def step_is_done(self, occurrence: int, step: int) -> bool:
        """Return whether every unit of a step is done."""
        spec = self.record.steps[step]
        unit_count = 1 if spec.gang else spec.count
        return len(self.progress.done.get(f"{occurrence}.{step}", ())) >= unit_count

    def due(self, occurrence: int) -> datetime:
        """Return the time from which an occurrence may run."""
        schedule = self.record.schedule
        return schedule.due(occurrence) if schedule else self.waiting_since

    def soft_deadline(self, occurrence: int, critical_path: timedelta | None = None) -> datetime:
        """Return the latest end of an occurrence at which it still has its full value.

        :param occurrence: number of the occurrence.
        :param critical_path: duration of the longest dependency chain; by default as declared.
        """
        record = self.record
        duration = self.critical_path if critical_path is None else critical_path
        return self.due(occurrence) + record.slack_factor * duration + record.target

    def remaining_work(self, occurrence: int) -> float:
        """Return the estimated core-seconds of the tasks of an occurrence that are not done.

        Each waiting unit asks in each decision, so the result is kept until a unit is done.
        """
        remaining, work = self._remaining_work.get(occurrence, (-1, 0.0))
        if remaining == self.remaining:
            return work
        work = 0.0
        for number, step in enumerate(self.record.steps):
            done = len(self.progress.done.get(f"{occurrence}.{number}", ()))
            tasks = step.count * (not done) if step.gang else step.count - done
            work += tasks * step.amounts.weighted_cores * step.estimate.total_seconds()
        self._remaining_work[occurrence] = (self.remaining, work)
        return work
