"""Checks of the runs that the simulated workers of a cell recorded."""

from collections.abc import Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.testing.cell_history import PhaseObservation
from mimosapoint.workload import Phase, RunEnd, TaskId

__all__ = ["changed_ends", "run_violations", "starts_after_shown_ends"]

START_WINDOW_SECONDS = 1.0
"""Time from an order to the last moment at which it starts a run, in seconds."""


def run_violations(history: Iterable[RunRecord], over_capacity_workers: Iterable[str]) -> list[str]:
    """Return violations: workers over capacity, and wrong sequences of runs of a task.

    A task has one run at a time, and its run numbers increase. It does not start again after it
    was done, unless its worker lost the end before that was acknowledged; whether callers had been
    shown the end is checked by :func:`starts_after_shown_ends`.

    :param history: every run that a worker accepted, ordered by start.
    :param over_capacity_workers: ids of workers that had runs beyond their capacity.
    """
    violations = [f"{worker} is over its capacity" for worker in over_capacity_workers]
    records_by_task: dict[TaskId, list[RunRecord]] = {}
    for record in history:
        records_by_task.setdefault(record.task, []).append(record)
    for task, records in records_by_task.items():
        for earlier, later in zip(records, records[1:]):
            if earlier.ended_at is None or earlier.ended_at > later.started_at:
                violations.append(f"{task} runs twice at once")
            if earlier.end is RunEnd.DONE and not earlier.end_unreported:
                violations.append(f"{task} starts again after it was done")
            if later.run <= earlier.run:
                violations.append(f"{task} has run {later.run} after {earlier.run}")
    return violations


def starts_after_shown_ends(
    history: Iterable[RunRecord], phases: Iterable[PhaseObservation]
) -> list[str]:
    """Return starts of jobs that callers had been shown as ended, whatever became of the workers.

    A start that was ordered before the owner learned of a cancellation may take effect within the
    start window after the job is shown as cancelled.

    :param history: every run that a worker accepted.
    :param phases: replies of all nodes to callers.
    """
    shown_by_job: dict[str, PhaseObservation] = {}
    for observation in phases:
        if observation.phase is not None and observation.phase.ended:
            shown = shown_by_job.setdefault(observation.job, observation)
            shown_by_job[observation.job] = min(shown, observation, key=_last_start)
    violations = []
    for run in history:
        shown = shown_by_job.get(run.task.job)
        if shown is not None and run.started_at > _last_start(shown):
            late = run.started_at - shown.at
            violations.append(
                f"{run.task} started as run {run.run} on {run.worker} at {run.started_at:.2f}, "
                f"{late:.2f} s after its job was shown as {shown.phase.value}"
            )
    return violations


def _last_start(shown: PhaseObservation) -> float:
    """Return the time of the last start that a reply with an end allows."""
    return shown.at + (START_WINDOW_SECONDS if shown.phase is Phase.CANCELLED else 0.0)


def changed_ends(phases: Iterable[PhaseObservation]) -> list[str]:
    """Return ends that a node showed to a caller and that a later reply takes back.

    A reply is later if its query follows the reply with the end.

    :param phases: replies of all nodes to callers, from the store or without it.
    """
    observations_by_job: dict[str, list[PhaseObservation]] = {}
    for observation in phases:
        observations_by_job.setdefault(observation.job, []).append(observation)
    violations = []
    for job, observations in observations_by_job.items():
        for end in _first_by_end(observations).values():
            changed = [o for o in observations if o.sent_at > end.at and o.phase != end.phase]
            if changed:
                violations.append(
                    f"{job} changed from {end.phase}, shown at {end.at:.2f}, "
                    f"to {changed[0].phase} at {changed[0].at:.2f}"
                )
    return violations


def _first_by_end(observations: Iterable[PhaseObservation]) -> dict[Phase, PhaseObservation]:
    """Return the earliest reply with each end."""
    first_by_end: dict[Phase, PhaseObservation] = {}
    for observation in observations:
        phase = observation.phase
        if phase is None or not phase.ended:
            continue
        if phase not in first_by_end or observation.at < first_by_end[phase].at:
            first_by_end[phase] = observation
    return first_by_end
