"""Attribution of crashes of workers to the tasks that may have caused them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import datetime

from mimosapoint.cell.decisions.crash_suspects import (
    find_unexplained,
    is_given_up,
    is_mass_loss,
)
from mimosapoint.cell.decisions.units import Job, TaskRun, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.decisions.worker_loss import WorkerLoss
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock, Telemetry, WorkerRegistration
from mimosapoint.workload import TaskId, WorkerCrash

__all__ = ["CrashBlame"]


class CrashBlame:
    """Records which tasks may have crashed a worker, and gives up those that crash several.

    :param losses: returns the present or last loss of each worker.
    :param registrations: returns the registrations of all workers.
    :param job_table: the jobs, whose progress keeps the crashes.
    :param stop_job: stops the runs of a job, for a reason.
    :param clock: clock of the owner.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        losses: Callable[[], Iterable[WorkerLoss]],
        registrations: Callable[[], Iterable[WorkerRegistration]],
        job_table: CellJobTable,
        stop_job: Callable[[Job, str], None],
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._losses = losses
        self._registrations = registrations
        self._job_table = job_table
        self._stop_job = stop_job
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._unexplained_at: datetime | None = None
        self._silences_by_worker: dict[str, WorkerLoss] = {}

    def on_silent(self, loss: WorkerLoss) -> None:
        """Handle a worker that has stopped replying, and may have crashed.

        Early suspects are recorded at once: the owner may end before it learns what has happened.
        Such a record alone lets no job fail, and it is removed when the worker replies again.
        """
        if loss.suspects:
            self._keep_silence(loss)
        early = [run for run in loss.suspects if self._is_early(run)]
        if early and not self._has_other_cause(loss):
            self._record_all(loss, early)

    def on_lost(self, loss: WorkerLoss, task_runs: list[TaskRun]) -> None:
        """Handle runs that have ended with their worker and may have crashed it.

        :param loss: the loss of the worker; it may still turn out to be a mere silence.
        :param task_runs: the runs, of its suspects.
        """
        if loss.is_over and not loss.is_planned and not loss.suspects and loss.heard_at:
            self._unexplained_at = loss.at
        if not task_runs:
            return
        has_other_cause = self._has_other_cause(loss)
        self._telemetry.event(
            "crash-suspected",
            worker=loss.worker.id,
            silent_for=round((self._clock.now() - loss.at).total_seconds(), 3),
            is_over=loss.is_over,
            suspects=[f"{run.task}:{run.run}" for run in task_runs],
            proven_ms=[int(run.proven_time.total_seconds() * 1000) for run in task_runs],
            has_other_cause=has_other_cause,
        )
        if has_other_cause:
            self._withdraw(loss, task_runs)
            if loss.is_over and not loss.is_planned:
                self._record_common(loss, task_runs)
            return
        self._record_all(loss, task_runs)
        for unit in {run.unit for run in task_runs} - {None}:
            self._give_up_if_proven(unit)

    def record(self, unit: Unit, task: TaskId, crash: WorkerCrash) -> None:
        """Record a crash that a task may have caused, and give the job up if it is one too many."""
        self._record(unit, task, crash)
        self._give_up_if_proven(unit)

    def on_returned(self, loss: WorkerLoss) -> None:
        """Handle the return of a silent worker, which has not crashed."""
        self._silences_by_worker.pop(loss.worker.id, None)
        self._withdraw(loss, loss.suspects)

    def on_found(self, worker: Worker, incarnation: int) -> None:
        """Handle the first reply to a session; in an earlier one the worker may have been silent.

        A session ends when its worker has no registration and no runs, which proves no crash.

        :param incarnation: start of the incarnation that replied; 0 if not known.
        """
        loss = self._silences_by_worker.get(worker.id)
        if loss is not None and incarnation and loss.incarnation == incarnation:
            self.on_returned(loss)

    def _keep_silence(self, loss: WorkerLoss) -> None:
        """Keep a silence, which a later session may find over, and forget those of removed jobs."""
        silences = self._silences_by_worker
        silences.pop(loss.worker.id, None)
        silences[loss.worker.id] = loss
        while loss.at - (oldest := next(iter(silences.values()))).at > self._settings.retention:
            del silences[oldest.worker.id]

    def on_outlived(self, task_run: TaskRun) -> None:
        """Handle a run that has worked too long for a task that crashes its workers."""
        task_run.worker.suspect_runs.discard(task_run)
        if self._job_table.clear_crashes(task_run.unit, task_run.task):
            self._telemetry.event("suspect-cleared", **task_run.log_fields())

    def _has_other_cause(self, loss: WorkerLoss) -> bool:
        """Return whether other losses, or an announcement, show that no run has crashed it."""
        others = list(self._losses())
        return (
            loss.is_planned
            or find_unexplained(loss, others) is not None
            or is_mass_loss(loss, others, self._registrations())
        )

    def _record_all(self, loss: WorkerLoss, task_runs: Iterable[TaskRun]) -> None:
        """Record a loss for runs that may have caused it."""
        is_sole = len({run.unit for run in loss.suspects}) == 1
        is_unambiguous = is_sole and not self._has_recent_unexplained(loss.at)
        for run in task_runs:
            if run.unit is not None:
                is_early = self._is_early(run)
                # Without a reply or report, the start may never have reached the worker.
                is_confirmed = loss.is_over and run.confirmed_ms is not None
                crash = WorkerCrash(
                    run=run.run,
                    worker=loss.worker.id,
                    is_early=is_early,
                    is_sole=is_sole,
                    is_conclusive=is_unambiguous and is_confirmed and is_early,
                    found_at=loss.at,
                    is_confirmed=is_confirmed,
                )
                self._record(run.unit, run.task, crash)

    def _record_common(self, loss: WorkerLoss, task_runs: Iterable[TaskRun]) -> None:
        """Record a crash with a common cause, which counts for the limit of losses.

        Tasks that crash their workers at the same moment look like a loss of power, and would
        otherwise never become suspects.
        """
        units = set()
        for run in task_runs:
            if run.unit is not None:
                crash = WorkerCrash(
                    run=run.run,
                    worker=loss.worker.id,
                    is_early=self._is_early(run),
                    found_at=loss.at,
                    is_explained=True,
                    is_confirmed=run.confirmed_ms is not None,
                    is_common=True,
                )
                self._record(run.unit, run.task, crash)
                units.add(run.unit)
        for unit in units:
            self._give_up_if_proven(unit)

    def _record(self, unit: Unit, task: TaskId, crash: WorkerCrash) -> None:
        if self._job_table.record_crash(unit, task, crash):
            self._telemetry.count("cell_worker_crashes_blamed", sole=str(crash.is_sole).lower())

    def _withdraw(self, loss: WorkerLoss, task_runs: Iterable[TaskRun]) -> None:
        for run in task_runs:
            if run.unit is not None and self._job_table.clear_crashes(run.unit, run.task, run.run):
                self._telemetry.event("crash-withdrawn", worker=loss.worker.id, task=run.task)

    def _give_up_if_proven(self, unit: Unit) -> None:
        job, most = unit.job, self._settings.max_worker_crashes
        for task in unit.tasks:
            crashes = job.progress.crashes.get(task.key, [])
            if not job.progress.phase.ended and is_given_up(crashes, most):
                workers = [crash.worker for crash in crashes]
                self._telemetry.event("job-given-up", job=task.job, task=task, workers=workers)
                self._telemetry.count("cell_jobs_given_up")
                self._job_table.give_up(job, task)
                self._stop_job(job, "worker-crashes")
                self._explain_others(crashes)

    def _explain_others(self, crashes: Sequence[WorkerCrash]) -> None:
        """Clear the tasks that ran beside a task that was given up, as far as it explains them."""
        for job, task_keys in self._job_table.explain_crashes(crashes).items():
            self._telemetry.event("crash-explained", job=job, tasks=task_keys)

    def _is_early(self, task_run: TaskRun) -> bool:
        return task_run.proven_time < self._settings.start_window

    def _has_recent_unexplained(self, at: datetime) -> bool:
        """Return whether a worker has crashed lately although no run can have caused it."""
        return (
            self._unexplained_at is not None
            and at - self._unexplained_at < self._settings.unexplained_memory
        )
