"""Starts of earlier owners whose runs may be on workers that have not reported yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from mimosapoint.cell.decisions.quotas import PossibleUse
from mimosapoint.cell.decisions.units import Job, Unit
from mimosapoint.cell.recovery.inherited_workers import InheritedWorkers
from mimosapoint.workload import ResourceAmounts, UnitId, UnitStart

__all__ = ["UnresolvedStart", "UnresolvedStarts"]


@attrs.frozen
class UnresolvedStart:
    """A unit that an earlier owner may have running on a worker whose runs are not known.

    :param job: the job.
    :param unit_id: id of the unit.
    :param start: its newest recorded start; ``None`` if it was not recorded, so that the runs may
        be on any worker.
    """

    job: Job
    unit_id: UnitId
    start: UnitStart | None

    @property
    def unit(self) -> Unit | None:
        """The unit; ``None`` if its job had ended when it was loaded."""
        return self.job.units_by_id.get(self.unit_id)

    @property
    def task_amounts(self) -> ResourceAmounts:
        """Resources of each of its tasks."""
        return self.job.record.steps[self.unit_id.step].amounts

    def unknown_amounts(self) -> ResourceAmounts:
        """Return what all of its tasks occupy that have no known run."""
        unit = self.unit
        known = unit.task_runs_by_task if unit is not None else ()
        return self.task_amounts.scaled(len(self.job.record.tasks_of(self.unit_id)) - len(known))


class UnresolvedStarts:
    """Starts of earlier owners that are not resolved.

    A run of a loaded job that is not known to this owner belongs to one of these units, and is on
    one of the workers that its start names.

    :param jobs: the jobs, as loaded from the store.
    :param workers: workers whose runs are not known.
    :param has_unreadable_jobs: whether there are jobs that could not be loaded.
    """

    def __init__(
        self,
        jobs: Iterable[Job] = (),
        workers: InheritedWorkers | None = None,
        has_unreadable_jobs: bool = False,
    ):
        self.workers = InheritedWorkers() if workers is None else workers
        self._has_unreadable_jobs = has_unreadable_jobs
        self._by_unit: dict[UnitId, UnresolvedStart] = {}
        # An entry for each task, so that a report of a worker costs no more than its own tasks.
        self._starts_by_worker: dict[str, list[UnresolvedStart]] = {}
        self._unknown_tasks_by_unit: Counter[UnitId] = Counter()
        self._recorded_use_by_workspace: dict[str, ResourceAmounts] = {}
        for job in jobs:
            self.add_job(job)

    def add_job(self, job: Job) -> None:
        """Add what earlier owners may have running of a job."""
        for unit_id, start in _possible_starts(job):
            self._add(UnresolvedStart(job, unit_id, start))

    def _add(self, unresolved: UnresolvedStart) -> None:
        self._by_unit[unresolved.unit_id] = unresolved
        if unresolved.start is None:
            return
        for worker in unresolved.start.workers:
            self._starts_by_worker.setdefault(worker, []).append(unresolved)
        tasks = len(unresolved.start.workers)
        self._unknown_tasks_by_unit[unresolved.unit_id] = tasks
        self._change_use(unresolved, tasks)

    def _change_use(self, unresolved: UnresolvedStart, tasks: int) -> None:
        workspace, amounts = unresolved.job.record.tenant, unresolved.task_amounts.scaled(tasks)
        used = self._recorded_use_by_workspace.get(workspace, ResourceAmounts())
        self._recorded_use_by_workspace[workspace] = used + amounts

    def __iter__(self) -> Iterator[UnresolvedStart]:
        return iter(self._by_unit.values())

    def __contains__(self, unit_id: object) -> bool:
        return unit_id in self._by_unit

    def __len__(self) -> int:
        return len(self._by_unit)

    def start_of(self, unit_id: UnitId) -> UnitStart | None:
        """Return the recorded start of an unresolved unit, if there is one."""
        unresolved = self._by_unit.get(unit_id)
        return unresolved.start if unresolved is not None else None

    def remove_resolved(self) -> list[UnresolvedStart]:
        """Remove the units whose workers are all known, and return them."""
        resolved = []
        for worker in [each for each in self._starts_by_worker if each not in self.workers]:
            for unresolved in self._starts_by_worker.pop(worker):
                self._change_use(unresolved, -1)
                self._unknown_tasks_by_unit[unresolved.unit_id] -= 1
                if not self._unknown_tasks_by_unit[unresolved.unit_id]:
                    del self._unknown_tasks_by_unit[unresolved.unit_id]
                    resolved.append(unresolved)
        if not self.workers:
            resolved += [each for each in self if each.start is None]
        for each in resolved:
            del self._by_unit[each.unit_id]
        return resolved

    def units_by_worker(self) -> dict[str, int]:
        """Return the number of units that each unknown worker may be running."""
        unrecorded = sum(each.start is None for each in self)
        return {
            worker: unrecorded
            + len({each.unit_id for each in self._starts_by_worker.get(worker, ())})
            for worker in self.workers.capacity_by_id
        }

    def possible_use(self) -> PossibleUse:
        """Return what each workspace may use beyond the known runs, at most.

        Unrecorded starts, and runs of unreadable jobs, occupy no more than the workers have.
        """
        if not self.workers:
            return PossibleUse()
        capacity = self.workers.total_capacity
        use_by_workspace = dict(self._recorded_use_by_workspace)
        for workspace, amounts in self._unrecorded_use().items():
            bounded = amounts if capacity is None else amounts.smaller(capacity)
            recorded = use_by_workspace.get(workspace, ResourceAmounts())
            use_by_workspace[workspace] = recorded + bounded
        if not self._has_unreadable_jobs:
            return PossibleUse(use_by_workspace)
        if capacity is None:
            return PossibleUse(is_bounded=False)
        return PossibleUse(use_by_workspace, of_any=capacity)

    def _unrecorded_use(self) -> dict[str, ResourceAmounts]:
        use_by_workspace: dict[str, ResourceAmounts] = {}
        for each in self:
            if each.start is None:
                workspace = each.job.record.tenant
                used = use_by_workspace.get(workspace, ResourceAmounts())
                use_by_workspace[workspace] = used + each.unknown_amounts()
        return use_by_workspace


def _possible_starts(job: Job) -> Iterator[tuple[UnitId, UnitStart | None]]:
    """Yield the units of a job that earlier owners may have running."""
    record, progress = job.record, job.progress
    for key, start in progress.starts.items():
        yield record.find_unit(key), start
    if not progress.has_unrecorded_starts:
        return
    for occurrence in range(record.occurrences):
        for step in range(len(record.steps)):
            for unit_id in record.units_of(occurrence, step):
                if unit_id.key not in progress.starts and not progress.is_done(unit_id):
                    yield unit_id, None
