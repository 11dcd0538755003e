"""Checks of a cell's history, for each of the nine promises and for what they rest on."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from mimosapoint.memory import RunRecord
from mimosapoint.testing.cell_history import (
    AuthenticationObservation,
    CancellationObservation,
    CellHistory,
    PhaseObservation,
    SubmissionOutcome,
)
from mimosapoint.testing.checks import CheckResult
from mimosapoint.testing.count_checks import low_counts
from mimosapoint.testing.crash_checks import crash_violations, crashing_tasks
from mimosapoint.testing.end_checks import false_phase, lost_jobs
from mimosapoint.testing.run_checks import (
    changed_ends,
    run_violations,
    starts_after_shown_ends,
)
from mimosapoint.testing.standstill_checks import standing_jobs
from mimosapoint.workload import RunEnd, TaskId

__all__ = ["LATE_START_BOUND", "cell_checks_by_promise", "check_cell"]

PARTIAL_GANG_BOUND = 3.5
"""Longest time for which only some tasks of a gang may run, in seconds; workers end an incomplete
gang after 3 s."""

LATE_START_BOUND = 3.0
"""Longest time from a withdrawal, a drain or a cancellation to the last start, in seconds."""

CONFIGURATION_BOUND = 3.0
"""Longest time until a stored configuration is in force on every node that serves, in seconds."""

EARLIER_OWNER_BOUND = 1.2
"""Longest time from a new epoch to the last start of an earlier one, in seconds: the start window
and the interval at which epochs are observed."""

RUN_COUNTER_BITS = 20
"""Low bits of a run number; the epoch is above them."""

CellCheck = Callable[[CellHistory], Iterator[str | None]]
"""Yields, for each case, ``None`` or a line that describes the violation."""

cell_checks_by_promise: dict[str, CellCheck] = {}


def cell_promise(name: str) -> Callable[[CellCheck], CellCheck]:
    """Register a check under the name of its promise."""

    def register(check: CellCheck) -> CellCheck:
        cell_checks_by_promise[name] = check
        return check

    return register


def check_cell(history: CellHistory) -> list[CheckResult]:
    """Return a result for each promise, in the order in which the checks are declared."""
    check_results = []
    for name, check in cell_checks_by_promise.items():
        results = list(check(history))
        violations = tuple(line for line in results if line is not None)
        check_results.append(CheckResult(name, len(results), violations))
    return check_results


@cell_promise("guaranteed shapes can be reclaimed")
def claims_start_in_time(history: CellHistory) -> Iterator[str | None]:
    """Check that every task of a claim's first step starts within the claim's bound."""
    steps_by_job = {submission.job: submission.steps for submission in history.submissions}
    for claim in history.claims:
        bound = claim.claimed_at + claim.start_bound_seconds
        started = {
            run.task
            for run in history.runs_of(claim.job)
            if run.task.step == 0 and run.started_at <= bound
        }
        count = steps_by_job[claim.job][0].count
        missing = count - len(started)
        yield f"{claim.job}: {missing} of {count} tasks not started in time" if missing else None


@cell_promise("gangs run whole or not at all")
def gangs_run_whole(history: CellHistory) -> Iterator[str | None]:
    """Check that no part of a gang runs longer than the bound without the other tasks."""
    runs_by_gang: dict[tuple, list[RunRecord]] = defaultdict(list)
    for run in history.runs:
        if run.step.gang:
            key = (run.task.job, run.task.occurrence, run.task.step, run.run)
            runs_by_gang[key].append(run)
    for (job, _, step, number), runs in runs_by_gang.items():
        seconds = _partial_seconds(runs, history.ended_at)
        is_violated = seconds > PARTIAL_GANG_BOUND
        line = f"{job}, step {step}, run {number}: a part ran alone for {seconds:.2f} s"
        yield line if is_violated else None


def _partial_seconds(runs: list[RunRecord], now: float) -> float:
    """Return for how long a part of a gang ran without tasks that had not started or had failed."""
    last_end = max(run.ended_at if run.ended_at is not None else now for run in runs)
    first_start = min(run.started_at for run in runs)
    if len({run.task for run in runs}) < runs[0].step.count:
        return last_end - first_start
    forming = max(run.started_at for run in runs) - first_start
    cut_short = [run.ended_at for run in runs if run.end not in (None, RunEnd.DONE)]
    return max(forming, last_end - min(cut_short)) if cut_short else forming


@cell_promise("nothing starts in a withdrawn zone")
def no_starts_in_withdrawn_zones(history: CellHistory) -> Iterator[str | None]:
    """Check that no run starts in a zone later than the bound after its withdrawal."""
    for withdrawal in history.withdrawals:
        until = history.ended_at if withdrawal.returned_at is None else withdrawal.returned_at
        workers = {w for w, zone in history.zones_by_worker.items() if zone == withdrawal.zone}
        yield _late_start(history, workers, withdrawal.withdrawn_at, until)


@cell_promise("a leaving endpoint gets no new work")
def no_starts_on_draining_workers(history: CellHistory) -> Iterator[str | None]:
    """Check that no run starts on a worker later than the bound after it began to drain."""
    for drain in history.drains:
        until = history.ended_at if drain.returned_at is None else drain.returned_at
        yield _late_start(history, {drain.worker}, drain.drained_at, until)


def _late_start(
    history: CellHistory, workers: set[str], began_at: float, until: float
) -> str | None:
    """Return a violation for the first start on the workers between the bound and ``until``."""
    for run in history.runs:
        if run.worker in workers and began_at + LATE_START_BOUND < run.started_at < until:
            return f"{run.task} started on {run.worker} {run.started_at - began_at:.2f} s late"
    return None


@cell_promise("callers get the whole answer to their own request")
def phases_are_true(history: CellHistory) -> Iterator[str | None]:
    """Check that an accepted job is found, and that reported ends are true and final."""
    phases_by_job: dict[str, list[PhaseObservation]] = defaultdict(list)
    for observation in history.phases:
        phases_by_job[observation.job].append(observation)
    for submission in history.submissions:
        observations = phases_by_job[submission.job]
        runs = history.runs_of(submission.job)
        for observation in observations:
            yield false_phase(history, submission, runs, observation)
        yield from changed_ends(observations)


@cell_promise("nothing starts of a job that was shown as ended")
def ended_jobs_start_nothing(history: CellHistory) -> Iterator[str | None]:
    """Check that no run of a job starts after any node has shown a caller that the job has ended.

    An end that its worker loses before it is acknowledged is no excuse here.
    """
    shown = {o.job for o in history.phases if o.phase is not None and o.phase.ended}
    yield from starts_after_shown_ends(history.runs, history.phases) or [None] * len(shown)


@cell_promise("accepted jobs are never lost")
def accepted_jobs_end(history: CellHistory) -> Iterator[str | None]:
    """Check that each node knows the end of each accepted job, and that the end has a cause."""
    yield from lost_jobs(history)


@cell_promise("no job stands still beside free capacity")
def jobs_do_not_stand_still(history: CellHistory) -> Iterator[str | None]:
    """Check that no job whose turn has come goes without a run beside ample room."""
    yield from standing_jobs(history)


@cell_promise("waiting jobs are counted")
def waiting_jobs_are_counted(history: CellHistory) -> Iterator[str | None]:
    """Check that the count of jobs that have not begun is at least half of their number."""
    yield from low_counts(history)


@cell_promise("not run is true")
def refused_jobs_never_run(history: CellHistory) -> Iterator[str | None]:
    """Check that a job of which every submission was refused has no run."""
    refused = SubmissionOutcome.REFUSED
    submitted = {each.job for each in history.submissions if each.outcome is not refused}
    for submission in history.submissions:
        if submission.outcome is refused and submission.job not in submitted:
            ran = history.runs_of(submission.job)
            yield f"{submission.job} was refused and ran" if ran else None


@cell_promise("non-repeatable work runs at most once")
def no_task_runs_twice(history: CellHistory) -> Iterator[str | None]:
    """Check that a task has one run at a time, and none after an acknowledged end."""
    runs_by_task: dict[TaskId, list[RunRecord]] = defaultdict(list)
    for run in history.runs:
        runs_by_task[run.task].append(run)
    for runs in runs_by_task.values():
        yield from run_violations(runs, ()) or [None]


@cell_promise("a task that crashes its workers is given up")
def crashing_tasks_are_given_up(history: CellHistory) -> Iterator[str | None]:
    """Check that a task that has crashed three workers is not started three times more."""
    yield from crash_violations(history.runs) or [None] * len(crashing_tasks(history.runs))


@cell_promise("cancelled work stops")
def cancelled_jobs_stop(history: CellHistory) -> Iterator[str | None]:
    """Check that no run of a cancelled job starts or goes on after the bound."""
    for cancellation in history.cancellations:
        if cancellation.accepted_at is not None:
            yield _goes_on(history, cancellation, cancellation.accepted_at)


def _goes_on(
    history: CellHistory, cancellation: CancellationObservation, accepted_at: float
) -> str | None:
    bound = accepted_at + cancellation.stop_bound_seconds
    if bound > history.ended_at:
        return f"{cancellation.job}: the observations end before the bound of its cancellation"
    for run in history.runs_of(cancellation.job):
        if run.ended_at is None or run.ended_at > bound:
            return f"{run.task} goes on though it was cancelled"
        if run.started_at > accepted_at + LATE_START_BOUND:
            return f"{run.task} started though it was cancelled"
    return None


@cell_promise("a planned stop cuts nothing off")
def stops_are_graceful(history: CellHistory) -> Iterator[str | None]:
    """Check that submissions in progress on a node that stops get a final result."""
    for stop in history.planned_stops:
        for submission in history.submissions:
            is_earlier = submission.ended_at is not None and submission.ended_at <= stop.at
            if submission.node == stop.node and submission.sent_at < stop.at and not is_earlier:
                cut_off = submission.outcome is None
                yield f"{submission.job} was cut off by {stop.node}" if cut_off else None


@cell_promise("an accepted configuration is in force and stays")
def configurations_are_in_force(history: CellHistory) -> Iterator[str | None]:
    """Check that versions never fall, and are in force in time on nodes that serve."""
    versions_by_node: dict[str, int] = defaultdict(int)
    for observation in sorted(history.configurations, key=lambda o: o.at):
        node, version = observation.node, observation.version
        stored = [
            w for w in history.configuration_writes if w.at + CONFIGURATION_BOUND < observation.at
        ]
        required = max((write.version for write in stored), default=0)
        if version < versions_by_node[node]:
            yield f"{node} fell from {versions_by_node[node]} to {version}"
        elif version < required:
            yield f"{node} serves by {version} though {required} was stored"
        else:
            yield None
        versions_by_node[node] = max(version, versions_by_node[node])
    for authentication in history.authentications:
        yield _revoked_key(history, authentication)


def _revoked_key(history: CellHistory, authentication: AuthenticationObservation) -> str | None:
    """Return a violation if no configuration that may be in force has the key."""
    writes = [w for w in history.configuration_writes if w.at <= authentication.at]
    older = [w for w in writes if w.at + CONFIGURATION_BOUND < authentication.at]
    in_force = [w for w in writes if w not in older] + older[-1:]
    is_valid = any(authentication.key in write.keys for write in in_force)
    return None if is_valid else f"{authentication.node} accepted the revoked {authentication.key}"


@cell_promise("capacity is never exceeded")
def workers_are_within_capacity(history: CellHistory) -> Iterator[str | None]:
    """Check that no worker accepted runs beyond its capacity."""
    for worker in sorted({run.worker for run in history.runs} | set(history.over_capacity_workers)):
        is_over = worker in history.over_capacity_workers
        yield f"{worker} is over its capacity" if is_over else None


@cell_promise("orders of an earlier owner have no effect")
def no_starts_of_earlier_owners(history: CellHistory) -> Iterator[str | None]:
    """Check the epochs of the runs on each worker, and their times in the store's epochs."""
    epochs_by_worker: dict[str, int] = defaultdict(int)
    for run in history.runs:
        epoch = run.run >> RUN_COUNTER_BITS
        replaced = [
            o.at
            for o in history.epochs
            if o.epoch > epoch and o.at + EARLIER_OWNER_BOUND < run.started_at
        ]
        if epoch < epochs_by_worker[run.worker]:
            yield f"{run.worker} started {run.task} for epoch {epoch} after a later one"
        elif replaced:
            late = run.started_at - replaced[0]
            yield f"{run.task} started {late:.2f} s after the end of epoch {epoch}"
        else:
            yield None
        epochs_by_worker[run.worker] = max(epoch, epochs_by_worker[run.worker])
