"""Changes of owners."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import Content, Marks, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedCounts, BoundedMap
from mimosapoint_cli.report.sections.core import (
    Section,
    format_seconds,
    format_time,
    page_section,
)

__all__ = ["TakeOvers"]

MOST_EVENTS = 200
"""Events that are listed and drawn; more are counted only."""

CLAIMS = ("cell-claimed", "zone-claimed")
MOST_EPOCHS = 100


@page_section(
    "take-overs",
    "Take-overs",
    position=60,
    events=(
        *CLAIMS,
        "cell-given-up",
        "cell-settled",
        "owner-deposed",
        "owner-fault",
        "ownership-confirmed",
        "ownership-failed",
        "release-failed",
        "take-over",
        "token-refused",
        "zone-handed-over",
        "zone-lost",
    ),
)
class TakeOvers(Section):
    """Who owned the cell and the zones, and how long recovery took."""

    def __init__(self) -> None:
        self._counts = BoundedCounts(20)
        self._listed: list[tuple[float, str, str, str, str, str]] = []
        self._claimed_at = BoundedMap(MOST_EPOCHS)
        self._longest_recovery: float | None = None
        self._longest_first_start: float | None = None

    def add(self, line: LogLine) -> None:
        """Add a claim, its end or a failure."""
        self._counts.add(line.event)
        epoch = line.text("epoch", "")
        what = self._recovery(line, epoch) or self._part(line)
        what = what or line.text("reason", line.text("code", ""))
        if line.event == "owner-fault":
            what = line.fields_by_key.get("trace", "").rstrip()[-200:]
        if len(self._listed) < MOST_EVENTS:
            zone = line.text("zone", "the cell")
            self._listed.append((line.time, line.node, line.event, zone, epoch, what))

    def _recovery(self, line: LogLine, epoch: str) -> str:
        """Return the duration of a recovery that is complete as text, otherwise nothing."""
        if line.event == "cell-claimed":
            self._claimed_at.put(epoch, line.time)
        claimed_at = self._claimed_at.remove(epoch) if line.event == "cell-settled" else None
        if claimed_at is None:
            return ""
        seconds = max(0.0, line.time - claimed_at)
        self._longest_recovery = max(seconds, self._longest_recovery or 0.0)
        return f"recovered {format_seconds(seconds)} after the claim"

    def _part(self, line: LogLine) -> str:
        """Return the part of a take-over that is complete as text, otherwise nothing."""
        seconds = line.number("seconds")
        if line.event != "take-over" or seconds is None:
            return ""
        part = line.text("part", "")
        if part == "first-start":
            self._longest_first_start = max(seconds, self._longest_first_start or 0.0)
        return f"{part} {format_seconds(seconds)} after the claim"

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the number of claims and the longest times after one."""
        counts = self._counts.counts_by_key
        yield "claims of the cell or a zone", f"{sum(counts.get(name, 0) for name in CLAIMS):,.0f}"
        if self._longest_recovery is not None:
            yield "longest recovery after a claim", format_seconds(self._longest_recovery)
        if self._longest_first_start is not None:
            yield "longest time to the first start", format_seconds(self._longest_first_start)

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return the events by time and node."""
        yield Marks(
            "Changes of owners by node",
            [(time, node, event) for time, node, event, *_ in self._listed],
        )
        rows = [(format_time(time), *rest) for time, *rest in self._listed]
        headers = ("time (UTC)", "node", "event", "of", "epoch", "reason")
        yield Table("Changes of owners", headers, rows)
        more = int(self._counts.total) - len(self._listed)
        if more:
            yield f"{more:,} more events are not listed."
