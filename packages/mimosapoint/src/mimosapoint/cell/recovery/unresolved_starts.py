"""Starts of earlier owners whose runs may be on workers that have not reported yet."""

from __future__ import annotations

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

    def waits_for(self, workers: InheritedWorkers) -> bool:
        """Return whether one of its workers is among those whose runs are not known."""
        if self.start is None:
            return bool(workers)
        return any(worker in workers for worker in self.start.workers)

    def possible_amounts(self, workers: InheritedWorkers) -> ResourceAmounts:
        """Return what its runs on those workers may occupy."""
        unit = self.unit
        if self.start is None:
            known = unit.task_runs_by_task if unit is not None else ()
            count = len(self.job.record.tasks_of(self.unit_id)) - len(known)
        else:
            count = sum(worker in workers for worker in self.start.workers)
        return self.job.record.steps[self.unit_id.step].amounts.scaled(count)


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
        for job in jobs:
            for unit_id, start in _possible_starts(job):
                self._by_unit[unit_id] = UnresolvedStart(job, unit_id, start)

    def __iter__(self) -> Iterator[UnresolvedStart]:
        return iter(self._by_unit.values())

    def __contains__(self, unit_id: object) -> bool:
        return unit_id in self._by_unit

    def __bool__(self) -> bool:
        return bool(self.workers) or bool(self._by_unit)

    def start_of(self, unit_id: UnitId) -> UnitStart | None:
        """Return the recorded start of an unresolved unit, if there is one."""
        unresolved = self._by_unit.get(unit_id)
        return unresolved.start if unresolved is not None else None

    def remove_resolved(self) -> list[UnresolvedStart]:
        """Remove the units whose workers are all known, and return them."""
        resolved = [each for each in self if not each.waits_for(self.workers)]
        for each in resolved:
            del self._by_unit[each.unit_id]
        return resolved

    def possible_use(self) -> PossibleUse:
        """Return what each workspace may use beyond the known runs, at most.

        Unrecorded starts, and runs of unreadable jobs, occupy no more than the workers have.
        """
        if not self.workers:
            return PossibleUse()
        capacity = self.workers.total_capacity
        recorded: dict[str, ResourceAmounts] = {}
        unrecorded: dict[str, ResourceAmounts] = {}
        for each in self:
            sums = unrecorded if each.start is None else recorded
            workspace = each.job.record.tenant
            amounts = each.possible_amounts(self.workers)
            sums[workspace] = sums.get(workspace, ResourceAmounts()) + amounts
        for workspace, amounts in unrecorded.items():
            bounded = amounts if capacity is None else amounts.smaller(capacity)
            recorded[workspace] = recorded.get(workspace, ResourceAmounts()) + bounded
        if not self._has_unreadable_jobs:
            return PossibleUse(recorded)
        if capacity is None:
            return PossibleUse(is_bounded=False)
        return PossibleUse(recorded, of_any=capacity)


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
