"""Refused requests and why."""

import re
from collections.abc import Iterable

from mimosapoint_cli.report.figures import BarsOverTime, Content, HeatMap, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedCounts
from mimosapoint_cli.report.sections.core import Section, page_section
from mimosapoint_cli.report.time_bins import TimeBins

__all__ = ["Refusals"]

SERVER_ERROR = 500
"""Lowest HTTP status that is not the caller's fault."""

MOST_NODES_DRAWN = 60
MOST_HIGHLIGHTS = 3
VARIABLE_WORD = re.compile(r"[\w.:-]*\d[\w.:-]*")


@page_section(
    "refusals",
    "Refused requests",
    position=10,
    events=("request-refused", "request-forwarded"),
    metrics=("http_requests_total",),
)
class Refusals(Section):
    """Refusals by reason and by node."""

    def __init__(self) -> None:
        self._over_time = TimeBins()
        self._by_node = TimeBins(most_series=MOST_NODES_DRAWN)
        self._reasons = BoundedCounts(60)
        self._counts_by_status = BoundedCounts(30)
        self._counts_by_reason_and_node = BoundedCounts(None)
        self._forwards = BoundedCounts(60)

    def add(self, line: LogLine) -> None:
        """Add a refused or a forwarded request."""
        if line.event == "request-forwarded":
            self._forwards.add((line.text("error"), line.text("outcome")))
            return
        status = int(line.number("status") or 0)
        error = line.text("error")
        self._over_time.add(line.time, f"{error} ({status})")
        self._counts_by_status.add(status)
        self._counts_by_reason_and_node.add((error, status, line.node))
        detail = VARIABLE_WORD.sub("…", line.text("detail", ""))
        self._reasons.add((error, status, line.text("method"), detail))
        if status >= SERVER_ERROR:
            self._by_node.add(line.time, line.node)

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the number of refusals and of the nodes that refused, by reason."""
        reasons = self._nodes_and_counts_by_reason()
        for (error, status), (nodes, count) in reasons[:MOST_HIGHLIGHTS]:
            yield f"requests refused: {error} ({status})", f"{count:,.0f} (nodes: {nodes})"

    def _nodes_and_counts_by_reason(self) -> list[tuple[tuple[str, int], tuple[int, float]]]:
        """Return reasons and their nodes and counts, those without the caller's fault first."""
        reasons: dict[tuple[str, int], tuple[int, float]] = {}
        for key, count in self._counts_by_reason_and_node.counts_by_key.items():
            reason = key[:2] if isinstance(key, tuple) else (key, 0)
            nodes, total = reasons.get(reason, (0, 0))
            reasons[reason] = nodes + 1, total + count
        return sorted(reasons.items(), key=lambda item: (item[0][1] < SERVER_ERROR, -item[1][1]))

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return refusals over time, by node and by reason."""
        yield BarsOverTime(
            "Refusals by reason (HTTP status)", "requests per interval", self._over_time.series()
        )
        yield HeatMap(
            "Refusals with status 5xx by node",
            "requests per interval",
            self._by_node.series(absent=float("nan")),
        )
        yield Table(
            "Refusals by reason and nodes",
            ("error", "status", "nodes", "requests"),
            [
                (*reason, nodes, f"{count:,.0f}")
                for reason, (nodes, count) in self._nodes_and_counts_by_reason()[:30]
            ],
        )
        yield Table(
            "Refusals by detail",
            ("error", "status", "method", "detail, words with digits as …", "requests"),
            [(*_fill(key, 4), f"{count:,.0f}") for key, count in self._reasons.largest(30)],
        )
        yield Table(
            "Requests that a node forwarded because it could not serve them",
            ("error at the first node", "status from the other", "requests"),
            [(*_fill(key, 2), f"{count:,.0f}") for key, count in self._forwards.largest(30)],
        )
        totals = metrics.totals("http_requests_total", "status")
        if totals:
            yield Table(
                "All requests by status, from the metrics",
                ("status", "requests"),
                [(*key, f"{count:,.0f}") for key, count in sorted(totals.items())],
            )


def _fill(key: tuple[str, ...] | str, length: int) -> tuple[str, ...]:
    """Return a key of counts as cells; the key of all others has one part only."""
    return key if isinstance(key, tuple) else (key, *[""] * (length - 1))
