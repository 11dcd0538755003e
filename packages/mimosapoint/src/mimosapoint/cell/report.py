"""Status reports about a cell, for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import datetime
from typing import TYPE_CHECKING

import attrs

from mimosapoint.cell.decisions.guarantees import covered_jobs
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.errors import JobNotFound, NotCellOwner

if TYPE_CHECKING:
    from mimosapoint.cell.core import CellNode
    from mimosapoint.cell.owner import Owner

__all__ = [
    "CellReport",
    "CellStatus",
    "CrashStatus",
    "JobStatus",
    "QueueStatus",
    "StepStatus",
    "UnknownWorkerStatus",
    "WorkerStatus",
]


@attrs.frozen
class UnknownWorkerStatus:
    """A worker of earlier owners whose runs are not known yet.

    :param worker: id of the worker.
    :param seconds: time until no run of an earlier owner can be left on it, in seconds.
    :param units: number of units that wait, as it may be running them.
    """

    worker: str
    seconds: float
    units: int


@attrs.frozen
class CellStatus:
    """State of a cell as one node sees it.

    ``epoch`` and the parameters after it are 0 or false unless this node is the owner.

    :param node: id of the reporting node.
    :param owner: id of the cell's owner, as far as the node knows; empty for none.
    :param version: version of the configuration in force; 0 before the first.
    :param confirmed_seconds: time since the configuration was last confirmed, in seconds; ``None``
        before the first confirmation.
    :param ready: whether the node serves callers.
    :param withdrawn_zones: availability zones out of service.
    :param epoch: epoch of the ownership.
    :param settled: whether recovery is complete: the runs on all workers of earlier owners have
        become known.
    :param jobs: number of jobs whose end is not stored.
    :param waiting: number of waiting units.
    :param active: number of units with runs on workers.
    :param workers: number of workers.
    :param usable_workers: number of workers that get new work.
    :param unknown_workers: workers for which the recovery still waits, the shortest wait first.
    """

    node: str
    owner: str
    version: int
    confirmed_seconds: float | None
    ready: bool
    withdrawn_zones: tuple[str, ...]
    epoch: int = 0
    settled: bool = False
    jobs: int = 0
    waiting: int = 0
    active: int = 0
    workers: int = 0
    usable_workers: int = 0
    unknown_workers: tuple[UnknownWorkerStatus, ...] = ()


@attrs.frozen
class QueueStatus:
    """State of a queue.

    :param name: name of the queue.
    :param priority: priority; 0 is the highest.
    :param jobs: number of jobs whose end is not stored.
    :param unstarted: number of jobs without a started task.
    :param waiting: number of waiting units.
    :param active: number of units with runs on workers.
    :param longest_wait_seconds: longest current wait of a unit, in seconds.
    """

    name: str
    priority: int
    jobs: int
    unstarted: int
    waiting: int
    active: int
    longest_wait_seconds: float


@attrs.frozen
class WorkerStatus:
    """State of a worker.

    :param id: id of the worker.
    :param zone: availability zone.
    :param rack: rack.
    :param state: ``usable``, or the reason why it gets no new work.
    :param runs: number of runs that exist, or may exist, on the worker.
    :param free_accelerators: number of free accelerators.
    :param free_millicores: free processor capacity, in thousandths of a core.
    :param answered_seconds: time since its last reply, in seconds; ``None`` before the first.
    """

    id: str
    zone: str
    rack: str
    state: str
    runs: int
    free_accelerators: int
    free_millicores: int
    answered_seconds: float | None


@attrs.frozen
class StepStatus:
    """State of a step in one occurrence of a job.

    :param occurrence: number of the occurrence, from 0.
    :param step: number of the step, from 0.
    :param units: number of units.
    :param done: number of units that are done.
    :param active: number of units that start, run or are being stopped.
    :param waiting: number of waiting units by the reason of their wait.
    """

    occurrence: int
    step: int
    units: int
    done: int
    active: int
    waiting: dict[str, int]


@attrs.frozen
class CrashStatus:
    """Crash of a worker that a task may have caused.

    :param task: the task.
    :param worker: id of the worker.
    :param is_sole: whether no run of another unit can have caused it.
    """

    task: str
    worker: str
    is_sole: bool


@attrs.frozen
class JobStatus:
    """State of a job that the owner knows.

    :param id: id of the job.
    :param queue: its queue.
    :param workspace: its workspace.
    :param priority: priority; 0 is the highest.
    :param phase: stored state, as its caller sees it. It is ``running`` from the decision on its
        first start, and ``queued`` again once no start of it is left that may take effect.
    :param covered: whether its workspace's guarantee covers it.
    :param objective: time by which the newest occurrence should be done.
    :param steps: states of its steps, as the owner knows them; ends of units may not be stored yet.
    :param crashes: crashes of workers that its tasks may have caused. In a job that has failed, the
        task with the most of them is the reason, if there are any.
    """

    id: str
    queue: str
    workspace: str
    priority: int
    phase: str
    covered: bool
    objective: datetime
    steps: tuple[StepStatus, ...]
    crashes: tuple[CrashStatus, ...] = ()


class CellReport:
    """Reports about a cell, as seen by one node.

    :param node: the reporting node.
    """

    def __init__(self, node: CellNode):
        self._node = node

    def status(self) -> CellStatus:
        """Return the state of the cell as this node sees it."""
        node, view = self._node, self._node.view
        status = CellStatus(
            node.name,
            node.owner_id,
            view.configuration.version if view.configuration else 0,
            round(view.age.total_seconds(), 3) if view.age is not None else None,
            node.is_ready(),
            tuple(sorted(view.withdrawn_zones)),
        )
        owner = node.owner
        if owner is None:
            return status
        sessions, now = owner.fleet.sessions_by_id.values(), owner.now()
        return attrs.evolve(
            status,
            epoch=owner.epoch,
            settled=owner.recovery.is_complete,
            jobs=sum(1 for _ in _jobs_without_stored_end(owner)),
            waiting=len(owner.job_table.waiting_by_id),
            active=sum(1 for _ in owner.job_table.active_units()),
            workers=len(sessions),
            usable_workers=len(owner.usable_sessions()),
            unknown_workers=tuple(
                UnknownWorkerStatus(
                    wait.worker, round((wait.until - now).total_seconds(), 3), wait.units
                )
                for wait in owner.recovery.waits()
            ),
        )

    def queues(self) -> tuple[QueueStatus, ...]:
        """Return the state of each queue in the configuration.

        :raises NotCellOwner: another node owns the cell.
        """
        owner = self._owner()
        now = owner.now()
        unstarted = owner.job_table.backlog_by_queue()
        waiting = Counter(unit.job.record.queue for unit in owner.job_table.waiting_by_id.values())
        active = Counter(unit.job.record.queue for unit in owner.job_table.active_units())
        longest: dict[str, float] = {}
        for unit in owner.job_table.waiting_by_id.values():
            queue = unit.job.record.queue
            seconds = (now - unit.since).total_seconds()
            longest[queue] = max(longest.get(queue, 0.0), seconds)
        counts = Counter(job.record.queue for job in _jobs_without_stored_end(owner))
        configuration = self._node.view.configuration
        return tuple(
            QueueStatus(
                queue.name,
                queue.priority,
                counts[queue.name],
                unstarted.get(queue.name, 0),
                waiting[queue.name],
                active[queue.name],
                round(longest.get(queue.name, 0.0), 3),
            )
            for queue in (configuration.queues if configuration else ())
        )

    def workers(self) -> tuple[WorkerStatus, ...]:
        """Return the state of each worker.

        :raises NotCellOwner: another node owns the cell.
        """
        owner = self._owner()
        now = owner.now()
        withdrawn = self._node.view.withdrawn_zones
        usable = {session.id for session in owner.usable_sessions()}
        statuses = []
        for session in sorted(owner.fleet.sessions_by_id.values(), key=lambda session: session.id):
            answered_at = session.answered_at
            state = session.unusable_reason(now)
            if not state and session.registration.zone in withdrawn:
                state = "zone-withdrawn"
            if not state and session.id not in usable:
                state = "slow"
            if not state and session.worker.suspect_runs:
                state = "isolated"
            statuses.append(
                WorkerStatus(
                    session.id,
                    session.registration.zone,
                    session.registration.rack,
                    state or "usable",
                    len(session.task_runs_by_key),
                    session.worker.free.accelerators,
                    session.worker.free.cpu_millis,
                    round((now - answered_at).total_seconds(), 3) if answered_at else None,
                )
            )
        return tuple(statuses)

    def job(self, job_id: str) -> JobStatus:
        """Return the state of a job and the reasons why its units wait.

        :raises NotCellOwner: another node owns the cell.
        :raises JobNotFound: the owner does not know the job.
        """
        owner = self._owner()
        job = owner.job_table.jobs_by_id.get(job_id)
        if job is None:
            raise JobNotFound("no such job")
        record = job.record
        occurrences = sorted({occurrence for occurrence, _ in job.expanded_steps}) or [0]
        configuration = self._node.view.configuration
        covered = configuration is not None and job_id in covered_jobs(
            owner.job_table.open_jobs(), configuration
        )
        return JobStatus(
            record.id,
            record.queue,
            record.tenant,
            record.priority,
            job.stored_phase.value,
            covered,
            job.soft_deadline(occurrences[-1]),
            tuple(
                _step_status(owner, job, occurrence, number)
                for occurrence in occurrences
                for number in range(len(record.steps))
            ),
            tuple(
                CrashStatus(f"{job_id}.{key}", crash.worker, crash.is_sole)
                for key, crashes in job.progress.crashes.items()
                for crash in crashes
            ),
        )

    def require_owner(self) -> None:
        """Return if this node is the owner.

        :raises NotCellOwner: another node owns the cell.
        """
        self._owner()

    def _owner(self) -> Owner:
        owner = self._node.owner
        if owner is None:
            raise NotCellOwner(f"{self._node.owner_id or 'no node'} owns the cell")
        return owner


def _jobs_without_stored_end(owner: Owner) -> Iterator[Job]:
    """Return an iterator over the jobs that a later owner would find open."""
    return (job for job in owner.job_table.jobs_by_id.values() if not job.stored_phase.ended)


def _step_status(owner: Owner, job: Job, occurrence: int, number: int) -> StepStatus:
    units = list(job.record.units_of(occurrence, number))
    done = sum(job.progress.is_done(unit) for unit in units)
    if (occurrence, number) not in job.expanded_steps:
        reason = "not-due" if job.due(occurrence) > owner.now() else "earlier-steps"
        return StepStatus(occurrence, number, len(units), done, 0, {reason: len(units) - done})
    found = [job.units_by_id[unit] for unit in units if unit in job.units_by_id]
    reasons = Counter(
        _format_wait(owner, unit) for unit in found if unit.state is UnitState.WAITING
    )
    active = sum(unit.state is UnitState.ACTIVE for unit in found)
    return StepStatus(occurrence, number, len(units), done, active, dict(reasons))


def _format_wait(owner: Owner, unit: Unit) -> str:
    waiting = owner.wait_explainer.explain(unit)
    return f"{waiting.reason.value}: {waiting.detail}"
