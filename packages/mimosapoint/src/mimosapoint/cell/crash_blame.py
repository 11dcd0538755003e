"""Attribution of crashes of workers to the tasks that may have caused them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mimosapoint.cell.decisions.crash_suspects import find_unexplained
from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.worker_loss import WorkerLoss
from mimosapoint.ports import Clock, Telemetry

__all__ = ["CrashBlame"]


class CrashBlame:
    """Records which tasks may have crashed a worker.

    :param losses: returns the present losses of all workers.
    :param clock: clock of the owner.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        losses: Callable[[], Iterable[WorkerLoss]],
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._losses = losses
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry

    def on_lost(self, loss: WorkerLoss, task_runs: list[TaskRun]) -> None:
        """Handle runs that have ended with their worker and may have crashed it.

        :param loss: the loss of the worker; it may still turn out to be a mere silence.
        :param task_runs: the runs, of its suspects.
        """
        unexplained = find_unexplained(loss, self._losses(), self._settings.silence_tolerance)
        self._telemetry.event(
            "worker-lost",
            worker=loss.worker.id,
            silent_for=round((self._clock.now() - loss.at).total_seconds(), 3),
            is_over=loss.is_over,
            is_planned=loss.is_planned,
            suspects=[f"{run.task}:{run.run}" for run in task_runs],
            proven_ms=[int(run.proven_time.total_seconds() * 1000) for run in task_runs],
            lost_at_once=unexplained.worker.id if unexplained else "",
        )

    def on_returned(self, loss: WorkerLoss) -> None:
        """Handle the return of a silent worker, which has not crashed."""
        if loss.suspects:
            self._telemetry.event("worker-not-lost", worker=loss.worker.id)
