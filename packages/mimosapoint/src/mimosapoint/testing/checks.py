"""One check for each of the brief's nine promises, over a history."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta

import attrs

from mimosapoint.memory import TaskEvent, TaskEventKind
from mimosapoint.testing.history import AttemptEvents, CallObservation, History, PatchObservation

__all__ = ["CheckResult", "check_all", "checks_by_promise", "patches_in_order"]

PARTIAL_GANG_BOUND = timedelta(seconds=10)
"""Longest time for which a part of a gang may run while an owner is replaced."""

WITHDRAWAL_BOUND = timedelta(seconds=3)
"""Longest time from the withdrawal of an availability zone to the last start there."""

LEAVING_BOUND = timedelta(seconds=3)
"""Longest time from the word that an endpoint leaves to the last start there."""

VERSION_BOUND = timedelta(seconds=3)
"""Longest time from an accepted version to its being in force on every live node."""

NEVER_STARTED_OUTCOMES = ("not-run",)


@attrs.frozen
class CheckResult:
    """Result of one check.

    :param promise: name of the promise.
    :param cases_checked: number of cases that were checked.
    :param violations: what broke the promise, one line each.
    """

    promise: str
    cases_checked: int
    violations: tuple[str, ...]


Check = Callable[[History], Iterator[str | None]]
"""Yields ``None`` for a case that keeps the promise and a line for one that breaks it."""

checks_by_promise: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""

    def register(check: Check) -> Check:
        checks_by_promise[name] = check
        return check

    return register


def check_all(history: History) -> list[CheckResult]:
    """Return a finding for each promise, in the brief's order."""
    findings = []
    for name, check in checks_by_promise.items():
        results = list(check(history))
        broken = tuple(line for line in results if line is not None)
        findings.append(CheckResult(name, len(results), broken))
    return findings


@promise("guaranteed shapes can be reclaimed")
def claims_start(history: History) -> Iterator[str | None]:
    """A claim runs as a whole gang within its bound."""
    calls_by_key = {call.key: call for call in history.calls}
    starts_by_job = history.starts_by_job()
    for claim in history.claims:
        call = calls_by_key[claim.key]
        starts = starts_by_job.get(call.job, [])
        indexes = {event.index: event.time for event in reversed(starts)}
        if len(indexes) < call.gang:
            yield f"claim {claim.key} did not start as a whole"
            continue
        waited = (max(indexes.values()) - claim.accepted_at).total_seconds()
        yield (
            f"claim {claim.key} waited {waited:.2f} s"
            if waited > claim.start_bound_seconds
            else None
        )


@promise("gangs run whole or not at all")
def gangs_are_whole(history: History) -> Iterator[str | None]:
    """No part of a gang runs for longer than the bound without the others."""
    gangs_by_job = {call.job: call.gang for call in history.calls if call.job}
    for (job, attempt), runs in history.events_by_attempt().items():
        gang = gangs_by_job.get(job)
        if gang is None:
            continue
        yield _partial_gang_violation(f"{job}/{attempt}", runs, gang, history.ended_at)


def _partial_gang_violation(name: str, runs: AttemptEvents, gang: int, now: datetime) -> str | None:
    """Return a line when a part ran alone for too long."""
    starts = runs.first_starts()
    if not starts:
        return None
    first = min(starts.values())
    if len(starts) == gang:
        alone = max(starts.values()) - first
    else:
        ends = [runs.last_end(index) or now for index in starts]
        alone = max(end - starts[index] for index, end in zip(starts, ends))
    if alone <= PARTIAL_GANG_BOUND:
        return None
    return f"{name}: {len(starts)} of {gang} tasks ran alone for {alone.total_seconds():.2f} s"


@promise("nothing starts in a withdrawn zone")
def no_starts_in_withdrawn_zones(history: History) -> Iterator[str | None]:
    """No task starts in a zone for longer than the bound after the withdrawal."""
    accepted = sorted((p for p in history.patches if p.version), key=lambda p: p.version)
    starts = [event for event in history.tasks if event.event is TaskEventKind.STARTED]
    for index, patch in enumerate(accepted):
        before = accepted[index - 1].zones_out if index else frozenset()
        for zone in patch.zones_out - before:
            until = _returned_at(accepted[index + 1 :], zone)
            yield _late_start(history, starts, patch, zone, until)


def _returned_at(later: list[PatchObservation], zone: str) -> datetime | None:
    """Return when the zone may have come back, or ``None``."""
    back = [patch.sent_at for patch in later if zone not in patch.zones_out]
    return back[0] if back else None


def _late_start(
    history: History,
    starts: list[TaskEvent],
    patch: PatchObservation,
    zone: str,
    until: datetime | None,
) -> str | None:
    bound = patch.answered_at + WITHDRAWAL_BOUND
    for event in starts:
        if history.zones_by_worker.get(event.worker) != zone or event.time <= bound:
            continue
        if until is None or event.time < until:
            late = (event.time - patch.answered_at).total_seconds()
            return f"{event.task} started in {zone} {late:.2f} s after its withdrawal"
    return None


@promise("callers get the whole answer to their own request")
def answers_are_whole(history: History) -> Iterator[str | None]:
    """An answer has every part, and they are those of this request."""
    for call in history.calls:
        if call.outcome != "succeeded":
            continue
        if len(call.parts) != call.gang:
            yield f"{call.key}: {len(call.parts)} parts of {call.gang}"
        elif call.expected is not None and call.parts != call.expected:
            yield f"{call.key}: the answer is another request's"
        else:
            yield None


@promise("not run is true")
def not_run_jobs_never_started(history: History) -> Iterator[str | None]:
    """A job that was refused or not run has no start."""
    starts_by_job = history.starts_by_job()
    for call in history.calls:
        if call.job is None or call.outcome not in NEVER_STARTED_OUTCOMES:
            continue
        started = call.job in starts_by_job
        yield f"{call.key}: not run, but {call.job} started" if started else None


@promise("non-repeatable work runs at most once")
def at_most_once(history: History) -> Iterator[str | None]:
    """No task of a non-repeatable job starts twice, but to go on after a checkpoint."""
    jobs = {call.job for call in history.calls if call.job and not call.repeatable}
    events_by_task: dict[tuple[str, int], list[TaskEvent]] = defaultdict(list)
    for event in sorted(history.tasks, key=lambda event: event.time):
        job = event.task.rsplit("/", 2)[0]
        if job in jobs:
            events_by_task[job, event.index].append(event)
    for (job, index), events in events_by_task.items():
        kinds = [event.event for event in events]
        doubled = _restarted_without_stop(kinds)
        yield f"task {index} of {job} started twice" if doubled else None


def _restarted_without_stop(kinds: list[TaskEventKind]) -> bool:
    """Whether a start follows anything but a stop."""
    for before, after in zip(kinds, kinds[1:]):
        if after is TaskEventKind.STARTED and before is not TaskEventKind.STOPPED:
            return True
    return False


@promise("a leaving endpoint gets no new work")
def no_starts_on_leaving_endpoints(history: History) -> Iterator[str | None]:
    """No task starts on an endpoint for longer than the bound after the list's word."""
    for leaving in history.leavings:
        bound = leaving.at + LEAVING_BOUND
        late = [
            event.task
            for event in history.tasks
            if event.worker == leaving.worker
            and event.event is TaskEventKind.STARTED
            and event.time > bound
        ]
        yield f"{late[0]} started on {leaving.worker}, which leaves" if late else None


@promise("a planned stop cuts nothing off")
def stops_are_graceful(history: History) -> Iterator[str | None]:
    """Every request in progress at a planned stop is answered, and the process ends well."""
    for stop in history.stops:
        yield f"{stop.node} exited with {stop.exit_code}" if stop.exit_code else None
        for call in history.calls:
            if call.node == stop.node and _in_progress(call, stop.at):
                yield None if call.outcome else f"{call.key} was cut off by {stop.node}"


def _in_progress(call: CallObservation, at: datetime) -> bool:
    return call.sent_at < at and (call.ended_at is None or call.ended_at > at)


@promise("an accepted configuration is in force and stays")
def versions_are_monotonic(history: History) -> Iterator[str | None]:
    """Versions never fall on a node and reach every node within the bound."""
    seen_by_node: dict[tuple[str, int], list] = defaultdict(list)
    for seen in sorted(history.versions, key=lambda seen: seen.at):
        seen_by_node[seen.node, seen.boot].append(seen)
    for (node, _), seen in seen_by_node.items():
        for before, after in zip(seen, seen[1:]):
            fell = after.version < before.version
            yield f"{node} fell from {before.version} to {after.version}" if fell else None
    yield from _late_versions(history)
    yield from patches_in_order(history)


def _late_versions(history: History) -> Iterator[str | None]:
    for patch in history.patches:
        if not patch.version:
            continue
        bound = patch.answered_at + VERSION_BOUND
        behind = {
            seen.node
            for seen in history.versions
            if seen.at > bound and seen.version < patch.version
        }
        yield f"version {patch.version} is late on {sorted(behind)}" if behind else None


def patches_in_order(history: History) -> Iterator[str | None]:
    """Check that the accepted patches are one line of versions that agrees with real time."""
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
