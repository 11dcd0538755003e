"""Waiting time by class."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import Content, Distribution, HeatMap, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import Histogram, MetricTotals
from mimosapoint_cli.report.samples import BoundedMap, Sample
from mimosapoint_cli.report.sections.core import Section, format_seconds, page_section
from mimosapoint_cli.report.time_bins import TimeBins

__all__ = ["WaitingTimes", "histogram_table"]

MOST_CLASSES = 12
UNKNOWN = "class unknown"


@page_section(
    "waiting",
    "Waiting time by class",
    position=40,
    events=("job-known", "unit-started", "job-ended"),
    metrics=("cell_wait_seconds", "start_seconds", "completion_seconds"),
)
class WaitingTimes(Section):
    """Time from a unit's turn to its start, and from acceptance to the outcome of jobs."""

    def __init__(self) -> None:
        self._classes_by_job = BoundedMap()
        self._waits_by_class: dict[str, Sample] = {}
        self._longest = TimeBins(combine=max)
        self._durations_by_outcome: dict[str, Sample] = {}

    def add(self, line: LogLine) -> None:
        """Add the class of a job, a start or an outcome."""
        job = line.text("job")
        if line.event == "job-known":
            self._classes_by_job.put(job, f"priority {line.text('priority')}")
        elif line.event == "unit-started":
            waited = line.number("waited")
            if waited is not None:
                job_class = self._classes_by_job.get(job) or UNKNOWN
                _sample(self._waits_by_class, job_class).add(waited)
                self._longest.add(line.time, job_class, waited)
        else:
            seconds = line.number("seconds")
            self._classes_by_job.remove(job)
            if seconds is not None:
                outcome = line.text("phase", line.text("outcome"))
                _sample(self._durations_by_outcome, outcome).add(seconds)

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the number of starts and the longest wait."""
        samples = self._waits_by_class.values()
        if samples:
            yield "units started", f"{sum(sample.count for sample in samples):,}"
            longest = max(sample.largest for sample in samples)
            yield "longest wait of a unit for its start", format_seconds(longest)

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return waits by class and durations by outcome."""
        if UNKNOWN in self._waits_by_class:
            yield (
                "A start names no class: it comes from the event job-known of the job, which the "
                "logs of some starts lack."
            )
        waits = dict(sorted(self._waits_by_class.items()))
        yield Distribution(
            "Share of units that waited at most so long",
            "seconds from a unit's turn to its start",
            {name: sample.sorted_values() for name, sample in waits.items()},
        )
        yield HeatMap(
            "Longest wait of units that started in an interval, by class",
            "seconds",
            self._longest.series(absent=float("nan")),
        )
        yield _sample_table("Waits of units by class", "class", waits)
        yield _sample_table(
            "Time from acceptance to the outcome of jobs", "outcome", self._durations_by_outcome
        )
        for title, name, label in (
            ("Waits of units by class, from the metrics", "cell_wait_seconds", "priority"),
            ("Time to the start of jobs, from the metrics", "start_seconds", "job_class"),
            ("Time to the outcome of jobs, from the metrics", "completion_seconds", "job_class"),
        ):
            histograms = metrics.histograms(name, label)
            if histograms:
                yield histogram_table(title, label.replace("_", " "), histograms)


def histogram_table(
    title: str, header: str, histograms_by_key: dict[tuple[str, ...], Histogram]
) -> Table:
    """Return a table of histograms of durations with one label."""
    rows = [
        (
            *key,
            f"{histogram.count:,.0f}",
            format_seconds(histogram.total / histogram.count) if histogram.count else "-",
            *(f"≤ {histogram.quantile(share):g} s" for share in (0.5, 0.95, 0.99)),
        )
        for key, histogram in histograms_by_key.items()
    ]
    headers = (header, "count", "mean", "median", "95th percentile", "99th percentile")
    return Table(title, headers, rows)


def _sample(samples_by_key: dict[str, Sample], key: str) -> Sample:
    if key not in samples_by_key and len(samples_by_key) >= MOST_CLASSES:
        key = "other"
    return samples_by_key.setdefault(key, Sample())


def _sample_table(title: str, header: str, samples_by_key: dict[str, Sample]) -> Table:
    rows = [
        (
            name,
            f"{sample.count:,}",
            format_seconds(sample.total / sample.count),
            *(format_seconds(sample.quantile(share)) for share in (0.5, 0.95, 0.99)),
            format_seconds(sample.largest),
        )
        for name, sample in sorted(samples_by_key.items())
    ]
    headers = (header, "count", "mean", "median", "95th percentile", "99th percentile", "longest")
    return Table(title, headers, rows)
