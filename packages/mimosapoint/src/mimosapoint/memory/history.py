"""What happened to the tasks of a worker."""

from datetime import datetime
from enum import Enum

import attrs

__all__ = ["HISTORY_LIMIT", "TaskEvent", "TaskEventKind"]

HISTORY_LIMIT = 100_000
"""Number of events that a worker keeps."""


class TaskEventKind(Enum):
    """What happened to a task."""

    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskEvent:
    """One event in the life of a task.

    :param time: time of the event.
    :param worker: id of the worker.
    :param event: what happened.
    :param task: id of the task.
    :param epoch: epoch known to the worker.
    :param index: position of the task in its gang.
    :param trace: trace context of the request.
    """

    time: datetime
    worker: str
    event: TaskEventKind
    task: str
    epoch: int
    index: int
    trace: str | None = None
