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
    """A task that a worker knows.

    Its work is worked out from the time that has passed, so no timer runs.

    :param spec: what to run.
    :param reserved_until: when an unused reservation lapses.
    """

    spec: TaskSpec
    reserved_until: datetime
    state: TaskState = TaskState.RESERVED
    progress: float = 0.0
    share: float = 1.0
    started_at: datetime | None = None
    worked_until: datetime | None = None
    stop_at: datetime | None = None
    keeps_progress: bool = False
    checkpoint: str | None = None
    output: Any = None
    detail: str = ""
    uses: Resources = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.uses = used_resources(self.spec)

    @property
    def ended(self) -> bool:
        """Whether the task will not run on."""
        return self.state in ENDED_STATES

    def start(self, now: datetime) -> None:
        """Begin to work."""
        self.state = TaskState.RUNNING
        self.started_at = now
        self.worked_until = now
        self.progress = self.spec.progress
        self.checkpoint = self.spec.checkpoint

    def ends_at(self) -> datetime:
        """Return when the work will be done at the present share."""
        left = max(0.0, work_seconds(self.spec.payload) - self.progress)
        return self.worked_until + timedelta(seconds=min(left / self.share, WORK_LIMIT_SECONDS))

    def work_until(self, now: datetime) -> None:
        """Add the work of the time that has passed."""
        passed = max(0.0, (now - self.worked_until).total_seconds())
        done = self.progress + passed * self.share
        self.progress = min(done, max(self.progress, work_seconds(self.spec.payload)))
        self.worked_until = max(now, self.worked_until)

    def finish(self) -> None:
        """End with the output, or as failed."""
        self.work_until(self.ends_at())
        try:
            self.output = run_task(self.spec)
        except TaskFailure as failure:
            self.fail(str(failure))
            return
        self.checkpoint = self._checkpoint_name()
        self.state = TaskState.SUCCEEDED

    def fail(self, detail: str) -> None:
        """End as failed."""
        self.detail = detail
        self.state = TaskState.FAILED

    def stop(self, at: datetime) -> None:
        """End as stopped; a checkpoint keeps the progress."""
        self.work_until(at)
        if self.keeps_progress:
            self.checkpoint = self._checkpoint_name()
        else:
            self.progress = self.spec.progress
        self.state = TaskState.STOPPED

    def _checkpoint_name(self) -> str:
        return f"{self.spec.id}@{self.progress:.3f}"

    def report(self, now: datetime, usage_lag: timedelta) -> TaskReport:
        """Return the state as the worker reports it."""
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
        return self.uses
