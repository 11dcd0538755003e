"""What operators may ask a node about its cell."""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING

import attrs

from mimosapoint.cell.guarantees import covered_jobs
from mimosapoint.cell.units import Job, Unit, UnitState
from mimosapoint.errors import JobNotFound, NotCellOwner

if TYPE_CHECKING:
    from mimosapoint.cell.core import CellNode
    from mimosapoint.cell.owner import Owner

__all__ = ["CellReport", "CellStatus", "JobStatus", "QueueStatus", "StepStatus", "WorkerStatus"]


@attrs.frozen
class CellStatus:
    """A cell as one node sees it.

    :param node: the node that answers.
    :param owner: the cell's owner, as far as the node knows; empty for none.
    :param version: version of the configuration in force; 0 before the first.
    :param confirmed_seconds: time since it was known to be the newest; ``None`` before the first.
    :param ready: whether the node serves callers.
    :param withdrawn_zones: availability zones out of service.
    :param epoch: number of the ownership; the rest is 0 or false unless this node is the owner.
    :param settled: whether the owner knows what runs on every worker.
    :param jobs: jobs that have not ended.
    :param waiting: units that wait.
    :param active: units that run.
    :param workers: workers.
    :param usable_workers: workers that take new work.
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


@attrs.frozen
class QueueStatus:
    """A queue.

    :param name: name of the queue.
    :param priority: 0 before all others.
    :param jobs: jobs that have not ended.
    :param unstarted: those of which no task has started.
    :param waiting: units that wait.
    :param active: units that run.
    :param longest_wait_seconds: how long the unit that waits longest has waited.
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
    """A worker.

    :param id: id of the worker.
    :param zone: availability zone.
    :param rack: rack.
    :param state: ``usable``, or why it takes no new work.
    :param runs: runs that are, or may be, on it.
    :param free_accelerators: accelerators that nothing occupies.
    :param free_millicores: processor that nothing occupies, in thousandths of a core.
    :param answered_seconds: time since its last answer; ``None`` for none.
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
    """A step of one occurrence of a job.

    :param occurrence: number of the occurrence, from 0.
    :param step: number of the step, from 0.
    :param units: number of units.
    :param done: units that are done.
    :param active: units that run.
    :param waiting: why the others wait, and how many do.
    """

    occurrence: int
    step: int
    units: int
    done: int
    active: int
    waiting: dict[str, int]


@attrs.frozen
class JobStatus:
    """A job that the owner knows.

    :param id: id of the job.
    :param queue: its queue.
    :param workspace: its workspace.
    :param priority: 0 before all others.
    :param phase: state as its caller sees it.
    :param covered: whether its workspace's guarantee covers it.
    :param objective: time at which the current occurrence should be done.
    :param steps: the steps.
    """

    id: str
    queue: str
    workspace: str
    priority: int
    phase: str
    covered: bool
    objective: datetime
    steps: tuple[StepStatus, ...]


class CellReport:
    """Answers about a cell.

    :param node: the node that answers.
    """

    def __init__(self, node: CellNode):
        self._node = node

    def status(self) -> CellStatus:
        """Return the cell as this node sees it."""
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
        links = owner.fleet.sessions_by_id.values()
        return attrs.evolve(
            status,
            epoch=owner.epoch,
            settled=owner.is_recovered,
            jobs=sum(1 for _ in owner.job_table.open_jobs()),
            waiting=len(owner.job_table.waiting_by_id),
            active=sum(1 for _ in owner.job_table.active_units()),
            workers=len(links),
            usable_workers=len(owner.usable_sessions()),
        )

    def queues(self) -> tuple[QueueStatus, ...]:
        """Return every queue of the configuration.

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
        counts = Counter(job.record.queue for job in owner.job_table.open_jobs())
        catalog = self._node.view.configuration
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
            for queue in (catalog.queues if catalog else ())
        )

    def workers(self) -> tuple[WorkerStatus, ...]:
        """Return every worker.

        :raises NotCellOwner: another node owns the cell.
        """
        owner = self._owner()
        now = owner.now()
        withdrawn = self._node.view.withdrawn_zones
        statuses = []
        for link in sorted(owner.fleet.sessions_by_id.values(), key=lambda link: link.id):
            answered = link.answered_at
            obstacle = link.unusable_reason(now)
            if not obstacle and link.registration.zone in withdrawn:
                obstacle = "zone-withdrawn"
            statuses.append(
                WorkerStatus(
                    link.id,
                    link.registration.zone,
                    link.registration.rack,
                    obstacle or "usable",
                    len(link.task_runs_by_key),
                    link.free.accelerators,
                    link.free.cpu_millis,
                    round((now - answered).total_seconds(), 3) if answered else None,
                )
            )
        return tuple(statuses)

    def job(self, job_id: str) -> JobStatus:
        """Return a job, and why its units wait.

        :raises NotCellOwner: another node owns the cell.
        :raises JobNotFound: the owner knows no such job.
        """
        owner = self._owner()
        job = owner.job_table.jobs_by_id.get(job_id)
        if job is None:
            raise JobNotFound("no such job")
        record = job.record
        occurrences = sorted({occurrence for occurrence, _ in job.expanded_steps}) or [0]
        catalog = self._node.view.configuration
        covered = catalog is not None and job_id in covered_jobs(
            owner.job_table.open_jobs(), catalog
        )
        return JobStatus(
            record.id,
            record.queue,
            record.tenant,
            record.priority,
            job.progress.phase.value,
            covered,
            job.soft_deadline(occurrences[-1]),
            tuple(
                _step_status(owner, job, occurrence, number)
                for occurrence in occurrences
                for number in range(len(record.steps))
            ),
        )

    def _owner(self) -> Owner:
        owner = self._node.owner
        if owner is None:
            raise NotCellOwner(f"{self._node.owner_id or 'no node'} owns the cell")
        return owner


def _step_status(owner: Owner, job: Job, occurrence: int, number: int) -> StepStatus:
    units = list(job.record.units_of(occurrence, number))
    done = sum(job.progress.is_done(unit) for unit in units)
    if (occurrence, number) not in job.expanded_steps:
        reason = "not-due" if job.due(occurrence) > owner.now() else "earlier-steps"
        return StepStatus(occurrence, number, len(units), done, 0, {reason: len(units) - done})
    found = [job.units_by_id[unit] for unit in units if unit in job.units_by_id]
    reasons = Counter(_reason(owner, unit) for unit in found if unit.state is UnitState.WAITING)
    active = sum(unit.state is UnitState.ACTIVE for unit in found)
    return StepStatus(occurrence, number, len(units), done, active, dict(reasons))


def _reason(owner: Owner, unit: Unit) -> str:
    waiting = owner.explain_wait(unit)
    return f"{waiting.reason.value}: {waiting.detail}"
