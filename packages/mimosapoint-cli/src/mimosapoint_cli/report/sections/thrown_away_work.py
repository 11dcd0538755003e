"""Work that was thrown away."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import BarsOverTime, Content, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedCounts
from mimosapoint_cli.report.sections.core import Section, page_section
from mimosapoint_cli.report.time_bins import TimeBins

__all__ = ["ThrownAwayWork"]

DONE = "done"
ROOM_FOR = "room-for-"
"""Beginning of the reason of a preemption; the preemptor follows."""


@page_section(
    "thrown-away",
    "Thrown-away work",
    position=70,
    events=("unit-stopped", "run-over", "job-requeued", "job-reclaimed"),
    metrics=("cell_units_stopped_total",),
)
class ThrownAwayWork(Section):
    """Core-seconds lost by stops, and runs that ended before they were done."""

    def __init__(self) -> None:
        self._lost = TimeBins()
        self._stops = BoundedCounts(60)
        self._core_seconds = BoundedCounts(60)
        self._ends = BoundedCounts(60)
        self._progress = BoundedCounts(60)
        self._requeues = BoundedCounts(10)

    def add(self, line: LogLine) -> None:
        """Add a stop, an end or a requeued job."""
        if line.event == "unit-stopped":
            lost = line.number("lost_core_seconds") or 0.0
            reason = line.text("reason")
            if reason.startswith(ROOM_FOR):
                reason = f"{ROOM_FOR}UNIT"
            key = (reason, line.text("priority"))
            self._stops.add(key)
            self._core_seconds.add(key, lost)
            self._lost.add(line.time, key[0], lost)
        elif line.event == "run-over":
            self._add_end(line)
        elif line.event == "job-requeued":
            kept = line.text("kept") == "true"
            self._requeues.add(f"requeued {'from a checkpoint' if kept else 'without its work'}")
        else:
            self._requeues.add("preempted to reclaim guaranteed capacity")

    def _add_end(self, line: LogLine) -> None:
        percent = line.number("percent") or 0.0
        if line.text("end") == DONE:
            return
        key = (line.text("end"), line.text("reason"))
        self._ends.add(key)
        self._progress.add(key, percent / 100)

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the lost core-seconds."""
        yield "work thrown away by stops", f"{self._core_seconds.total:,.0f} core-seconds"
        yield "runs of tasks that ended before they were done", f"{self._ends.total:,.0f}"

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return lost core-seconds over time and by reason."""
        yield BarsOverTime(
            "Work lost by stops, by reason", "core-seconds per interval", self._lost.series()
        )
        core_seconds = self._core_seconds.counts_by_key
        rows = [
            (*_pair(key), f"{count:,.0f}", f"{core_seconds.get(key, 0):,.0f}")
            for key, count in self._stops.largest()
        ]
        yield Table("Stops by reason", ("reason", "priority", "units", "core-seconds lost"), rows)
        progress = self._progress.counts_by_key
        rows = [
            (*_pair(key), f"{count:,.0f}", f"{progress.get(key, 0):,.1f}")
            for key, count in self._ends.largest()
        ]
        headers = ("end", "reason", "tasks", "progress lost at most, in whole tasks")
        yield Table("Runs that ended before they were done", headers, rows)
        if len(self._requeues):
            rows = [(key, f"{count:,.0f}") for key, count in self._requeues.largest()]
            yield Table("Gangs that had to give way", ("what", "gangs"), rows)


def _pair(key: tuple[str, str] | str) -> tuple[str, str]:
    return key if isinstance(key, tuple) else (key, "")
