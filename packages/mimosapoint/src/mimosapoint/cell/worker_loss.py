"""Follows the silences and losses of one worker, and the runs that may have caused them."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from datetime import datetime
from typing import TYPE_CHECKING

from mimosapoint.cell.decisions.crash_suspects import find_suspects
from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.decisions.worker_loss import WorkerLoss
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock
from mimosapoint.workload import TaskId

if TYPE_CHECKING:
    from mimosapoint.cell.session_owner import SessionOwner

__all__ = ["WorkerLossWatch"]


class WorkerLossWatch:
    """Follows one worker from its silence to its return or to the end of its incarnation.

    The suspects are those of the moment of the silence: what ends later on a silent worker, or is
    removed from it, did not leave it before. ``loss`` is the present silence or loss, ``last_loss``
    the newest one that was no mere silence.

    :param worker: the worker.
    :param owner: receiver of the losses.
    :param clock: clock of the owner.
    :param settings: time within which a crash is blamed on a run.
    """

    def __init__(self, worker: Worker, owner: SessionOwner, clock: Clock, settings: CellSettings):
        self.loss: WorkerLoss | None = None
        self.last_loss: WorkerLoss | None = None
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._settings = settings
        self._is_restarted = False
        self._heard_at: datetime | None = None
        self._incarnation = 0

    def record_silence(self) -> None:
        """Record that the worker has stopped replying."""
        self._owner.crash_blame.on_silent(self._open())

    def record_reply(self, incarnation: int) -> None:
        """Record a reply of the known incarnation: if it was silent, it has not crashed.

        :param incarnation: start of the incarnation; 0 if not known.
        """
        if self._heard_at is None:
            self._owner.crash_blame.on_found(self._worker, incarnation)
        self._heard_at = self._clock.now()
        self._incarnation = incarnation
        if self.loss is not None and not self._is_restarted:
            self._owner.crash_blame.on_returned(self.loss)
            self.loss = None

    def record_broken(self, task_runs: Iterable[TaskRun]) -> None:
        """Record that runs on the silent worker have ended, as the rest of their gang shows."""
        if self.loss is not None:
            self._report(task_runs)

    def record_lapse(self) -> None:
        """Record that the lease of the silent worker has expired."""
        self._report(self._open().suspects)

    def record_replacement(self) -> None:
        """Record that another worker or incarnation replies at the address."""
        loss = self.last_loss = self._open()
        loss.is_over = True
        self._report(loss.suspects)

    def record_restart(self) -> None:
        """Record that a new incarnation has started; its first report shows what it runs."""
        self.last_loss = self._open()
        self.last_loss.is_over = True
        self._is_restarted = True

    def record_first_report(self, listed: Collection[tuple[TaskId, int]]) -> None:
        """Record the first report of a new incarnation.

        :param listed: its runs, which reached it before the owner knew of the restart.
        """
        if self.loss is not None and self._is_restarted:
            self._report(run for run in self.loss.suspects if (run.task, run.run) not in listed)
            self.loss = None
        self._is_restarted = False

    def _open(self) -> WorkerLoss:
        if self.loss is None:
            window = self._settings.crash_blame_window
            self.loss = WorkerLoss(
                worker=self._worker,
                at=self._clock.now(),
                heard_at=self._heard_at,
                suspects=tuple(find_suspects(self._worker, window)),
                is_planned=self._worker.registration.draining,
                has_known_suspect=bool(self._worker.suspect_runs),
                incarnation=self._incarnation,
            )
        return self.loss

    def _report(self, task_runs: Iterable[TaskRun]) -> None:
        suspects = set(self.loss.suspects)
        blamed = [run for run in task_runs if run in suspects]
        self._owner.crash_blame.on_lost(self.loss, blamed)
