"""Measures of a history: completion times, free slots, and work during a zone outage."""

from collections import defaultdict
from datetime import datetime

import attrs
from mimosapoint.memory import TaskEventKind
from mimosapoint.testing import History

__all__ = ["Measures", "measure"]


@attrs.frozen
class Measures:
    """Measures of a demo run.

    :param completion_by_class: median and 95th percentile of completion in seconds, by class.
    :param free_while_waiting: mean share of free slots while any job waited for its start.
    :param work_while_out: slot-seconds of work in all zones while a zone was out.
    :param work_before: slot-seconds of work in an equally long interval just before.
    """

    completion_by_class: dict[str, tuple[float, float]]
    free_while_waiting: float
    work_while_out: float
    work_before: float


def measure(history: History, classes_by_key: dict[str, str], slots: int) -> Measures:
    """Return the measures of a history.

    :param classes_by_key: class of each job by its idempotency key.
    :param slots: number of slots of the site.
    """
    spans = _task_spans(history)
    out, back = _zone_outage(history)
    length = back - out
    work_out = _busy_seconds(spans, out, back)
    work_before = _busy_seconds(spans, out - length, out)
    return Measures(
        _completion(history, classes_by_key),
        _free_while_waiting(history, spans, slots),
        work_out,
        work_before,
    )


def _completion(history: History, classes_by_key: dict[str, str]) -> dict[str, tuple[float, float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for call in history.calls:
        if call.outcome == "succeeded" and call.key in classes_by_key:
            times[classes_by_key[call.key]].append((call.ended_at - call.sent_at).total_seconds())
    return {
        name: (_quantile(values, 0.5), _quantile(values, 0.95))
        for name, values in sorted(times.items())
    }


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _task_spans(history: History) -> list[tuple[datetime, datetime]]:
    """Return the start and end of each task run."""
    spans = []
    for runs in history.events_by_attempt().values():
        for events in runs.events_by_index.values():
            starts = [e.time for e in events if e.event is TaskEventKind.STARTED]
            ends = [e.time for e in events if e.event is not TaskEventKind.STARTED]
            spans.extend(zip(starts, ends))
    return spans


def _zone_outage(history: History) -> tuple[datetime, datetime]:
    """Return the times of the answers to the first and the last accepted patch.

    The scenario takes a zone out with the first and brings it back with the last.
    """
    accepted = [patch for patch in history.patches if patch.version]
    return accepted[0].answered_at, accepted[-1].answered_at


def _busy_seconds(spans: list[tuple[datetime, datetime]], begin: datetime, end: datetime) -> float:
    """Return the seconds that tasks ran between two times, summed over the tasks."""
    clipped_spans = ((max(start, begin), min(stop, end)) for start, stop in spans)
    return sum(max(0.0, (stop - start).total_seconds()) for start, stop in clipped_spans)


def _free_while_waiting(
    history: History, spans: list[tuple[datetime, datetime]], slots: int
) -> float:
    """Return the mean share of free slots over the sample times at which any job waits."""
    starts = {job: events[0].time for job, events in history.starts_by_job().items()}
    waits = [(call.sent_at, starts[call.job]) for call in history.calls if call.job in starts]
    begin, end = min(wait[0] for wait in waits), max(wait[1] for wait in waits)
    samples = 200
    step = (end - begin) / samples
    free = []
    for at in (begin + step * n for n in range(samples)):
        if any(sent <= at < started for sent, started in waits):
            used = sum(start <= at < stop for start, stop in spans)
            free.append(max(0, slots - used) / slots)
    return sum(free) / len(free) if free else 0.0
