"""Capacity used and lost."""

from collections.abc import Iterable
from itertools import accumulate

import attrs

from mimosapoint_cli.report.figures import BarsOverTime, Content, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedCounts, BoundedMap
from mimosapoint_cli.report.sections.core import Section, page_section
from mimosapoint_cli.report.time_bins import TimeBins, TimeSeries

__all__ = ["Capacity"]

SECONDS_PER_HOUR = 3600

GANG_SAVED = "gang requeued, work saved"
USEFUL_ENDS = ("done", "gang Succeeded", GANG_SAVED)

LOSSES = (
    "worker-silent",
    "worker-missing",
    "worker-lost",
    "worker-reborn",
    "worker-replaced",
    "worker-draining",
    "worker-put-aside",
    "worker-slow",
    "zone-withdrawn",
)


@attrs.define
class _OpenRun:
    started_at: float
    tasks: int


@page_section(
    "capacity",
    "Capacity used and lost",
    position=50,
    events=(
        "unit-started",
        "run-over",
        "job-started",
        "job-requeued",
        "job-ended",
        *LOSSES,
    ),
    metrics=("cell_runs_over_total",),
)
class Capacity(Section):
    """Running tasks, the work of runs by how they ended, and lost workers."""

    def __init__(self) -> None:
        self._open_runs = BoundedMap()
        self._changes = TimeBins()
        self._work = TimeBins()
        self._seconds_by_end = BoundedCounts(30)
        self._runs_by_end = BoundedCounts(30)
        self._unmatched = 0
        self._losses = TimeBins()
        self._loss_counts = BoundedCounts()
        self._assignments_by_loss = BoundedCounts()
        self._lost_workers = BoundedCounts(None)

    def add(self, line: LogLine) -> None:
        """Add a start, an end or a loss."""
        if line.event in LOSSES:
            self._add_loss(line)
        elif line.event == "unit-started":
            self._open(line.time, ("run", line.text("run")), int(line.number("tasks") or 1))
        elif line.event == "run-over":
            end = line.text("end")
            self._runs_by_end.add(end)
            if not self._close(line.time, ("run", line.text("run")), end):
                self._unmatched += 1
        elif line.event == "job-started":
            self._open(line.time, ("job", line.text("job")), 1)
        else:
            self._close(line.time, ("job", line.text("job")), _gang_end(line))

    def _open(self, time: float, key: tuple[str, str], tasks: int) -> None:
        replaced = self._open_runs.put(key, _OpenRun(time, tasks))
        self._changes.add(time, "running", tasks - (replaced.tasks if replaced else 0))

    def _close(self, time: float, key: tuple[str, str], end: str) -> bool:
        """Add the end of one task; return whether its start is known."""
        run = self._open_runs.get(key)
        if run is None:
            return False
        seconds = max(0.0, time - run.started_at)
        self._changes.add(time, "running", -1)
        self._work.add(time, end, seconds / SECONDS_PER_HOUR)
        self._seconds_by_end.add(end, seconds)
        run.tasks -= 1
        if run.tasks <= 0:
            self._open_runs.remove(key)
        return True

    def _add_loss(self, line: LogLine) -> None:
        assignments = line.number("assignments") or 0
        self._losses.add(line.time, line.event)
        self._loss_counts.add(line.event)
        self._assignments_by_loss.add(line.event, assignments)
        if line.event != "zone-withdrawn":
            self._lost_workers.add(line.text("worker"))

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the work done and the number of workers lost."""
        seconds_by_end = self._seconds_by_end.counts_by_key
        useful = sum(seconds_by_end.get(end, 0.0) for end in USEFUL_ENDS)
        lost = self._seconds_by_end.total - useful
        yield "work of runs that were done or saved", f"{_hours(useful)} task-hours"
        yield "work of runs that ended otherwise", f"{_hours(lost)} task-hours"
        yield "workers that were lost, slow or draining", f"{len(self._lost_workers):,}"

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return running tasks, work by end and losses of workers."""
        yield BarsOverTime(
            "Tasks and gangs running at the end of each interval, if their start is in the logs",
            "tasks and gangs",
            _levels(self._changes.series()),
            is_level=True,
        )
        yield BarsOverTime(
            "Work of the runs that ended in an interval, by how they ended",
            "task-hours per interval",
            self._work.series(),
        )
        if self._unmatched:
            yield (
                f"Of {self._unmatched:,} ended runs the start is not in the logs; their work is "
                "not counted."
            )
        yield Table(
            "Runs by how they ended",
            ("end", "tasks", "task-hours"),
            list(self._end_rows()),
        )
        yield BarsOverTime(
            "Workers lost, slow or draining", "events per interval", self._losses.series()
        )
        rows = [
            (event, f"{count:,.0f}", f"{self._assignments_by_loss.counts_by_key[event]:,.0f}")
            for event, count in self._loss_counts.largest()
        ]
        yield Table("Losses of capacity", ("event", "events", "tasks running there"), rows)
        totals = metrics.totals("cell_runs_over_total", "end")
        if totals:
            yield Table(
                "Runs by how they ended, from the metrics",
                ("end", "tasks"),
                [(*key, f"{count:,.0f}") for key, count in sorted(totals.items())],
            )

    def _end_rows(self) -> Iterable[tuple[str, str, str]]:
        seconds_by_end = self._seconds_by_end.counts_by_key
        for end, count in self._runs_by_end.largest():
            yield end, f"{count:,.0f}", _hours(seconds_by_end.get(end, 0.0))
        for end, seconds in self._seconds_by_end.largest():
            if end not in self._runs_by_end.counts_by_key:
                yield end, "", _hours(seconds)


def _gang_end(line: LogLine) -> str:
    """Return how the run of a whole gang ended, in the zone form."""
    if line.event == "job-ended":
        return f"gang {line.text('outcome')}"
    return GANG_SAVED if line.text("kept") == "true" else "gang requeued, work lost"


def _hours(seconds: float) -> str:
    hours = seconds / SECONDS_PER_HOUR
    return f"{hours:,.0f}" if hours >= 100 else f"{hours:.3g}"


def _levels(changes: TimeSeries) -> TimeSeries:
    """Return the sums of changes up to the end of each interval."""
    levels = {name: list(accumulate(v)) for name, v in changes.values_by_series.items()}
    return TimeSeries(changes.starts, changes.width, levels)
