"""Recovery of one ownership: resolves what earlier owners may have running, worker by worker."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import datetime
from typing import TYPE_CHECKING, Protocol

import attrs

from mimosapoint.cell.crash_blame import CrashBlame
from mimosapoint.cell.decisions.quotas import PossibleUse
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.recovery.inherited_workers import InheritedWorkers
from mimosapoint.cell.recovery.suspect_starts import review_start
from mimosapoint.cell.recovery.times import TakeOverTimes
from mimosapoint.cell.recovery.unresolved_starts import UnresolvedStart, UnresolvedStarts
from mimosapoint.ports import Telemetry

if TYPE_CHECKING:
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["Recovery", "RecoveryFleet", "RecoveryWait"]

UNLISTED = "unlisted"
"""Stands for the workers that an unreadable roster may have listed."""


@attrs.frozen
class RecoveryWait:
    """A worker whose runs are not known yet, and what waits for it.

    :param worker: id of the worker.
    :param until: time at which its lease has certainly expired.
    :param units: number of units that it may be running.
    """

    worker: str
    until: datetime
    units: int


class RecoveryFleet(Protocol):
    """Workers of the cell, as recovery uses them.

    :param inherited: workers whose runs are not known.
    :param sessions_by_id: sessions with all workers.
    :param unlisted_runs_until: time from which no run is left on a worker that the roster does not
        list.
    """

    inherited: InheritedWorkers
    sessions_by_id: Mapping[str, WorkerSession]
    unlisted_runs_until: datetime

    def resolve_inherited(self, now: datetime) -> datetime | None:
        """Resolve the inherited workers whose runs are known; return when the next one will be."""
        ...

    def runs_known_by(self, worker_id: str) -> datetime:
        """Return the time at which the lease of an inherited worker has expired."""
        ...


class Recovery:
    """Follows which runs of earlier owners this owner does not know yet.

    Units without such a run, and workspaces whose caps leave room for all such runs, do not wait.

    :param epoch: epoch of the ownership.
    :param job_table: the jobs.
    :param fleet: the workers.
    :param blame: receives the crashes under suspect starts.
    :param stop_unit: stops the runs of a unit, for a reason.
    :param times: times of the parts of this take-over.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        epoch: int,
        job_table: CellJobTable,
        fleet: RecoveryFleet,
        blame: CrashBlame,
        stop_unit: Callable[[Unit, str], None],
        times: TakeOverTimes,
        telemetry: Telemetry,
    ):
        self._epoch = epoch
        self._job_table = job_table
        self._fleet = fleet
        self._blame = blame
        self._stop_unit = stop_unit
        self._times = times
        self._telemetry = telemetry
        self._starts: UnresolvedStarts | None = None
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether every run of earlier owners is known."""
        return self._is_complete

    def begin(self, has_unreadable_jobs: bool) -> None:
        """Begin after the jobs and the roster were loaded.

        :param has_unreadable_jobs: whether there are jobs that could not be loaded.
        """
        jobs = self._job_table.jobs_by_id.values()
        self._starts = UnresolvedStarts(jobs, self._fleet.inherited, has_unreadable_jobs)
        self._record_not_begun(self._job_table.open_jobs())
        self._times.record(
            "loaded",
            jobs=len(jobs),
            workers=len(self._fleet.inherited.capacity_by_id),
            units=len(self._starts),
        )

    def add_job(self, job: Job) -> None:
        """Add a job of earlier owners that could not be loaded at first."""
        if self._starts is not None and not self._is_complete:
            self._starts.add_job(job)
            self._record_not_begun([job])

    def update(self, now: datetime) -> datetime | None:
        """Resolve what has become known; return by when the next worker will be, if one is not.

        Gangs of earlier owners of which runs are missing are stopped, and starts whose worker may
        have crashed unseen are recorded.
        """
        if self._is_complete or self._starts is None:
            return None
        next_at = self._fleet.resolve_inherited(now)
        resolved = self._starts.remove_resolved()
        for each in resolved:
            self._handle_resolved(each)
        if resolved:
            self._record_not_begun(each.job for each in resolved)
        if not self._starts:
            self._times.record("starts-known")
        self._telemetry.gauge("cell_recovery_workers", len(self._fleet.inherited.capacity_by_id))
        self._telemetry.gauge("cell_recovery_units", len(self._starts))
        if not self._starts and not self._fleet.inherited:
            self._is_complete = True
            self._telemetry.event("cell-settled", epoch=self._epoch)
        return next_at

    def may_have_unknown_run(self, unit: Unit) -> bool:
        """Return whether a worker whose runs are not known may have a run of the unit."""
        return not self._is_complete and (self._starts is None or unit.id in self._starts)

    def unknown_workers_of(self, unit: Unit) -> list[str]:
        """Return the workers that may have a run of the unit and have not reported."""
        start = None if self._starts is None else self._starts.start_of(unit.id)
        workers = self._fleet.inherited
        return [
            each for each in (start.workers if start else workers.capacity_by_id) if each in workers
        ]

    def possible_use(self) -> PossibleUse:
        """Return what the workspaces may use beyond the known runs."""
        if self._is_complete:
            return PossibleUse()
        return (
            PossibleUse(is_bounded=False) if self._starts is None else self._starts.possible_use()
        )

    def waits(self) -> list[RecoveryWait]:
        """Return the workers whose runs are not known, with what waits for each."""
        if self._is_complete or self._starts is None:
            return []
        inherited = self._fleet.inherited
        waits = [
            RecoveryWait(worker, self._fleet.runs_known_by(worker), units)
            for worker, units in self._starts.units_by_worker().items()
        ]
        if inherited.has_unlisted:
            units = len(self._starts)
            waits.append(RecoveryWait(UNLISTED, self._fleet.unlisted_runs_until, units))
        return sorted(waits, key=lambda wait: wait.until)

    def _record_not_begun(self, jobs: Iterable[Job]) -> None:
        """Record that jobs have not begun of which no unknown worker may have a run.

        A job may have begun under an earlier owner and have lost its runs; it waits then, too.
        """
        unknown = {unresolved.job.record.id for unresolved in self._starts}
        for job in jobs:
            if job.has_begun is None and job.record.id not in unknown and not job.has_active_unit:
                self._job_table.record_not_begun(job)

    def _handle_resolved(self, resolved: UnresolvedStart) -> None:
        unit = resolved.unit
        if unit is None or unit.state in (UnitState.DONE, UnitState.DROPPED):
            return
        if resolved.start is not None:
            review_start(unit, resolved.start, self._fleet.sessions_by_id, self._blame)
            if unit.state is not UnitState.ACTIVE:
                self._telemetry.event(
                    "earlier-start-over",
                    unit=unit.id,
                    run=resolved.start.run,
                    workers=",".join(resolved.start.workers),
                    epoch=self._epoch,
                )
        if unit.state is UnitState.ACTIVE and len(unit.task_runs_by_task) < unit.size:
            self._stop_unit(unit, "incomplete")
