"""Runs that may have crashed their worker."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker

if TYPE_CHECKING:
    from mimosapoint.cell.worker_loss import WorkerLoss

__all__ = ["find_suspects", "find_unexplained"]


def find_suspects(worker: Worker, window: timedelta) -> Iterator[TaskRun]:
    """Yield the runs that may crash the worker: ordered, and not proven to outlive the window.

    :param worker: the worker.
    :param window: time for which a run has to work to be no suspect.
    """
    for task_run in worker.task_runs_by_key.values():
        if task_run.is_ordered and task_run.proven_time < window:
            yield task_run


def find_unexplained(
    loss: WorkerLoss, others: Iterable[WorkerLoss], tolerance: timedelta
) -> WorkerLoss | None:
    """Return a loss at the same moment that no run can have caused, or ``None``.

    It shows that a worker was lost for another reason, such as the loss of its rack, and that this
    reason may have hit the given worker, too.

    :param loss: loss of the worker in question.
    :param others: present losses of all workers.
    :param tolerance: longest time between the observations of two simultaneous losses.
    """
    for other in others:
        is_same = other is loss or other.is_planned or other.suspects
        if not is_same and abs(other.at - loss.at) <= tolerance:
            return other
    return None
