"""One check of a history for each of the nine promises to callers and operators."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta

import attrs

from mimosapoint.memory import TaskEvent, TaskEventKind
from mimosapoint.testing.history import AttemptEvents, CallObservation, History, PatchObservation

__all__ = ["CheckResult", "check_all", "checks_by_promise", "patches_in_order"]

PARTIAL_GANG_BOUND = timedelta(seconds=10)
"""Longest time for which only some tasks of a gang may run, to allow for a failover."""

WITHDRAWAL_BOUND = timedelta(seconds=3)
"""Longest time from the withdrawal of an availability zone to the last start there."""

LEAVING_BOUND = timedelta(seconds=3)
"""Longest time from the VM list showing an endpoint as leaving to the last start there."""

VERSION_BOUND = timedelta(seconds=3)
"""Longest time from the acceptance of a version until it is in force on every live node."""

NEVER_STARTED_OUTCOMES = ("not-run",)


@attrs.frozen
class CheckResult:
    """Result of one check.

    :param promise: name of the promise.
    :param cases_checked: number of cases that were checked.
    :param violations: description of each violation, one line each.
    """

    promise: str
    cases_checked: int
    violations: tuple[str, ...]


Check = Callable[[History], Iterator[str | None]]
"""Yields, for each case, ``None`` or a line that describes the violation."""

checks_by_promise: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""

    def register(check: Check) -> Check:
        checks_by_promise[name] = check
        return check

    return register


def check_all(history: History) -> list[CheckResult]:
    """Return a result for each promise, in the order in which the checks are declared."""
    check_results = []
    for name, check in checks_by_promise.items():
        results = list(check(history))
        violations = tuple(line for line in results if line is not None)
        check_results.append(CheckResult(name, len(results), violations))
    return check_results


@promise("guaranteed shapes can be reclaimed")
def guaranteed_gangs_start(history: History) -> Iterator[str | None]:
    """Check that every task of a guaranteed gang starts within the gang's bound."""
    calls_by_key = {call.key: call for call in history.calls}
    starts_by_job = history.starts_by_job()
    for claim in history.guaranteed_starts:
        call = calls_by_key[claim.key]
        starts = starts_by_job.get(call.job, [])
        first_starts = {event.index: event.time for event in reversed(starts)}
        if len(first_starts) < call.gang:
            yield f"guaranteed job {claim.key} did not start all its tasks"
            continue
        waited = (max(first_starts.values()) - claim.accepted_at).total_seconds()
        yield (
            f"guaranteed job {claim.key} waited {waited:.2f} s"
            if waited > claim.start_bound_seconds
            else None
        )


@promise("gangs run whole or not at all")
def no_partial_gangs(history: History) -> Iterator[str | None]:
    """Check that no attempt runs only some tasks of its gang for longer than the bound."""
    gangs_by_job = {call.job: call.gang for call in history.calls if call.job}
    for (job, attempt), attempt_events in history.events_by_attempt().items():
        gang = gangs_by_job.get(job)
        if gang is None:
            continue
        yield _partial_gang_violation(f"{job}/{attempt}", attempt_events, gang, history.ended_at)


def _partial_gang_violation(
    name: str, attempt_events: AttemptEvents, gang: int, now: datetime
) -> str | None:
    """Return a violation when only some tasks of an attempt ran for longer than the bound.

    When every task started, the time is that between the first and the last start; otherwise it
    is the longest run of a task that started.
    """
    starts = attempt_events.first_starts()
    if not starts:
        return None
    first_start = min(starts.values())
    if len(starts) == gang:
        partial_time = max(starts.values()) - first_start
    else:
        ends = [attempt_events.last_end(index) or now for index in starts]
        partial_time = max(end - starts[index] for index, end in zip(starts, ends))
    if partial_time <= PARTIAL_GANG_BOUND:
        return None
    return (
        f"{name}: {len(starts)} of {gang} tasks ran alone for {partial_time.total_seconds():.2f} s"
    )


@promise("nothing starts in a withdrawn zone")
def no_starts_in_withdrawn_zones(history: History) -> Iterator[str | None]:
    """Check that no task starts in a withdrawn zone later than the bound after its withdrawal."""
    accepted = sorted((p for p in history.patches if p.version), key=lambda p: p.version)
    starts = [event for event in history.tasks if event.event is TaskEventKind.STARTED]
    for index, patch in enumerate(accepted):
        before = accepted[index - 1].zones_out if index else frozenset()
        for zone in patch.zones_out - before:
            returned_at = _returned_at(accepted[index + 1 :], zone)
            yield _late_start_violation(history, starts, patch, zone, returned_at)


def _returned_at(later: list[PatchObservation], zone: str) -> datetime | None:
    """Return the earliest time at which the zone may be in service again, or ``None``."""
    return_times = [patch.sent_at for patch in later if zone not in patch.zones_out]
    return return_times[0] if return_times else None


def _late_start_violation(
    history: History,
    starts: list[TaskEvent],
    patch: PatchObservation,
    zone: str,
    returned_at: datetime | None,
) -> str | None:
    """Return a violation for the first start in the zone between the bound and its return."""
    bound = patch.answered_at + WITHDRAWAL_BOUND
    for event in starts:
        if history.zones_by_worker.get(event.worker) != zone or event.time <= bound:
            continue
        if returned_at is None or event.time < returned_at:
            late = (event.time - patch.answered_at).total_seconds()
            return f"{event.task} started in {zone} {late:.2f} s after its withdrawal"
    return None


@promise("callers get the whole answer to their own request")
def outcomes_are_complete(history: History) -> Iterator[str | None]:
    """Check that a succeeded call has one part for each task and, where known, those expected."""
    for call in history.calls:
        if call.outcome != "succeeded":
            continue
        if len(call.parts) != call.gang:
            yield f"{call.key}: {len(call.parts)} parts of {call.gang}"
        elif call.expected is not None and call.parts != call.expected:
            yield f"{call.key}: the parts are not those of this request"
        else:
            yield None


@promise("not run is true")
def not_run_jobs_never_started(history: History) -> Iterator[str | None]:
    """Check that a job recorded as not run has no start.

    A recorder may record a refused request as not run, too.
    """
    starts_by_job = history.starts_by_job()
    for call in history.calls:
        if call.job is None or call.outcome not in NEVER_STARTED_OUTCOMES:
            continue
        started = call.job in starts_by_job
        yield f"{call.key}: not run, but {call.job} started" if started else None


@promise("non-repeatable work runs at most once")
def at_most_once(history: History) -> Iterator[str | None]:
    """Check that no task of a non-repeatable job starts again, except after a stop.

    A stopped task may resume from its checkpoint.
    """
    jobs = {call.job for call in history.calls if call.job and not call.repeatable}
    events_by_task: dict[tuple[str, int], list[TaskEvent]] = defaultdict(list)
    for event in sorted(history.tasks, key=lambda event: event.time):
        job = event.task.rsplit("/", 2)[0]
        if job in jobs:
            events_by_task[job, event.index].append(event)
    for (job, index), events in events_by_task.items():
        kinds = [event.event for event in events]
        restarted = _restarted_without_stop(kinds)
        yield f"task {index} of {job} started twice" if restarted else None


def _restarted_without_stop(kinds: list[TaskEventKind]) -> bool:
    """Return whether a start follows an event other than a stop."""
    for before, after in zip(kinds, kinds[1:]):
        if after is TaskEventKind.STARTED and before is not TaskEventKind.STOPPED:
            return True
    return False


@promise("a leaving endpoint gets no new work")
def no_starts_on_leaving_endpoints(history: History) -> Iterator[str | None]:
    """Check that no task starts on a leaving endpoint later than the bound."""
    for leaving in history.leaving_endpoints:
        bound = leaving.at + LEAVING_BOUND
        late_tasks = [
            event.task
            for event in history.tasks
            if event.worker == leaving.worker
            and event.event is TaskEventKind.STARTED
            and event.time > bound
        ]
        yield f"{late_tasks[0]} started on {leaving.worker}, which leaves" if late_tasks else None


@promise("a planned stop cuts nothing off")
def stops_are_graceful(history: History) -> Iterator[str | None]:
    """Check that a planned stop exits with 0 and requests in progress get an outcome."""
    for shutdown in history.shutdowns:
        yield f"{shutdown.node} exited with {shutdown.exit_code}" if shutdown.exit_code else None
        for call in history.calls:
            if call.node == shutdown.node and _in_progress(call, shutdown.at):
                yield None if call.outcome else f"{call.key} was cut off by {shutdown.node}"


def _in_progress(call: CallObservation, at: datetime) -> bool:
    return call.sent_at < at and (call.ended_at is None or call.ended_at > at)


@promise("an accepted configuration is in force and stays")
def versions_are_monotonic(history: History) -> Iterator[str | None]:
    """Check that versions do not decrease on a node and are in force everywhere in time.

    The order of the accepted patches is checked as well.
    """
    observations_by_node: dict[tuple[str, int], list] = defaultdict(list)
    for observation in sorted(history.versions, key=lambda observation: observation.at):
        observations_by_node[observation.node, observation.incarnation].append(observation)
    for (node, _), observations in observations_by_node.items():
        for before, after in zip(observations, observations[1:]):
            decreased = after.version < before.version
            yield f"{node} fell from {before.version} to {after.version}" if decreased else None
    yield from _late_versions(history)
    yield from patches_in_order(history)


def _late_versions(history: History) -> Iterator[str | None]:
    """Check that no node has an older version later than the bound after an acceptance."""
    for patch in history.patches:
        if not patch.version:
            continue
        bound = patch.answered_at + VERSION_BOUND
        stale_nodes = {
            observation.node
            for observation in history.versions
            if observation.at > bound and observation.version < patch.version
        }
        yield f"version {patch.version} is late on {sorted(stale_nodes)}" if stale_nodes else None


def patches_in_order(history: History) -> Iterator[str | None]:
    """Check that accepted patches form one sequence of versions, consistent with real time.

    A version belongs to one patch, applies to the version before it, and is not accepted before
    the patch of an earlier version was sent.
    """
    accepted = sorted((p for p in history.patches if p.version), key=lambda p: p.version)
    for before, after in zip(accepted, accepted[1:]):
        if before.version == after.version and before.id != after.id:
            yield f"version {after.version} was given to {before.id} and {after.id}"
        elif after.answered_at < before.sent_at:
            yield f"version {after.version} was accepted before {before.version} was sent"
        else:
            yield None
    for patch in accepted:
        yield None if patch.base == patch.version - 1 else f"{patch.id} skipped its base"
