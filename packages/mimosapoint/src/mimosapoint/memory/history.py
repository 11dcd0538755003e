"""Events of the tasks of a worker."""

from datetime import datetime
from enum import Enum

import attrs

__all__ = ["HISTORY_LIMIT", "TaskEvent", "TaskEventKind"]

HISTORY_LIMIT = 100_000
"""Number of the newest events that a worker keeps."""


class TaskEventKind(Enum):
    """Kind of a task event."""

    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskEvent:
    """Start or end of a task.

    :param time: time of the event.
    :param worker: id of the worker.
    :param event: kind of the event.
    :param task: id of the task.
    :param epoch: highest epoch that the worker has accepted.
    :param index: position of the task in its gang.
    :param trace: trace context of the task.
    """

    time: datetime
    worker: str
    event: TaskEventKind
    task: str
    epoch: int
    index: int
    trace: str | None = None
