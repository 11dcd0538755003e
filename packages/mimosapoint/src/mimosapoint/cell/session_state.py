"""State of a worker session, for the parts that apply reports and send orders."""

from __future__ import annotations

from datetime import datetime
from typing import Protocol

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.disturbances import Disturbances
from mimosapoint.cell.order_token import OrderTokens
from mimosapoint.cell.worker_loss import WorkerLossWatch
from mimosapoint.ports import WorkerRegistration
from mimosapoint.workload import RunEnd

__all__ = ["SessionState"]


class SessionState(Protocol):
    """A worker session, as its parts use it.

    :param worker: the worker.
    :param synced: whether a run report of its present incarnation was applied.
    :param refusing_until: time until which it gets no work after it refused a start.
    :param tokens: fencing tokens of the orders to the worker.
    :param disturbances: records its disturbances.
    :param loss_watch: follows its silence.
    """

    worker: Worker
    synced: bool
    refusing_until: datetime | None
    tokens: OrderTokens
    disturbances: Disturbances
    loss_watch: WorkerLossWatch

    @property
    def registration(self) -> WorkerRegistration:
        """Newest registration of the worker."""
        ...

    def end_task_run(
        self, task_run: TaskRun, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        """Remove a run that is not, or no longer, on the worker, and report its end."""
        ...

    def record_unexpected(self, order: str, error: Exception) -> None:
        """Log an unexpected error of a renewal or an order."""
        ...
