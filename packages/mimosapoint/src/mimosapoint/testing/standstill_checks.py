"""Checks that no job stands still beside free capacity.

A job is lost for its caller if nothing of it runs for three seconds although the turn of a task has
come, the task (or its gang) fits twice over, and its workspace and service use less than half. Only
calm times are checked, in which every worker is usable.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from mimosapoint.memory import RunRecord
from mimosapoint.memory.run_worker import CRASH_DOWNTIME
from mimosapoint.testing.cell_history import CellHistory, SubmissionObservation, SubmissionOutcome
from mimosapoint.testing.end_checks import failure_cause_at
from mimosapoint.workload import ResourceAmounts, RunEnd, Step, TaskId

__all__ = ["CALM_BEFORE", "MAX_STANDSTILL", "standing_jobs"]

MAX_STANDSTILL = 3.0
"""Longest time for which a job may stand still, in seconds."""

CALM_BEFORE = 4.0
"""Time without a disturbance before a standstill counts, in seconds."""

RESOURCES = ("cpu_millis", "memory_mb", "accelerators")

Span = tuple[float, float]
"""Begin and end, in seconds."""


def standing_jobs(history: CellHistory) -> Iterator[str | None]:
    """Yield, for each accepted job, ``None`` or its first standstill.

    :param history: all observations.
    """
    calm = list(_gaps(_disturbed_spans(history), 0.0, history.ended_at))
    for submission in history.submissions:
        if submission.outcome is SubmissionOutcome.ACCEPTED:
            yield _standstill(history, submission, calm)


def _standstill(
    history: CellHistory, submission: SubmissionObservation, calm: Iterable[Span]
) -> str | None:
    runs = history.runs_of(submission.job)
    if any(run.crashed_worker for run in runs):
        # A job with a task that crashes its workers is not missed.
        return None
    busy = [(run.started_at, _end(run, history.ended_at)) for run in runs]
    for idle in _gaps(busy, submission.ended_at, _closed_at(history, submission, runs)):
        for span in calm:
            since, until = max(idle[0], span[0]), min(idle[1], span[1])
            stretch = _first_stretch(history, submission, runs, (since, until))
            if stretch is not None:
                return (
                    f"{submission.job}: nothing ran from {stretch[0]:.2f} to {stretch[1]:.2f} "
                    "beside free capacity"
                )
    return None


def _disturbed_spans(history: CellHistory) -> list[Span]:
    """Return the spans in which, or shortly before which, something was disturbed."""
    spans = [(each.began_at, each.ended_at) for each in history.disturbances]
    crashes = [crash.at for crash in history.worker_crashes]
    crashes += [run.ended_at for run in history.runs if run.crashed_worker]
    downtime = CRASH_DOWNTIME.total_seconds()
    spans += [(at, at + downtime) for at in crashes]
    return [(began_at, ended_at + CALM_BEFORE) for began_at, ended_at in spans]


def _gaps(spans: Iterable[Span], since: float, until: float) -> Iterator[Span]:
    """Yield the spans between two times that no given span covers, if they are long enough."""
    for began_at, ended_at in sorted(spans):
        if min(began_at, until) - since >= MAX_STANDSTILL:
            yield since, min(began_at, until)
        since = max(since, ended_at)
    if until - since >= MAX_STANDSTILL:
        yield since, until


def _closed_at(
    history: CellHistory, submission: SubmissionObservation, runs: Collection[RunRecord]
) -> float:
    """Return the time from which nothing more of a job has to run."""
    job = submission.job
    times = [history.ended_at]
    times += [c.sent_at for c in history.cancellations if c.job == job]
    times += [
        o.sent_at for o in history.phases if o.job == job and o.phase is not None and o.phase.ended
    ]
    cause_at = failure_cause_at(runs, history.crash_times(), submission.max_attempts)
    return min(times if cause_at is None else [*times, cause_at])


def _first_stretch(
    history: CellHistory,
    submission: SubmissionObservation,
    runs: Collection[RunRecord],
    span: Span,
) -> Span | None:
    """Return the first stretch of a span that is too long and throughout which a task fits."""
    since, until = span
    if until - since < MAX_STANDSTILL:
        return None
    times = {since, until}
    for run in history.runs:
        times |= {at for at in (run.started_at, run.ended_at) if at and since < at < until}
    edges, began_at = sorted(times), None
    for earlier, later in zip(edges, edges[1:]):
        if not _fits(history, submission, runs, (earlier + later) / 2):
            began_at = None
            continue
        began_at = earlier if began_at is None else began_at
        if later - began_at >= MAX_STANDSTILL:
            return began_at, later
    return None


def _fits(
    history: CellHistory,
    submission: SubmissionObservation,
    runs: Collection[RunRecord],
    at: float,
) -> bool:
    """Return whether a unit whose turn has come fits twice over, and less than half is in use."""
    free_by_worker = {id: worker.capacity for id, worker in history.workers_by_id.items()}
    total, used = ResourceAmounts(), ResourceAmounts()
    for capacity in free_by_worker.values():
        total += capacity
    running = [r for r in history.runs if r.started_at <= at < _end(r, history.ended_at)]
    for run in running:
        used += run.step.amounts
        free_by_worker[run.worker] -= run.step.amounts
    if not (_is_under_half(used, total) and _is_under_half(used, history.cap)):
        return False
    done = _done_tasks(runs, at)
    for number, step in enumerate(submission.steps):
        size = step.count if step.gang else 1
        if not _turn_has_come(submission, number, done):
            continue
        if not _is_within(used + step.amounts.scaled(size), history.cap):
            continue
        if _fit_count(history, step, free_by_worker) >= 2 * size:
            return True
    return False


def _turn_has_come(submission: SubmissionObservation, number: int, done: set[TaskId]) -> bool:
    """Return whether tasks of a step are not done and the steps before it are."""

    def remaining(step: int) -> int:
        return submission.steps[step].count - len([task for task in done if task.step == step])

    after = submission.steps[number].after
    return remaining(number) > 0 and not any(remaining(earlier) for earlier in after)


def _done_tasks(runs: Collection[RunRecord], at: float) -> set[TaskId]:
    """Return the tasks that are done; one that runs again is not, as its worker lost the end."""
    return {
        run.task
        for run in runs
        if run.end is RunEnd.DONE and run.ended_at <= at
        if not any(r.task == run.task and r.started_at >= run.ended_at for r in runs)
    }


def _fit_count(history: CellHistory, step: Step, free_by_worker: dict[str, ResourceAmounts]) -> int:
    """Return how many tasks of a step fit on the workers."""
    counts = (
        step.amounts.fit_count(free)
        for worker, free in free_by_worker.items()
        if not step.label or step.label in history.workers_by_id[worker].labels
    )
    return sum(min(count, step.spread_limit or count) for count in counts)


def _is_under_half(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    """Return whether less than half is in use of each resource that is limited."""
    return all(
        2 * getattr(used, name) < getattr(limit, name) for name in RESOURCES if getattr(limit, name)
    )


def _is_within(used: ResourceAmounts, limit: ResourceAmounts) -> bool:
    return all(
        getattr(used, name) <= getattr(limit, name) for name in RESOURCES if getattr(limit, name)
    )


def _end(run: RunRecord, ended_at: float) -> float:
    return ended_at if run.ended_at is None else run.ended_at
