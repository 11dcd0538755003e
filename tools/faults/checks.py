"""What a case must keep besides the promises of the history's checks."""

from collections import defaultdict
from collections.abc import Iterator
from datetime import datetime, timedelta

import attrs
from mimosapoint.memory import TaskEvent, TaskEventKind
from mimosapoint.testing import History, check_all

from tools.faults.case_run import CaseRun, RecoveryExpectation

__all__ = ["promise_violations", "first_start_seconds"]

THAW_BOUND = timedelta(seconds=3)
"""Time that a node which was frozen has to learn the newest version."""

ANSWER_BOUND = timedelta(seconds=10)
"""Longest time from the end of a job's work, or of the faults, to its answer."""


def promise_violations(run: CaseRun, combined: bool) -> list[str]:
    """Return one line for each broken promise of a run."""
    history = run.recorder.history
    judged = attrs.evolve(history, versions=_versions_outside_freezes(run))
    broken = [line for finding in check_all(judged) for line in finding.violations]
    broken.extend(_version_regressions(history))
    broken.extend(_stale_epoch_starts(history))
    broken.extend(_late_answers(history, run.faults_cleared_at))
    broken.extend(_late_starts(run, combined))
    return broken


def first_start_seconds(run: CaseRun) -> float | None:
    """Return the longest time from the fault to the first start in a zone that it hit."""
    if not run.recovery_expectations:
        return None
    first = min(run.recovery_expectations, key=lambda mark: mark.at)
    waits = [_time_to_first_start(run.recorder.history, first, zone) for zone in first.zones]
    known = [wait.total_seconds() for wait in waits if wait is not None]
    return max(known) if known else None


def _versions_outside_freezes(run: CaseRun) -> list:
    """Return the looks at versions, but for those at nodes that were frozen a moment ago."""
    return [
        seen
        for seen in run.recorder.history.versions
        if not any(
            freeze.node == seen.node and freeze.begin <= seen.at <= freeze.end + THAW_BOUND
            for freeze in run.freezes
        )
    ]


def _version_regressions(history: History) -> Iterator[str]:
    """Yield versions that fell on a node, frozen or not."""
    last: dict[tuple[str, int], int] = {}
    for seen in history.versions:
        key = seen.node, seen.boot
        if seen.version < last.get(key, 0):
            yield f"{seen.node} fell from {last[key]} to {seen.version}"
        last[key] = seen.version


def _starts(history: History) -> list[TaskEvent]:
    events = sorted(history.tasks, key=lambda event: event.time)
    return [event for event in events if event.event is TaskEventKind.STARTED]


def _stale_epoch_starts(history: History) -> Iterator[str]:
    """Yield starts by an owner whose successor had started work on the same worker."""
    epochs: dict[str, int] = defaultdict(int)
    for event in _starts(history):
        if event.epoch < epochs[event.worker]:
            yield f"{event.task} started on {event.worker} by an owner that was replaced"
        epochs[event.worker] = max(epochs[event.worker], event.epoch)


def _late_answers(history: History, lifted_at: datetime) -> Iterator[str]:
    """Yield calls without an answer, or with one long after their work."""
    ends: dict[str, datetime] = {}
    for event in history.tasks:
        job = event.task.rsplit("/", 2)[0]
        ends[job] = max(event.time, ends.get(job, event.time))
    for call in history.calls:
        if call.outcome is None:
            yield f"{call.key} ({call.job}) has no answer"
        elif call.job in ends:
            late = call.ended_at - max(ends[call.job], lifted_at)
            if late > ANSWER_BOUND:
                yield f"{call.key} was answered {late.total_seconds():.1f} s late"


def _late_starts(run: CaseRun, combined: bool) -> Iterator[str]:
    """Yield zones that started nothing within the bound."""
    for mark in run.recovery_expectations:
        if mark.bound is None:
            continue
        grace = max(run.faults_cleared_at - mark.at, timedelta()) if combined else timedelta()
        for zone in sorted(mark.zones):
            wait = _time_to_first_start(run.recorder.history, mark, zone)
            if wait is None:
                yield f"{zone} started nothing after the fault"
            elif wait > mark.bound + grace:
                yield f"{zone} started nothing for {wait.total_seconds():.1f} s"


def _time_to_first_start(
    history: History, mark: RecoveryExpectation, zone: str
) -> timedelta | None:
    """Return the time from a mark to a zone's first start."""
    zones = history.zones_by_worker
    times = [e.time for e in _starts(history) if zones[e.worker] == zone and e.time > mark.at]
    return times[0] - mark.at if times else None
