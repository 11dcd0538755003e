"""Table of the jobs of a cell and their state transitions."""

from collections.abc import Iterator, Sequence
from datetime import datetime

from mimosapoint.cell.cancellations import EarlyCancellations
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.ports import Clock, Telemetry
from mimosapoint.workload import (
    AcceptedJob,
    JobProgress,
    Phase,
    TaskId,
    UnitId,
    UnitStart,
    WorkerCrash,
)

__all__ = ["CellJobTable"]


class CellJobTable:
    """All jobs that the owner knows, and their waiting units.

    ``unreadable_ids`` are the ids of the stored jobs that it could not read, or has to read again.
    ``early_cancellations`` are those of jobs that it does not know.

    :param clock: clock of the owner.
    :param telemetry: receives an event when a job is added or ends.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry):
        self.jobs_by_id: dict[str, Job] = {}
        self.unreadable_ids: set[str] = set()
        self.early_cancellations = EarlyCancellations()
        self.waiting_by_id: dict[UnitId, Unit] = {}
        self.uncommitted_by_id: dict[str, Job] = {}
        self._clock = clock
        self._telemetry = telemetry
        self._unexpanded_by_id: dict[str, Job] = {}

    def add(
        self,
        record: AcceptedJob,
        accepted_rev: int,
        progress: JobProgress | None = None,
        progress_rev: int = 0,
    ) -> Job:
        """Add a job, unless it is known already, and return it.

        A known job that has ended is replaced by another one that was stored later: it has been
        removed from the store, although the reply was lost, and its id was then accepted again.

        :param record: the accepted record.
        :param accepted_rev: revision at which the record is stored.
        :param progress: stored progress, if any.
        :param progress_rev: revision of the progress.
        """
        job = self.jobs_by_id.get(record.id)
        if job is not None:
            is_same = accepted_rev <= job.accepted_rev or record == job.record
            if is_same or not job.progress.phase.ended:
                return job
            self.remove(job)
        now = self._clock.now()
        waiting_since = now if progress is None else min(now, record.accepted_at)
        job = Job(record, accepted_rev, progress or JobProgress(), progress_rev, waiting_since)
        self.jobs_by_id[record.id] = job
        if job.progress.phase.ended:
            job.ended_at = now
        else:
            self._unexpanded_by_id[record.id] = job
            self._create_job_units(job, now)
        self._telemetry.event(
            "job-known",
            job=record.id,
            queue=record.queue,
            workspace=record.tenant,
            revision=accepted_rev,
            progress_revision=progress_rev,
            phase=job.progress.phase,
            units=job.remaining,
            priority=record.priority,
            objective=(
                record.slack_factor * record.critical_path() + record.target
            ).total_seconds(),
        )
        return job

    def create_due_units(self) -> datetime | None:
        """Create the units of steps that may start; return when the next occurrence is due."""
        now = self._clock.now()
        next_due = None
        for job in list(self._unexpanded_by_id.values()):
            due = self._create_job_units(job, now)
            if due is not None and (next_due is None or due < next_due):
                next_due = due
        return next_due

    def _create_job_units(self, job: Job, now: datetime) -> datetime | None:
        record = job.record
        # A dependent step waits until the progress is stored: a next owner starts from the stored
        # progress and must find the same steps ready.
        stored = job.stored_progress_version == job.progress_version
        for occurrence in range(record.occurrences):
            due = job.due(occurrence)
            if due > now:
                return due
            for number, step in enumerate(record.steps):
                if (occurrence, number) in job.expanded_steps or (step.after and not stored):
                    continue
                if all(job.step_is_done(occurrence, dependency) for dependency in step.after):
                    self._create_step_units(job, occurrence, number, now)
        if len(job.expanded_steps) == record.occurrences * len(record.steps):
            self._unexpanded_by_id.pop(record.id, None)
        return None

    def _create_step_units(self, job: Job, occurrence: int, number: int, now: datetime) -> None:
        job.expanded_steps.add((occurrence, number))
        for unit_id in job.record.units_of(occurrence, number):
            if job.progress.is_done(unit_id):
                continue
            unit = job.units_by_id.setdefault(unit_id, Unit(unit_id, job, UnitState.WAITING, now))
            if unit.state is UnitState.WAITING:
                self.waiting_by_id[unit_id] = unit

    def find(self, unit_id: UnitId) -> Unit | None:
        """Return a unit, or ``None`` if it has not been created."""
        job = self.jobs_by_id.get(unit_id.job)
        return job.units_by_id.get(unit_id) if job else None

    def find_started(self, task: TaskId, run: int) -> Unit | None:
        """Return the unit of a run that a worker has reported; ``None`` if it is of no open job.

        The report shows that the job has begun.

        A run of a job that was removed is not one of a later job of the same id.

        An earlier owner may have created the unit before its time by this owner's clock. It is then
        created here too, and waits for its time if it has to start again.
        """
        job = self.jobs_by_id.get(task.job)
        unit_id = job.record.unit_of(task) if job else None
        if unit_id is None:
            return None
        if not job.progress.may_include(run):
            first_run = job.progress.first_run
            self._telemetry.event(
                "earlier-job-run", job=task.job, task=task, run=run, first_run=first_run
            )
            return None
        unit = job.units_by_id.get(unit_id)
        if unit is None and not (job.progress.phase.ended or job.progress.is_done(unit_id)):
            unit = Unit(unit_id, job, UnitState.WAITING, self._clock.now())
            job.units_by_id[unit_id] = unit
        self.record_begun(job)
        return unit

    def may_have_started(self, unit: Unit) -> bool:
        """Return whether an earlier owner may rightly have started a waiting unit."""
        is_expanded = (unit.id.occurrence, unit.id.step) in unit.job.expanded_steps
        return is_expanded or unit.job.due(unit.id.occurrence) > self._clock.now()

    def activate(self, unit: Unit, run: int) -> None:
        """Mark a unit as active with the given run."""
        unit.state = UnitState.ACTIVE
        unit.run = run
        unit.end = None
        unit.stop_reason = ""
        unit.since = self._clock.now()
        self.waiting_by_id.pop(unit.id, None)
        unit.job.progress.begin_runs(run)
        self._set_phase(unit.job, Phase.RUNNING)

    def requeue(self, unit: Unit) -> None:
        """Return a unit to the queue; nothing of its last run is left on workers."""
        if unit.job.progress.phase.ended:
            unit.state = UnitState.DROPPED
            # Nothing else changes the progress of an ended job, and the next owner counts its runs.
            if unit.job.progress.starts.pop(unit.id.key, None):
                self._mark_changed(unit.job)
        elif unit.state is UnitState.ACTIVE:
            unit.state = UnitState.WAITING
            unit.since = self._clock.now()
            if (unit.id.occurrence, unit.id.step) in unit.job.expanded_steps:
                self.waiting_by_id[unit.id] = unit
            # A stale record delays the next owner at most; that of a suspect would be evidence.
            start = unit.job.progress.starts.pop(unit.id.key, None)
            if start is not None and start.born:
                self._mark_changed(unit.job)
            if not unit.job.has_begun and not unit.job.has_active_unit:
                self.record_not_begun(unit.job)

    def record_begun(self, job: Job) -> None:
        """Record that a worker has begun a run of a job.

        It is stored with the next change, unless callers have been shown that the job waits.
        """
        if job.has_begun or job.progress.phase.ended:
            return
        job.has_begun = True
        if job.progress.has_begun is False:
            self._mark_changed(job)
        job.progress.has_begun = True

    def record_not_begun(self, job: Job) -> None:
        """Record that no run of a job has begun, whatever starts of it were decided."""
        if job.has_begun or job.progress.phase.ended:
            return
        job.has_begun = False
        if job.progress.phase is Phase.RUNNING and job.progress.has_begun is not False:
            job.progress.has_begun = False
            self._mark_changed(job)

    def finish_unit(self, unit: Unit) -> None:
        """Record that a unit is done."""
        job = unit.job
        if job.progress.phase.ended or not job.progress.add_done(unit.id):
            return
        unit.state = UnitState.DONE
        self.waiting_by_id.pop(unit.id, None)
        job.remaining -= 1
        self._mark_changed(job)
        if job.remaining == 0:
            self._end(job, Phase.COMPLETE)

    def fail_run(self, unit: Unit, run: int) -> None:
        """Record a failed run; the job fails with the last permitted attempt.

        Long-running steps may fail any number of times.
        """
        job = unit.job
        if job.progress.phase.ended or not job.progress.add_failure(unit.id, run):
            return
        self._mark_changed(job)
        if job.progress.failure_count(unit.id) >= job.record.max_attempts:
            if not unit.step.long_running:
                runs = job.progress.failed_runs[unit.id.key]
                self._end(job, Phase.FAILED, unit=unit.id, failed_runs=runs)

    def record_crash(self, unit: Unit, task: TaskId, crash: WorkerCrash) -> bool:
        """Record a crash that a task may have caused; return whether that is new."""
        job = unit.job
        if job.progress.phase.ended or unit.state is UnitState.DONE:
            return False
        if not job.progress.add_crash(task, crash):
            return False
        self._mark_changed(job)
        return True

    def clear_crashes(self, unit: Unit, task: TaskId, run: int | None = None) -> bool:
        """Remove the crashes recorded for a task, or for one of its runs; return whether any was.

        Those of a job that has ended stay, as they may be the reason.
        """
        job = unit.job
        if job.progress.phase.ended or not job.progress.remove_crashes(task, run):
            return False
        self._mark_changed(job)
        return True

    def explain_crashes(self, causes: Sequence[WorkerCrash]) -> dict[str, list[str]]:
        """Mark the crashes that other tasks have caused.

        :param causes: the crashes under the tasks that caused them.
        :return: keys of the tasks that are less suspect than before, by job.
        """
        explained = {}
        for job in self.open_jobs():
            if task_keys := job.progress.explain_crashes(causes):
                explained[job.record.id] = task_keys
                self._mark_changed(job)
        return explained

    def give_up(self, job: Job, task: TaskId) -> None:
        """Let a job fail whose task crashes its workers."""
        crashes = [
            f"{each.worker}:{each.run}:weight={each.weight},certain={each.is_certain}"
            for each in job.progress.crashes.get(task.key, ())
        ]
        self._end(job, Phase.FAILED, task=task, crashes=crashes)

    def set_start(self, unit: Unit, start: UnitStart) -> None:
        """Record the start of a unit, which is ordered once that is stored."""
        unit.job.progress.starts[unit.id.key] = start
        self._mark_changed(unit.job)

    def save_checkpoint(self, unit: Unit, checkpoint: str, durable: bool) -> None:
        """Record a checkpoint; a durable one is stored with the next commit."""
        job = unit.job
        if not checkpoint or checkpoint == unit.checkpoint or job.progress.phase.ended:
            return
        if unit.state is not UnitState.DONE:
            job.progress.checkpoints[unit.id.key] = checkpoint
            if durable:
                self._mark_changed(job)

    def cancel(self, job: Job) -> None:
        """Record that the caller has cancelled a job."""
        if not job.cancelled:
            job.cancelled = True
            self._end(job, Phase.CANCELLED)

    def remove(self, job: Job) -> None:
        """Remove an ended job."""
        self.jobs_by_id.pop(job.record.id, None)
        self.uncommitted_by_id.pop(job.record.id, None)

    def open_jobs(self) -> Iterator[Job]:
        """Return an iterator over the jobs that have not ended."""
        return (job for job in self.jobs_by_id.values() if not job.progress.phase.ended)

    def backlog_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of which no worker has begun a run, by queue."""
        counts: dict[str, int] = {}
        for job in self.open_jobs():
            if job.has_begun is False:
                counts[job.record.queue] = counts.get(job.record.queue, 0) + 1
        return counts

    def active_units(self) -> Iterator[Unit]:
        """Yield the units that have, or may have, runs on workers."""
        for job in self.jobs_by_id.values():
            for unit in job.units_by_id.values():
                if unit.task_runs_by_task:
                    yield unit

    def _set_phase(self, job: Job, phase: Phase) -> None:
        if job.progress.phase is not phase and not job.progress.phase.ended:
            if job.progress.phase is Phase.QUEUED:
                job.progress.has_all_starts = True
            job.progress.phase = phase
            self._mark_changed(job)

    def _end(self, job: Job, phase: Phase, **log_fields: object) -> None:
        if job.progress.phase.ended:
            return
        now = self._clock.now()
        self._set_phase(job, phase)
        job.ended_at = now
        self._unexpanded_by_id.pop(job.record.id, None)
        for unit in job.units_by_id.values():
            if unit.state is UnitState.WAITING:
                unit.state = UnitState.DROPPED
                self.waiting_by_id.pop(unit.id, None)
        self._telemetry.event(
            "job-ended",
            job=job.record.id,
            phase=phase,
            queue=job.record.queue,
            seconds=round((now - job.waiting_since).total_seconds(), 3),
            **log_fields,
        )
        self._telemetry.count("cell_jobs_ended", phase=phase.value)

    def _mark_changed(self, job: Job) -> None:
        job.progress_version += 1
        self.uncommitted_by_id[job.record.id] = job
