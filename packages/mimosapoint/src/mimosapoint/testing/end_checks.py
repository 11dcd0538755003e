"""Checks of the ends that callers were shown: each needs a cause that the workers recorded."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Set

from mimosapoint.memory import RunRecord
from mimosapoint.testing.cell_history import (
    CellHistory,
    PhaseObservation,
    SubmissionObservation,
    SubmissionOutcome,
)
from mimosapoint.testing.crash_checks import WORKERS_TO_GIVE_UP
from mimosapoint.workload import Phase, RunEnd, TaskId

__all__ = ["failure_cause_at", "false_phase", "lost_jobs"]


def false_phase(
    history: CellHistory,
    submission: SubmissionObservation,
    runs_of_job: Collection[RunRecord],
    observation: PhaseObservation,
) -> str | None:
    """Return a violation if a phase contradicts the submission, the cancellations or the runs.

    :param history: all observations.
    :param submission: submission of the job.
    :param runs_of_job: runs of the job.
    :param observation: a reply with the phase of the job.
    """
    job, phase = submission.job, observation.phase
    if phase is None:
        accepted = submission.outcome is SubmissionOutcome.ACCEPTED
        is_lost = accepted and submission.ended_at < observation.sent_at
        return f"{job} was accepted and is not found" if is_lost else None
    if phase is Phase.COMPLETE:
        done = {run.task for run in runs_of_job if _ended_by(run, RunEnd.DONE, observation.at)}
        missing = sum(step.count for step in submission.steps) - len(done)
        return f"{job} is complete without {missing} tasks" if missing else None
    if phase is Phase.CANCELLED:
        times = [c.sent_at for c in history.cancellations if c.job == job and not c.is_refused]
        is_true = any(sent_at <= observation.at for sent_at in times)
        return None if is_true else f"{job} is cancelled by no one"
    if phase is Phase.FAILED:
        cause_at = failure_cause_at(runs_of_job, history.crash_times(), submission.max_attempts)
        is_true = cause_at is not None and cause_at <= observation.at
        return None if is_true else f"{job} is shown as failed without cause"
    return None


def failure_cause_at(
    runs: Iterable[RunRecord], crash_times: Set[tuple[str, float]], max_attempts: int
) -> float | None:
    """Return the time from which a job may be shown as failed; ``None`` if it may not.

    Either a unit has failed in as many runs as it may, or two different workers have crashed under
    one task, whatever made them crash. A worker that was only cut off has not crashed.

    :param runs: runs of the job.
    :param crash_times: workers that crashed, whatever made them crash, and when.
    :param max_attempts: number of failed runs of a unit at which the job may fail.
    """
    first_by_run: dict[tuple, dict[int, float]] = defaultdict(dict)
    first_by_worker: dict[TaskId, dict[str, float]] = defaultdict(dict)
    for run in sorted((r for r in runs if r.ended_at is not None), key=lambda r: r.ended_at):
        if run.end is RunEnd.FAILED:
            # The runs of a gang have one number and fail together.
            unit = (run.task.occurrence, run.task.step, None if run.step.gang else run.task.index)
            first_by_run[unit].setdefault(run.run, run.ended_at)
        elif run.end is RunEnd.LOST and (run.worker, run.ended_at) in crash_times:
            first_by_worker[run.task].setdefault(run.worker, run.ended_at)
    causes = [sorted(times.values())[max_attempts - 1 :] for times in first_by_run.values()]
    causes += [
        sorted(times.values())[WORKERS_TO_GIVE_UP - 1 :] for times in first_by_worker.values()
    ]
    return min((times[0] for times in causes if times), default=None)


def _ended_by(run: RunRecord, end: RunEnd, at: float) -> bool:
    return run.end is end and run.ended_at <= at


def lost_jobs(history: CellHistory) -> Iterator[str | None]:
    """Check that each live node knows each accepted job at the end, and replies in time.

    The job is complete by then, or has failed or been cancelled with a cause.
    """
    for submission in history.submissions:
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        runs = history.runs_of(submission.job)
        reads = [read for read in history.final_reads if read.job == submission.job]
        if not reads:
            yield f"{submission.job} was accepted and was not read at the end"
        for read in reads:
            if read.reply is None:
                yield f"{submission.job}: no reply of {read.node} at the end"
            elif read.reply.phase is not None and not read.reply.phase.ended:
                yield f"{submission.job} was accepted and ends as {read.reply.phase}"
            else:
                yield false_phase(history, submission, runs, read.reply)
