"""Check of jobs that stand still beside free capacity, from the history of the workers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs
from mimosapoint.memory import RunRecord
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, Step, TaskId

__all__ = ["WaitingJob", "standing_jobs"]

STANDSTILL_SECONDS = 3.0
"""Time for which a job may have nothing running though it fits."""

SAMPLE_SECONDS = 0.2

RESOURCES = ("cpu_millis", "memory_mb", "accelerators")


@attrs.frozen
class WaitingJob:
    """Accepted job that must run.

    :param record: the job as it was accepted.
    :param accepted_at: time of the reply that accepted it, on the trio clock.
    """

    record: AcceptedJob
    accepted_at: float


def standing_jobs(
    jobs: Iterable[WaitingJob],
    history: Iterable[RunRecord],
    workspace_of: Callable[[str], str],
    capacity_by_worker: Mapping[str, ResourceAmounts],
    caps_in_force: Callable[[str, float, float], Iterable[ResourceAmounts]],
    spans: Iterable[tuple[float, float]],
) -> list[str]:
    """Return jobs of which nothing ran for ``STANDSTILL_SECONDS`` beside ample room.

    A task of the job must have its turn, the service and the workspace use less than half of what
    they may, and the workers hold the unit twice over.

    :param jobs: jobs that were accepted, and not shown as failed or cancelled.
    :param history: the runs, of all jobs.
    :param workspace_of: returns the workspace of a job.
    :param capacity_by_worker: capacities in the spans.
    :param caps_in_force: returns the caps of a workspace that may be in force between two times.
    :param spans: times without disturbances, as begin and end on the trio clock.
    """
    jobs, history = list(jobs), list(history)
    last_by_task = {record.task: record for record in history}
    violations = []
    for began_at, ended_at in spans:
        if ended_at - began_at < STANDSTILL_SECONDS:
            continue
        runs = [
            record
            for record in history
            if record.started_at <= ended_at
            and (record.ended_at is None or record.ended_at > began_at)
        ]
        since_by_job: dict[str, float] = {}
        for at in _samples(began_at, ended_at):
            running = [
                record
                for record in runs
                if record.started_at <= at and (record.ended_at is None or record.ended_at > at)
            ]
            room = _Room.of(running, workspace_of, capacity_by_worker)
            standing = room.standing(jobs, last_by_task, caps_in_force, at)
            since_by_job = {job: since_by_job.get(job, at) for job in standing}
            for job, since in since_by_job.items():
                if since + STANDSTILL_SECONDS <= at < since + STANDSTILL_SECONDS + SAMPLE_SECONDS:
                    violations.append(
                        f"{job} had nothing running from {since:.1f} to {at:.1f} while"
                        f" {standing[job]}"
                    )
    return violations


def _samples(began_at: float, ended_at: float) -> Iterator[float]:
    for number in range(int((ended_at - began_at) / SAMPLE_SECONDS) + 1):
        yield began_at + number * SAMPLE_SECONDS


@attrs.frozen
class _Room:
    """Use of workers and workspaces at a moment."""

    running_jobs: frozenset[str]
    free_by_worker: dict[str, ResourceAmounts]
    used_by_workspace: dict[str, ResourceAmounts]
    used: ResourceAmounts
    capacity: ResourceAmounts

    @classmethod
    def of(
        cls,
        running: Iterable[RunRecord],
        workspace_of: Callable[[str], str],
        capacity_by_worker: Mapping[str, ResourceAmounts],
    ) -> _Room:
        """Return the room beside some runs."""
        free_by_worker = dict(capacity_by_worker)
        used_by_workspace: dict[str, ResourceAmounts] = {}
        used = ResourceAmounts()
        running_jobs = set()
        for record in running:
            amounts, job = record.step.amounts, record.task.job
            running_jobs.add(job)
            free_by_worker[record.worker] -= amounts
            workspace = workspace_of(job)
            used_by_workspace[workspace] = (
                used_by_workspace.get(workspace, ResourceAmounts()) + amounts
            )
            used += amounts
        capacity = sum(capacity_by_worker.values(), ResourceAmounts())
        return cls(frozenset(running_jobs), free_by_worker, used_by_workspace, used, capacity)

    def standing(
        self,
        jobs: Iterable[WaitingJob],
        last_by_task: Mapping[TaskId, RunRecord],
        caps_in_force: Callable[[str, float, float], Iterable[ResourceAmounts]],
        at: float,
    ) -> dict[str, str]:
        """Return, by job, what shows that a job stands still beside this room."""
        if not _is_under_half(self.used, self.capacity):
            return {}
        standing = {}
        for job in jobs:
            record = job.record
            if job.accepted_at > at or record.id in self.running_jobs:
                continue
            used = self.used_by_workspace.get(record.tenant, ResourceAmounts())
            caps = list(caps_in_force(record.tenant, at - STANDSTILL_SECONDS, at))
            if not all(_is_under_half(used, cap) for cap in caps):
                continue
            for step in _next_steps(record, last_by_task, at):
                size = step.count if step.gang else 1
                needed = used + step.amounts.scaled(size)
                fits = sum(step.amounts.fit_count(free) for free in self.free_by_worker.values())
                if fits >= 2 * size and all(_is_within(needed, cap) for cap in caps):
                    standing[record.id] = (
                        f"{fits} of its tasks fit, {used.accelerators} accelerators of its"
                        f" workspace and {self.used.accelerators} of"
                        f" {self.capacity.accelerators} were in use"
                    )
        return standing


def _next_steps(
    record: AcceptedJob, last_by_task: Mapping[TaskId, RunRecord], at: float
) -> Iterator[Step]:
    """Yield the steps whose turn has come and that have not ended."""
    ended_steps = set()
    for number, step in enumerate(record.steps):
        tasks = [task for unit in record.units_of(0, number) for task in record.tasks_of(unit)]
        if all(_is_done(last_by_task.get(task), at) for task in tasks):
            ended_steps.add(number)
        elif ended_steps.issuperset(step.after):
            yield step


def _is_done(last: RunRecord | None, at: float) -> bool:
    """Return whether the last run of a task had ended as done; an end that was lost is repeated."""
    return (
        last is not None
        and last.end is RunEnd.DONE
        and last.ended_at is not None
        and last.ended_at <= at
    )


def _is_under_half(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    return _is_within(used.scaled(2) + ResourceAmounts(1, 1, 1), limit)


def _is_within(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    """Return whether each limited resource suffices; a limit of 0 is none."""
    return all(
        getattr(used, name) <= getattr(limit, name) for name in RESOURCES if getattr(limit, name)
    )
