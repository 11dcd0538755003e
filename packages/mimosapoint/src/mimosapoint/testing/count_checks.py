"""Checks of the published count of waiting jobs against what workers have begun."""

from __future__ import annotations

from collections.abc import Iterator

from mimosapoint.testing.cell_history import CellHistory, SubmissionOutcome

__all__ = ["low_counts"]

COUNT_BOUND = 5.0
"""Time after its acceptance from which a job that has not begun has to be counted, in seconds."""

CALM_BEFORE = 4.0
"""Time without a disturbance of the nodes or the store before a count is checked, in seconds."""

NODE_FAULTS = ("store", "owner", "nodes", "history", "key", "submission")
"""Words in the names of faults of the nodes and of the store; others do not excuse a count."""


def low_counts(history: CellHistory) -> Iterator[str | None]:
    """Yield, for each count that was read, ``None`` or that it is under half of the jobs.

    :param history: all observations.
    """
    disturbed = [
        (each.began_at, each.ended_at + CALM_BEFORE)
        for each in history.disturbances
        if any(word in each.name for word in NODE_FAULTS)
    ]
    spans = list(_waiting_spans(history))
    for count in history.counts:
        if any(began_at <= count.at <= ended_at for began_at, ended_at in disturbed):
            continue
        waiting = sum(since <= count.at < until for since, until in spans)
        is_low = 2 * count.waiting < waiting
        yield f"{count.waiting} jobs wait at {count.at:.2f}, not {waiting}" if is_low else None


def _waiting_spans(history: CellHistory) -> Iterator[tuple[float, float]]:
    """Yield the span of each job in which it has to be counted."""
    for submission in history.submissions:
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        job = submission.job
        ends = [run.started_at for run in history.runs_of(job)]
        ends += [each.sent_at for each in history.cancellations if each.job == job]
        ends += [
            each.sent_at
            for each in history.phases
            if each.job == job and each.phase is not None and each.phase.ended
        ]
        yield submission.ended_at + COUNT_BOUND, min(ends, default=history.ended_at)
