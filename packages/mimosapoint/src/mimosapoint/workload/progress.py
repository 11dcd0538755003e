"""Stored progress of a job."""

from collections.abc import Iterable

import attrs

from mimosapoint.workload.core import Phase, TaskId, UnitId
from mimosapoint.workload.crashes import WorkerCrash
from mimosapoint.workload.starts import UnitStart

__all__ = ["JobProgress"]


@attrs.define
class JobProgress:
    """Durable progress of a job.

    :param phase: phase of the job.
    :param done: indexes of the completed units, by step key.
    :param failed_runs: numbers of the runs that failed, by unit key.
    :param checkpoints: newest checkpoint of each incomplete unit that has one, by unit key.
    :param crashes: crashes of workers that a task may have caused, by task key.
    :param starts: newest start of each unit that may have runs, by unit key.
    :param has_all_starts: whether ``starts`` is complete; earlier versions recorded no starts.
    :param first_run: number of the first run of the job; 0 before it, and if it is not known, as
        earlier versions do not record it.
    :param has_begun: whether a worker has begun a run of the job. ``False`` is stored when starts
        were decided and none of them took effect; otherwise it may be ``None``, if it is not known
        or an earlier version has written the progress.
    """

    phase: Phase = Phase.QUEUED
    done: dict[str, list[int]] = attrs.field(factory=dict)
    failed_runs: dict[str, list[int]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)
    crashes: dict[str, list[WorkerCrash]] = attrs.field(factory=dict)
    starts: dict[str, UnitStart] = attrs.field(factory=dict)
    has_all_starts: bool = False
    first_run: int = 0
    has_begun: bool | None = None

    @property
    def shown_phase(self) -> Phase:
        """Phase that callers and operators are shown.

        The stored phase is running from the decision on, so that a later owner looks for runs. It
        is shown as such until the starts are known to have had no effect.
        """
        is_waiting = self.phase is Phase.RUNNING and self.has_begun is False
        return Phase.QUEUED if is_waiting else self.phase

    @property
    def has_results(self) -> bool:
        """Whether ends or checkpoints of runs are recorded."""
        return bool(self.done or self.failed_runs or self.checkpoints)

    def begin_runs(self, run: int) -> None:
        """Record the first run of a queued job."""
        if self.phase is Phase.QUEUED:
            self.first_run = run

    def may_include(self, run: int) -> bool:
        """Return whether a run may be of this job, and not of an earlier job of the same id.

        The numbers of runs rise, and the phase is stored before the first start is ordered.
        """
        return self.phase is not Phase.QUEUED and run >= self.first_run

    def is_done(self, unit: UnitId) -> bool:
        """Return whether a unit is done."""
        return unit.index in self.done.get(unit.step_key, ())

    def add_done(self, unit: UnitId) -> bool:
        """Record that a unit is done; return whether this was not recorded before."""
        if self.is_done(unit):
            return False
        self.done.setdefault(unit.step_key, []).append(unit.index)
        self.checkpoints.pop(unit.key, None)
        self.failed_runs.pop(unit.key, None)
        self.starts.pop(unit.key, None)
        return True

    @property
    def has_unrecorded_starts(self) -> bool:
        """Whether units may have been started without a record of their workers."""
        return self.phase is not Phase.QUEUED and not self.has_all_starts

    def add_failure(self, unit: UnitId, run: int) -> bool:
        """Record a failed run of a unit once; return whether it was not recorded before."""
        runs = self.failed_runs.setdefault(unit.key, [])
        if run in runs:
            return False
        runs.append(run)
        return True

    def failure_count(self, unit: UnitId) -> int:
        """Return the number of failed runs of a unit."""
        return len(self.failed_runs.get(unit.key, ()))

    def add_crash(self, task: TaskId, crash: WorkerCrash) -> bool:
        """Record a crash under a run once, with the newest evidence; return whether that is new."""
        known = self.crashes.get(task.key, [])
        if crash in known:
            return False
        self.crashes[task.key] = [each for each in known if each.run != crash.run] + [crash]
        return True

    def explain_crashes(self, causes: Iterable[WorkerCrash]) -> list[str]:
        """Mark the crashes that tasks of other jobs have caused.

        :param causes: the crashes under the tasks that caused them.
        :return: keys of the tasks that are less suspect than before.
        """
        causes = list(causes)
        changed = []
        for task_key, crashes in self.crashes.items():
            marked = [
                (
                    attrs.evolve(crash, is_explained=True)
                    if any(crash.is_same_crash(cause) for cause in causes)
                    else crash
                )
                for crash in crashes
            ]
            if marked != crashes:
                self.crashes[task_key] = marked
                changed.append(task_key)
        return changed

    def remove_crashes(self, task: TaskId, run: int | None = None) -> bool:
        """Remove the crashes of a task, or of one of its runs; return whether there were any."""
        known = self.crashes.get(task.key, [])
        kept = [each for each in known if run is not None and each.run != run]
        if kept:
            self.crashes[task.key] = kept
        else:
            self.crashes.pop(task.key, None)
        return len(kept) < len(known)
