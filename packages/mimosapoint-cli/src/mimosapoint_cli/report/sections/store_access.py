"""Parts of nodes that lost the store."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import BarsOverTime, Content, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedCounts, BoundedMap
from mimosapoint_cli.report.sections.core import Section, format_seconds, page_section
from mimosapoint_cli.report.time_bins import TimeBins

__all__ = ["StoreAccess"]


@page_section(
    "store",
    "Store lost",
    position=30,
    events=("store-lost", "store-still-lost", "store-regained"),
    metrics=("cell_store_failures_total",),
)
class StoreAccess(Section):
    """Losses of the store by part of the node, and how long they lasted."""

    def __init__(self) -> None:
        self._losses = TimeBins()
        self._counts = BoundedCounts(200)
        self._nodes = BoundedCounts(None)
        self._lost_since = BoundedMap()
        self._longest = 0.0

    def add(self, line: LogLine) -> None:
        """Add a loss, its continuation or its end."""
        part = line.text("part")
        if line.event == "store-regained":
            since = self._lost_since.remove((line.node, part))
            if since is not None:
                self._longest = max(self._longest, line.time - since)
        else:
            self._counts.add((part, line.event, line.text("error")))
        if line.event == "store-lost":
            self._losses.add(line.time, part)
            self._nodes.add(line.node)
            self._lost_since.put((line.node, part), line.time)

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the number of losses, of nodes and of parts that did not regain the store."""
        losses = sum(
            count for key, count in self._counts.counts_by_key.items() if "store-lost" in key
        )
        value = f"{losses:,.0f} (nodes: {len(self._nodes)})"
        yield "losses of the store by a part of a node", value
        yield "of them not regained by the end of the logs", f"{len(self._lost_since):,}"

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return losses over time and by part and error."""
        yield BarsOverTime(
            "Losses of the store by part of the node", "losses per interval", self._losses.series()
        )
        if self._longest:
            yield f"The longest loss that ended lasted {format_seconds(self._longest)}."
        yield Table(
            "Losses by part",
            ("part", "event", "error", "events"),
            [
                (*(key if isinstance(key, tuple) else (key, "", "")), f"{count:,.0f}")
                for key, count in self._counts.largest(40)
            ],
        )
        failures = metrics.totals("cell_store_failures_total", "part", "error")
        if failures:
            yield Table(
                "Failed calls to the store, from the metrics",
                ("part", "error", "calls"),
                [(*key, f"{count:,.0f}") for key, count in sorted(failures.items())],
            )
