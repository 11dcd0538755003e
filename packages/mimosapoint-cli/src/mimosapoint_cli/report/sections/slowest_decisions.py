"""Slowest decisions, waits and calls."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import Content, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import LargestValues
from mimosapoint_cli.report.sections.core import (
    Section,
    format_seconds,
    format_time,
    page_section,
)
from mimosapoint_cli.report.sections.waiting_times import histogram_table

__all__ = ["SlowestDecisions"]

DURATION_KEYS_BY_EVENT = {
    "unit-started": "waited",
    "starts-limited": "lag",
    "member-paused": "seconds",
    "zone-claimed": "seconds",
    "span": "seconds",
}
"""The field with a duration in seconds."""

SUBJECT_KEYS = ("job", "unit", "name", "zone", "trace")

MEANINGS_BY_EVENT = {
    "unit-started": "Starts that waited longest",
    "starts-limited": "Latest timers of an owner",
    "member-paused": "Longest pauses of a node",
    "zone-claimed": "Slowest claims of a zone",
    "span": "Slowest hops of traces",
}


@page_section(
    "slowest",
    "Slowest decisions",
    position=80,
    events=DURATION_KEYS_BY_EVENT,
    metrics=("cell_decision_seconds", "cell_timer_lag_seconds"),
)
class SlowestDecisions(Section):
    """Durations of decisions from the metrics, and the slowest events of the logs."""

    def __init__(self) -> None:
        self._slowest_by_event = {event: LargestValues() for event in DURATION_KEYS_BY_EVENT}

    def add(self, line: LogLine) -> None:
        """Add an event with a duration."""
        seconds = line.number(DURATION_KEYS_BY_EVENT[line.event])
        slowest = self._slowest_by_event[line.event]
        if seconds is not None and slowest.is_large(seconds):
            subjects = (f"{key} {line.text(key)}" for key in SUBJECT_KEYS if line.text(key, ""))
            slowest.add(seconds, (line.time, line.node, ", ".join(subjects)))

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the slowest decision, which only the metrics tell."""
        for histogram in metrics.histograms("cell_decision_seconds").values():
            yield "slowest decision", f"≤ {histogram.quantile(1.0):g} s"

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return decisions by node and the slowest events."""
        histograms = metrics.histograms("cell_decision_seconds", "node")
        if histograms:
            yield histogram_table("Decisions by node, from the metrics", "node", histograms)
        else:
            yield (
                "The logs have no event for a decision. Its duration is in the metric "
                "mimosapoint_cell_decision_seconds: give the nodes' metrics as files to see it."
            )
        lags = metrics.histograms("cell_timer_lag_seconds", "node")
        if lags:
            yield histogram_table("Delay of the owners' timers, from the metrics", "node", lags)
        for event, slowest in self._slowest_by_event.items():
            rows = [
                (format_seconds(seconds), format_time(time), node, subject)
                for seconds, (time, node, subject) in slowest.items()
            ]
            if rows:
                headers = ("duration", "time (UTC)", "node", "what")
                yield Table(MEANINGS_BY_EVENT[event], headers, rows)
