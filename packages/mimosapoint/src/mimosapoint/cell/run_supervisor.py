"""Runs of an owner: their orders, their ends and what follows from them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from mimosapoint.cell.committer import ProgressCommitter
from mimosapoint.cell.decisions.crash_suspects import find_suspects
from mimosapoint.cell.decisions.durations import Durations, run_seconds
from mimosapoint.cell.decisions.preemption_cost import lost_core_seconds
from mimosapoint.cell.decisions.units import Job, TaskRun, Unit, UnitState
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.fleet import Fleet
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.start_limiter import StartLimiter
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.ports import EndedRun, RunStatus
from mimosapoint.workload import ResourceAmounts, RunEnd, TaskId, UnitStart

__all__ = ["RunSupervisor"]

RUN_COUNTER_BITS = 20
"""Low bits of a run number, which count the starts of units in one ownership; the epoch is above
them."""

MAX_BLAMED_WORKERS = 2
"""Most workers whose health the failures of one job count against; a job that fails on more
workers is itself at fault."""

UNKNOWN_AMOUNTS = ResourceAmounts(1 << 40, 1 << 40, 1 << 20)
"""Resources that a run of an unknown job is assumed to occupy: more than any worker has, so that
its worker gets no new work. In thousandths of a core, MB and accelerators."""


class RunSupervisor:
    """Starts and stops units, and handles the ends of their runs.

    :param ownership: the ownership.
    :param dependencies: clock, telemetry and configuration.
    :param job_table: the jobs.
    :param fleet: the worker sessions.
    :param committer: stores the progress of jobs.
    :param start_limiter: counts the starts in flight.
    :param start_task: starts a function as a task of the owner.
    :param request_decision: requests a new scheduling decision.
    :param durations: learns the run times.
    :param settings: time within which a crash is blamed on a run.
    :param exceeds_cap: whether a run, which is counted already, exceeds its workspace's cap.
    """

    def __init__(
        self,
        ownership: Ownership,
        dependencies: CellOwnerDependencies,
        job_table: CellJobTable,
        fleet: Fleet,
        committer: ProgressCommitter,
        start_limiter: StartLimiter,
        start_task: Callable[..., None],
        request_decision: Callable[[], None],
        durations: Durations,
        settings: CellSettings,
        exceeds_cap: Callable[[TaskRun], bool],
    ):
        self._ownership = ownership
        self._view = dependencies.view
        self._clock = dependencies.clock
        self._telemetry = dependencies.telemetry
        self._job_table = job_table
        self._fleet = fleet
        self._committer = committer
        self._start_limiter = start_limiter
        self._start_task = start_task
        self._request_decision = request_decision
        self._durations = durations
        self._settings = settings
        self._exceeds_cap = exceeds_cap
        self._run_count = 0
        self._unwanted_run_counts: Counter[TaskId] = Counter()

    def adopt(self, worker: Worker, status: RunStatus) -> TaskRun:
        """Adopt a run that an earlier owner started, or stop it if it is unwanted."""
        job = self._job_table.jobs_by_id.get(status.task.job)
        unit_id = job.record.unit_of(status.task) if job else None
        unit = self._job_table.find_started(status.task, status.run)
        amounts = UNKNOWN_AMOUNTS
        if job is not None and unit_id is not None:
            amounts = job.record.steps[unit_id.step].amounts
        wanted = unit is not None and self._is_wanted(unit, status)
        task_run = TaskRun(
            status.task,
            status.run,
            worker,
            amounts,
            unit if wanted else None,
            workspace=job.record.tenant if job else None,
        )
        self._telemetry.event(
            "run-adopted" if wanted else "run-unwanted",
            **task_run.log_fields(),
            unit_state=unit.state if unit else "unknown",
        )
        if wanted:
            if unit.state is UnitState.WAITING:
                self._job_table.activate(unit, status.run)
            unit.task_runs_by_task[status.task] = task_run
        else:
            self._unwanted_run_counts[status.task] += 1
            self._stop_task_run(task_run)
        return task_run

    def on_ended(self, task_run: TaskRun, end: RunEnd, checkpoint: str, reason: str = "") -> None:
        """Handle a run that is not, or no longer, on its worker."""
        unit = task_run.unit
        self._telemetry.event(
            "run-over",
            **task_run.log_fields(),
            end=end,
            reason=reason or "reported",
            percent=task_run.percent,
        )
        self._telemetry.count("cell_runs_over", end=end.value)
        if unit is None:
            self._unwanted_run_counts -= Counter({task_run.task: 1})
            self.apply_found_end(task_run.task, task_run.run, end, checkpoint)
            return
        if unit.task_runs_by_task.get(task_run.task) is task_run:
            del unit.task_runs_by_task[task_run.task]
        # A stop saves the progress up to it; the tasks that it breaks have an older checkpoint.
        if not (end is RunEnd.BROKEN and unit.end is RunEnd.STOPPED):
            self._job_table.save_checkpoint(unit, checkpoint, durable=True)
        if end is RunEnd.LAPSED:
            unit.lapsed_runs.add(task_run.run)
        self._handle_run_end(unit, task_run, end)
        self._end_broken_gang(unit)

    def on_silent(self, worker: Worker) -> None:
        """Handle a worker that does not reply; a gang of which it ran a part may have ended."""
        units = {task_run.unit for task_run in worker.task_runs_by_key.values()}
        for unit in units - {None}:
            self._end_broken_gang(unit)

    def on_unknown_ended(self, worker: Worker, ended: EndedRun) -> bool:
        """Handle the end of a run that an earlier owner started, or that was removed.

        :return: whether it changed a unit.
        """
        is_changed = self.apply_found_end(ended.task, ended.run, ended.end, ended.checkpoint)
        if is_changed:
            self._telemetry.event(
                "run-over",
                job=ended.task.job,
                task=ended.task,
                run=ended.run,
                worker=worker.id,
                end=ended.end,
                reason="found",
            )
        return is_changed

    def apply_found_end(self, task: TaskId, run: int, end: RunEnd, checkpoint: str) -> bool:
        """Apply the end of a run that is not one of its unit; return whether it changed the unit.

        Its worker forgets the end afterwards, so that one that matters has to change the progress.
        """
        unit = self._job_table.find_started(task, run)
        if unit is None or unit.state in (UnitState.DONE, UnitState.DROPPED):
            return False
        unit.unseen_ends.pop(run, None)
        superseded = run < unit.run and unit.state is UnitState.ACTIVE
        is_void = end is RunEnd.DONE and run in unit.lapsed_runs
        if superseded and (is_void or end not in (RunEnd.DONE, RunEnd.FAILED)):
            return False
        if not superseded:
            self._job_table.save_checkpoint(unit, checkpoint, durable=True)
        if end is RunEnd.DONE:
            self._job_table.finish_unit(unit)
            self.stop_unit(unit, "done-elsewhere")
        elif end is RunEnd.FAILED:
            self._job_table.fail_run(unit, run)
            # Found late, a failure counts as an attempt, though not against the worker, and does
            # not stop a run that started after it.
            if unit.job.progress.phase.ended or not superseded:
                self._stop_after_failure(unit)
        return True

    def start_unit(self, unit: Unit, workers: tuple[Worker, ...]) -> None:
        """Start a unit, each of its tasks on the worker at the same place of ``workers``."""
        self._run_count += 1
        run = (self._ownership.epoch << RUN_COUNTER_BITS) + self._run_count
        waited = (self._clock.now() - unit.since).total_seconds()
        self._job_table.activate(unit, run)
        self._job_table.set_start(unit, self._make_start(unit, run, workers))
        self._telemetry.event(
            "unit-started",
            job=unit.id.job,
            unit=unit.id,
            run=run,
            workers=sorted({worker.id for worker in workers}),
            tasks=len(workers),
            waited=round(waited, 3),
            version=self._view.configuration.version,
            view_age=round(self._view.age.total_seconds(), 3),
        )
        self._telemetry.observe("cell_wait_seconds", waited, priority=str(unit.job.record.priority))
        self._start_limiter.add_started(len(workers))
        checkpoint = unit.checkpoint
        for task, worker in zip(unit.tasks, workers, strict=True):
            session = self._fleet.sessions_by_id[worker.id]
            task_run = session.create_task_run(unit, task, run)
            self._start_task(self._order_start, session, task_run, unit.job, checkpoint)

    def _make_start(self, unit: Unit, run: int, workers: tuple[Worker, ...]) -> UnitStart:
        """Return the record of a start; that of a suspect tells later if its worker crashed."""
        ids = tuple(worker.id for worker in workers)
        if not unit.is_suspect:
            return UnitStart(run, ids)
        window = self._settings.crash_blame_window
        is_sole = all(next(find_suspects(worker, window), None) is None for worker in workers)
        born = tuple(self._fleet.sessions_by_id[worker].incarnation for worker in ids)
        return UnitStart(run, ids, born, is_sole)

    async def _order_start(
        self, session: WorkerSession, task_run: TaskRun, job: Job, checkpoint: str
    ) -> None:
        """Order a start once it is stored where the unit starts.

        So the next owner knows which runs a worker may have that does not reply to it.
        """
        version = self._view.configuration.version
        try:
            await self._committer.wait_stored([job])
            # A cap may have been lowered while the order waited for the store.
            if self._view.configuration.version != version and self._exceeds_cap(task_run):
                session.end_task_run(task_run, RunEnd.REFUSED, reason="over-quota")
                return
            await session.start(task_run, job.record, checkpoint)
        finally:
            if self._start_limiter.remove_finished():
                self._request_decision()

    def stop_unit(self, unit: Unit, reason: str, **log_fields: object) -> None:
        """Stop the runs of a unit, unless they are being stopped already.

        :param unit: the unit.
        :param reason: reason of the stop, for logs.
        :param log_fields: values that decided the stop, for logs.
        """
        if not unit.task_runs_by_task or unit.stop_reason:
            return
        unit.stop_reason = reason
        self._telemetry.event(
            "unit-stopped",
            job=unit.id.job,
            unit=unit.id,
            run=unit.run,
            reason=reason,
            priority=unit.job.record.priority,
            lost_core_seconds=round(lost_core_seconds(unit, self._clock.now())),
            **log_fields,
        )
        self._telemetry.count("cell_units_stopped")
        for task_run in list(unit.task_runs_by_task.values()):
            self._stop_task_run(task_run)

    def _stop_task_run(self, task_run: TaskRun) -> None:
        if not task_run.stopping:
            task_run.stopping = True
            session = self._fleet.sessions_by_id[task_run.worker.id]
            self._start_task(session.stop, task_run)

    def _is_wanted(self, unit: Unit, status: RunStatus) -> bool:
        if unit.job.progress.phase.ended:
            return False
        if unit.state is UnitState.ACTIVE:
            return status.run == unit.run and status.task not in unit.task_runs_by_task
        return unit.state is UnitState.WAITING and self._job_table.may_have_started(unit)

    def _handle_run_end(self, unit: Unit, task_run: TaskRun, end: RunEnd) -> None:
        """Update a unit after the end of one of its runs.

        After the ends ``ALONE`` and ``BROKEN`` the other runs of a gang are not stopped here.
        """
        if unit.state is UnitState.ACTIVE and task_run.run == unit.run:
            unit.end = end if unit.end in (None, RunEnd.BROKEN) else unit.end
            if end is RunEnd.DONE:
                task_run.worker.health.record_success()
                self._observe_run_time(unit, task_run)
                self._job_table.finish_unit(unit)
            elif end is RunEnd.FAILED:
                self._record_failure(unit, task_run.worker)
                self._job_table.fail_run(unit, task_run.run)
                self._stop_after_failure(unit)
            elif end in (RunEnd.REFUSED, RunEnd.LOST, RunEnd.LAPSED, RunEnd.STOPPED):
                self.stop_unit(unit, f"member-{end.value}")
        if unit.state is UnitState.ACTIVE and not unit.task_runs_by_task:
            self._job_table.requeue(unit)

    def _observe_run_time(self, unit: Unit, task_run: TaskRun) -> None:
        """Learn from a completed run, if it is a full sample."""
        seconds = run_seconds(unit, task_run, self._clock.now())
        if seconds is None:
            return
        expected = self._durations.expected(unit).total_seconds()
        if expected > 0:
            self._telemetry.observe(
                "cell_run_time_ratio", seconds / expected, priority=str(unit.job.record.priority)
            )
        self._observe_pace(unit, task_run, seconds)
        self._durations.observe(unit, task_run, seconds)

    def _observe_pace(self, unit: Unit, task_run: TaskRun, seconds: float) -> None:
        """Learn the speed of the workers of a completed run.

        A gang runs at the pace of its slowest worker, so that it shows little about each of many.
        """
        typical = self._durations.typical(unit)
        if typical is None or seconds <= 0:
            return
        workers = {task_run.worker} | {run.worker for run in unit.task_runs_by_task.values()}
        deviation = typical.deviation * math.sqrt(len(workers))
        for worker in workers:
            worker.pace.add_run(seconds, typical.seconds, deviation)

    def _end_broken_gang(self, unit: Unit) -> None:
        """End the runs of a broken gang on the silent worker whose run must have ended first.

        A task ends as broken when another one of its gang has ended. If all tasks on the workers
        that reply are broken, the first end was on the silent one, and the rest ended with it. The
        gang need not wait until the lease of that worker has expired, unless that end may be the
        last permitted failure.
        """
        runs = list(unit.task_runs_by_task.values())
        workers = {task_run.worker.id for task_run in runs}
        if unit.end is not RunEnd.BROKEN or len(workers) != 1:
            return
        session = self._fleet.sessions_by_id[workers.pop()]
        is_started = all(task_run.confirmed_ms is not None for task_run in runs)
        if is_started and not session.is_reachable:
            if not unit.has_attempts_left(self._clock.now(), further_failures=1):
                self._telemetry.event(
                    "end-awaited",
                    job=unit.id.job,
                    unit=unit.id,
                    run=unit.run,
                    worker=session.id,
                    unseen=len(unit.unseen_ends),
                )
                return
            unit.unseen_ends[unit.run] = session.lease.expires_at
            session.loss_watch.record_broken(runs)
            for task_run in runs:
                session.end_task_run(task_run, RunEnd.BROKEN, reason="gang-broken")

    def _record_failure(self, unit: Unit, worker: Worker) -> None:
        """Count a failure against the worker, unless the job has failed on too many workers."""
        unit.failed_on.add(worker.id)
        unit.job.failed_on.add(worker.id)
        if len(unit.job.failed_on) > MAX_BLAMED_WORKERS:
            return
        if worker.health.record_failure(unit.id.job, self._clock.now()):
            self._telemetry.event(
                "worker-put-aside",
                job=unit.id.job,
                worker=worker.id,
                until=worker.health.quarantined_until,
            )
            self._telemetry.count("cell_workers_put_aside")

    def _stop_after_failure(self, unit: Unit) -> None:
        job = unit.job
        if job.progress.phase.ended:
            self.stop_job(job, "job-failed")
        elif unit.task_runs_by_task:
            self.stop_unit(unit, "member-failed")

    def cancel(self, job: Job) -> None:
        """Record that the caller has cancelled a job, and stop its runs."""
        self._job_table.cancel(job)
        self.stop_job(job, "cancelled")

    def stop_job(self, job: Job, reason: str) -> None:
        """Stop the runs of a job."""
        for unit in job.units_by_id.values():
            self.stop_unit(unit, reason)

    def has_remaining_run(self, unit: Unit) -> bool:
        """Return whether a run is left, or an unseen end may be the last permitted failure."""
        if unit.task_runs_by_task:
            return True
        if unit.unseen_ends and not unit.has_attempts_left(self._clock.now()):
            return True
        return bool(self._unwanted_run_counts) and any(
            task in self._unwanted_run_counts for task in unit.tasks
        )
