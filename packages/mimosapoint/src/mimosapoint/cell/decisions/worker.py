"""A worker as decisions see it."""

from __future__ import annotations

from typing import Protocol

import attrs

from mimosapoint.cell.decisions.health import WorkerHealth
from mimosapoint.cell.decisions.slow_workers import SlowWorkerDetector
from mimosapoint.cell.decisions.worker_pace import WorkerPace
from mimosapoint.cell.decisions.worker_stability import WorkerStability
from mimosapoint.ports import WorkerRegistration
from mimosapoint.workload import ResourceAmounts, TaskId

__all__ = ["Worker", "WorkerRun"]


class WorkerRun(Protocol):
    """A run on a worker, as the worker uses it.

    :param task: the task.
    :param run: number of the run.
    :param amounts: resources that it occupies.
    :param workspace: workspace whose quota it counts against; ``None`` if its job is unknown.
    """

    task: TaskId
    run: int
    amounts: ResourceAmounts
    workspace: str | None

    @property
    def is_suspect(self) -> bool:
        """Whether its unit is suspected of crashing its workers."""
        ...


@attrs.define(eq=False)
class Worker:
    """Registration, runs and health of one worker.

    :param registration: its newest registration.
    :param used: resources of the runs that exist, or may exist, on it.
    :param used_by_workspace: these resources by workspace; the key ``None`` stands for runs of
        unknown jobs.
    :param task_runs_by_key: these runs, by task and run number.
    :param health: failures of jobs on it.
    :param slow_detector: whether its runs make slow progress.
    :param stability: its recent disturbances.
    :param pace: its speed relative to other workers.
    :param suspect_runs: runs of units that are suspected of crashing their workers.
    :param largest_capacity: largest capacity that it has had.
    """

    registration: WorkerRegistration
    used: ResourceAmounts = attrs.field(factory=ResourceAmounts)
    used_by_workspace: dict[str | None, ResourceAmounts] = attrs.field(factory=dict)
    task_runs_by_key: dict[tuple[TaskId, int], WorkerRun] = attrs.field(factory=dict)
    health: WorkerHealth = attrs.field(factory=WorkerHealth)
    slow_detector: SlowWorkerDetector = attrs.field(factory=SlowWorkerDetector)
    stability: WorkerStability = attrs.field(factory=WorkerStability)
    pace: WorkerPace = attrs.field(factory=WorkerPace)
    suspect_runs: set[WorkerRun] = attrs.field(factory=set)
    largest_capacity: ResourceAmounts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.largest_capacity = self.registration.capacity

    def update_registration(self, registration: WorkerRegistration) -> None:
        """Apply a new registration."""
        self.registration = registration
        self.largest_capacity = self.largest_capacity.larger(registration.capacity)

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.registration.id

    @property
    def free(self) -> ResourceAmounts:
        """Capacity that neither runs nor ordered starts occupy."""
        return self.registration.capacity - self.used

    @property
    def is_over_capacity(self) -> bool:
        """Whether its runs need more than its capacity, as after the capacity has shrunk."""
        free = self.free
        return min(free.cpu_millis, free.memory_mb, free.accelerators) < 0

    @property
    def capacity_of_unknown_jobs(self) -> ResourceAmounts:
        """Capacity that the runs of unknown jobs occupy, at most."""
        known = (used for key, used in self.used_by_workspace.items() if key is not None)
        remaining = self.largest_capacity - sum(known, ResourceAmounts())
        return remaining.larger(ResourceAmounts())

    def add(self, task_run: WorkerRun) -> None:
        """Add a run and occupy its capacity."""
        self.task_runs_by_key[task_run.task, task_run.run] = task_run
        self.used += task_run.amounts
        used = self.used_by_workspace.get(task_run.workspace, ResourceAmounts())
        self.used_by_workspace[task_run.workspace] = used + task_run.amounts
        if task_run.is_suspect:
            self.suspect_runs.add(task_run)

    def remove(self, task_run: WorkerRun) -> bool:
        """Remove a run and free its capacity; return whether the worker had it."""
        if self.task_runs_by_key.pop((task_run.task, task_run.run), None) is None:
            return False
        self.suspect_runs.discard(task_run)
        self.used -= task_run.amounts
        used = self.used_by_workspace[task_run.workspace] - task_run.amounts
        if used == ResourceAmounts():
            del self.used_by_workspace[task_run.workspace]
        else:
            self.used_by_workspace[task_run.workspace] = used
        return True

    def has(self, task_run: WorkerRun) -> bool:
        """Return whether the run exists, or may exist, on the worker."""
        return (task_run.task, task_run.run) in self.task_runs_by_key
