"""The command: reads logs and metrics and writes the page."""

import sys
from collections.abc import Sequence
from pathlib import Path

import attrs

from mimosapoint_cli.errors import UsageError
from mimosapoint_cli.report.errors import NothingToReport, ReportNotWritten
from mimosapoint_cli.report.page import render_page
from mimosapoint_cli.report.plots import Plotter
from mimosapoint_cli.report.reader import LineReader
from mimosapoint_cli.report.statistics import collect_statistics

__all__ = ["ReportSummary", "write_report"]


@attrs.frozen
class ReportSummary:
    """What was read.

    :param page: path of the page.
    :param first_broken: place and reason of the first broken line, empty without one.
    """

    page: str
    lines: int
    nodes: int
    events: int
    samples: int
    broken: int
    first_broken: str


def write_report(paths: Sequence[str], page: str) -> ReportSummary:
    """Read logs and metrics and write the page.

    :param paths: files; standard input when there are none.
    :raises InputUnreadable: a file cannot be read.
    :raises NothingToReport: there is neither an event nor a metric.
    :raises PlotLibraryMissing: matplotlib is not installed.
    :raises ReportNotWritten: the page cannot be written.
    :raises UsageError: no file is named, and standard input is a terminal.
    """
    if not paths and sys.stdin.isatty():
        raise UsageError("name log files, or pass logs on standard input")
    plotter = Plotter()
    reader = LineReader(paths)
    statistics = collect_statistics(reader)
    summary = ReportSummary(
        page=page,
        lines=reader.lines,
        nodes=len(statistics.nodes),
        events=int(statistics.events.total),
        samples=statistics.metrics.samples,
        broken=reader.broken.count,
        first_broken=": ".join(reader.broken.examples[0][:2]) if reader.broken.examples else "",
    )
    if not summary.events and not summary.samples:
        raise NothingToReport(*_explain_nothing(paths, summary))
    _write(page, render_page(reader, statistics, plotter))
    return summary


def _explain_nothing(paths: Sequence[str], summary: ReportSummary) -> tuple[str, tuple[str, ...]]:
    names = ", ".join(paths[:3]) + (", …" if len(paths) > 3 else "") or "standard input"
    if not summary.lines:
        return f"{names}: no lines", ()
    detail = f"{names}: neither events nor metrics in {summary.lines:,} lines"
    return detail, (f"first line: {summary.first_broken}",)


def _write(page: str, text: str) -> None:
    try:
        Path(page).write_text(text, encoding="utf-8", errors="replace")
    except OSError as error:
        raise ReportNotWritten(f"{page}: {error.strerror}") from error
