"""Runs on one worker as its run reports show them."""

from __future__ import annotations

from datetime import datetime

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.session_owner import SessionOwner
from mimosapoint.cell.session_state import SessionState
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock, EndedRun, RunStatus, Telemetry, WorkerRunReport
from mimosapoint.workload import RunEnd

__all__ = ["RunReconciler"]


class RunReconciler:
    """Applies run reports of one worker to the owner's records of its runs.

    :param session: the session with the worker.
    :param owner: receiver of adopted runs and of ends.
    :param clock: clock of the owner.
    :param settings: time after which a run is no suspect in a crash.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        session: SessionState,
        owner: SessionOwner,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._session = session
        self._worker = session.worker
        self._owner = owner
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry

    def handle_end(self, ended: EndedRun) -> None:
        """Handle a reported end."""
        task_run = self._worker.task_runs_by_key.get((ended.task, ended.run))
        if task_run is None:
            self._owner.on_unknown_run_ended(self._worker, ended)
        else:
            self._owner.on_run_confirmed(task_run)
            self._session.end_task_run(task_run, ended.end, ended.checkpoint)

    def reconcile(self, report: WorkerRunReport, is_first: bool, is_complete: bool) -> None:
        """Adopt the reported runs that are not known, and remove known runs that are not reported.

        A run that is not reported remains while its start may still have an effect, and if the
        report may be incomplete. The first complete report of a session or incarnation is decisive
        at once.
        """
        now = self._clock.now()
        listed = {(status.task, status.run): status for status in report.running}
        for key, status in listed.items():
            task_run = self._worker.task_runs_by_key.get(key)
            if task_run is None:
                task_run = self._owner.adopt_run(self._worker, status)
                self._worker.add(task_run)
            self._update_task_run(task_run, status, report.clock_ms)
        self._detect_slowness(now)
        if not is_complete:
            return
        if is_first:
            self._session.loss_watch.record_first_report(listed)
        for key, task_run in list(self._worker.task_runs_by_key.items()):
            if key in listed:
                continue
            confirmed = task_run.confirmed_ms
            if is_first:
                self._session.end_task_run(task_run, RunEnd.LOST, reason="reborn")
            elif confirmed is not None and report.clock_ms > confirmed:
                self._session.end_task_run(task_run, RunEnd.LOST, reason="not-listed")
            elif (
                confirmed is None
                and task_run.not_after_ms is not None
                and report.clock_ms > task_run.not_after_ms
            ):
                self._session.end_task_run(task_run, RunEnd.REFUSED, reason="window-over")

    def _detect_slowness(self, now: datetime) -> None:
        rates = [
            each.progress_rate
            for each in self._worker.task_runs_by_key.values()
            if not each.stopping
        ]
        if self._worker.slow_detector.update(rates, now):
            self._telemetry.event(
                "worker-slow",
                worker=self._worker.id,
                assignments=len(self._worker.task_runs_by_key),
                shares=sorted(
                    round(rate.relative_rate, 2) for rate in rates if rate.relative_rate is not None
                ),
                until=self._worker.slow_detector.slow_until,
            )
            self._telemetry.count("cell_workers_slow")

    def _update_task_run(self, task_run: TaskRun, status: RunStatus, clock_ms: int) -> None:
        if task_run.confirmed_ms is None:
            task_run.confirm(clock_ms, self._clock.now())
            self._owner.on_run_confirmed(task_run)
        task_run.percent = status.percent
        task_run.reported_ms, task_run.reported_at = clock_ms, self._clock.now()
        task_run.progress_rate.add_sample(status.percent, clock_ms)
        has_crashes = task_run.unit is not None and task_run.unit.job.progress.crashes
        is_suspect = has_crashes or task_run in self._worker.suspect_runs
        if is_suspect and task_run.proven_time >= self._settings.crash_blame_window:
            self._owner.crash_blame.on_outlived(task_run)
        if status.checkpoint and task_run.unit is not None:
            unit = task_run.unit
            if task_run.run == unit.run:
                unit.job.progress.checkpoints[unit.id.key] = status.checkpoint
