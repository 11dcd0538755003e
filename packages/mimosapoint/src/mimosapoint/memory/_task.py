"""State of one task on a worker."""

from datetime import datetime, timedelta
from typing import Any

import attrs

from mimosapoint.memory.task_kinds import (
    WORK_LIMIT_SECONDS,
    TaskFailure,
    run_task,
    used_resources,
    work_seconds,
)
from mimosapoint.model import Resources, TaskOutput, TaskReport, TaskSpec, TaskState

__all__ = ["Task"]

ENDED_STATES = frozenset({TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED})


@attrs.define
class Task:
    """Task that a worker has reserved or started.

    Its progress is computed from the time elapsed, without a timer.

    :param spec: specification of the task.
    :param reserved_until: expiry of the reservation while the task is not started.
    """

    spec: TaskSpec
    reserved_until: datetime
    state: TaskState = TaskState.RESERVED
    progress: float = 0.0
    share: float = 1.0
    started_at: datetime | None = None
    advanced_at: datetime | None = None
    stop_at: datetime | None = None
    saves_checkpoint: bool = False
    checkpoint: str | None = None
    output: Any = None
    detail: str = ""
    usage: Resources = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.usage = used_resources(self.spec)

    @property
    def ended(self) -> bool:
        """Whether the task has succeeded, failed or been stopped."""
        return self.state in ENDED_STATES

    def start(self, now: datetime) -> None:
        """Start the task from the progress and the checkpoint in its specification."""
        self.state = TaskState.RUNNING
        self.started_at = now
        self.advanced_at = now
        self.progress = self.spec.progress
        self.checkpoint = self.spec.checkpoint

    def completes_at(self) -> datetime:
        """Return the time at which the work is done if the share does not change."""
        remaining = max(0.0, work_seconds(self.spec.payload) - self.progress)
        return self.advanced_at + timedelta(seconds=min(remaining / self.share, WORK_LIMIT_SECONDS))

    def advance_to(self, now: datetime) -> None:
        """Advance the progress to a time."""
        elapsed = max(0.0, (now - self.advanced_at).total_seconds())
        progress_now = self.progress + elapsed * self.share
        self.progress = min(progress_now, max(self.progress, work_seconds(self.spec.payload)))
        self.advanced_at = max(now, self.advanced_at)

    def finish(self) -> None:
        """Run the task function and end the task as succeeded, or as failed if it fails."""
        self.advance_to(self.completes_at())
        try:
            self.output = run_task(self.spec)
        except TaskFailure as failure:
            self.fail(str(failure))
            return
        self.checkpoint = self._checkpoint_name()
        self.state = TaskState.SUCCEEDED

    def fail(self, detail: str) -> None:
        """End the task as failed."""
        self.detail = detail
        self.state = TaskState.FAILED

    def stop(self, at: datetime) -> None:
        """End the task as stopped; without a checkpoint its progress since the start is lost."""
        self.advance_to(at)
        if self.saves_checkpoint:
            self.checkpoint = self._checkpoint_name()
        else:
            self.progress = self.spec.progress
        self.state = TaskState.STOPPED

    def _checkpoint_name(self) -> str:
        return f"{self.spec.id}@{self.progress:.3f}"

    def report(self, now: datetime, usage_lag: timedelta) -> TaskReport:
        """Return the report of the task.

        :param usage_lag: time after the start from which the usage is reported.
        """
        return TaskReport(
            id=self.spec.id,
            state=self.state,
            used=self._used(now, usage_lag),
            progress=round(self.progress, 6),
            checkpoint=self.checkpoint,
        )

    def result(self) -> TaskOutput:
        """Return the output of the ended task."""
        return TaskOutput(self.spec.id, self.state, self.output, self.detail)

    def _used(self, now: datetime, usage_lag: timedelta) -> Resources | None:
        if self.started_at is None or now - self.started_at < usage_lag:
            return None
        return self.usage
