"""Checks of fault cases in addition to the checks of the promises over a history."""

from collections import defaultdict
from collections.abc import Iterator
from datetime import datetime, timedelta

import attrs
from mimosapoint.memory import TaskEvent, TaskEventKind
from mimosapoint.testing import History, check_all

from tools.faults.case_run import CaseRun, RecoveryExpectation

__all__ = ["promise_violations", "first_start_seconds"]

THAW_BOUND = timedelta(seconds=3)
"""Longest time in which a thawed node learns the newest configuration version."""

ANSWER_BOUND = timedelta(seconds=10)
"""Longest time from the end of the tasks of a job, or of the faults, to its answer."""


def promise_violations(run: CaseRun, combined: bool) -> list[str]:
    """Return one line for each violation in a run.

    :param combined: whether several faults were injected at once.
    """
    history = run.recorder.history
    checked_history = attrs.evolve(history, versions=_versions_outside_freezes(run))
    violations = [line for finding in check_all(checked_history) for line in finding.violations]
    violations.extend(_version_regressions(history))
    violations.extend(_stale_epoch_starts(history))
    violations.extend(_late_answers(history, run.faults_cleared_at))
    violations.extend(_late_starts(run, combined))
    return violations


def first_start_seconds(run: CaseRun) -> float | None:
    """Return the longest time from the first fault to the first start in a zone it affected."""
    if not run.recovery_expectations:
        return None
    first = min(run.recovery_expectations, key=lambda expectation: expectation.at)
    waits = [_time_to_first_start(run.recorder.history, first, zone) for zone in first.zones]
    known = [wait.total_seconds() for wait in waits if wait is not None]
    return max(known) if known else None


def _versions_outside_freezes(run: CaseRun) -> list:
    """Return the version observations except those of nodes that are frozen or just thawed.

    A node has ``THAW_BOUND`` after a freeze to learn the newest version.
    """
    return [
        observation
        for observation in run.recorder.history.versions
        if not any(
            freeze.node == observation.node
            and freeze.begin <= observation.at <= freeze.end + THAW_BOUND
            for freeze in run.freezes
        )
    ]


def _version_regressions(history: History) -> Iterator[str]:
    """Yield decreases of the version of a node process, also when it was frozen."""
    last: dict[tuple[str, int], int] = {}
    for observation in history.versions:
        key = observation.node, observation.incarnation
        if observation.version < last.get(key, 0):
            yield f"{observation.node} fell from {last[key]} to {observation.version}"
        last[key] = observation.version


def _starts(history: History) -> list[TaskEvent]:
    events = sorted(history.tasks, key=lambda event: event.time)
    return [event for event in events if event.event is TaskEventKind.STARTED]


def _stale_epoch_starts(history: History) -> Iterator[str]:
    """Yield starts by an owner after its successor has started a task on the same worker."""
    epochs: dict[str, int] = defaultdict(int)
    for event in _starts(history):
        if event.epoch < epochs[event.worker]:
            yield f"{event.task} started on {event.worker} by an owner that was replaced"
        epochs[event.worker] = max(epochs[event.worker], event.epoch)


def _late_answers(history: History, cleared_at: datetime) -> Iterator[str]:
    """Yield calls that have no answer or were answered later than ``ANSWER_BOUND`` allows."""
    ends: dict[str, datetime] = {}
    for event in history.tasks:
        job = event.task.rsplit("/", 2)[0]
        ends[job] = max(event.time, ends.get(job, event.time))
    for call in history.calls:
        if call.outcome is None:
            yield f"{call.key} ({call.job}) has no answer"
        elif call.job in ends:
            delay = call.ended_at - max(ends[call.job], cleared_at)
            if delay > ANSWER_BOUND:
                yield f"{call.key} was answered {delay.total_seconds():.1f} s late"


def _late_starts(run: CaseRun, combined: bool) -> Iterator[str]:
    """Yield zones that started no task within the bound of a recovery expectation.

    With combined faults the bound counts from the end of all faults, as another fault may
    prevent starts until then.
    """
    for expectation in run.recovery_expectations:
        if expectation.bound is None:
            continue
        extension = (
            max(run.faults_cleared_at - expectation.at, timedelta()) if combined else timedelta()
        )
        for zone in sorted(expectation.zones):
            wait = _time_to_first_start(run.recorder.history, expectation, zone)
            if wait is None:
                yield f"{zone} started nothing after the fault"
            elif wait > expectation.bound + extension:
                yield f"{zone} started nothing for {wait.total_seconds():.1f} s"


def _time_to_first_start(
    history: History, expectation: RecoveryExpectation, zone: str
) -> timedelta | None:
    """Return the time from a recovery expectation to the first start in a zone, if any."""
    zones = history.zones_by_worker
    times = [
        e.time for e in _starts(history) if zones[e.worker] == zone and e.time > expectation.at
    ]
    return times[0] - expectation.at if times else None
