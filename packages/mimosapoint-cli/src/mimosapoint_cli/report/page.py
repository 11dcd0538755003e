"""The page in HTML; everything that comes from logs is escaped."""

from collections.abc import Iterable, Sequence
from html import escape
from typing import Any

from mimosapoint_cli.report.figures import Content, Plot, Table
from mimosapoint_cli.report.plots import Plotter
from mimosapoint_cli.report.reader import BrokenLines, LineReader
from mimosapoint_cli.report.sections.core import format_time
from mimosapoint_cli.report.statistics import DayStatistics

__all__ = ["render_page"]

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 68em; padding: 0 1em; }
h2 { border-bottom: 1px solid #ccc; margin-top: 2em; }
h3 { margin-bottom: .3em; }
table { border-collapse: collapse; margin: .3em 0 1em; font-size: 14px; }
td, th { border: 1px solid #ddd; padding: .2em .6em; text-align: left; vertical-align: top; }
td { overflow-wrap: anywhere; }
th { background: #f2f2f2; }
td.number { text-align: right; white-space: nowrap; }
figure { margin: .5em 0 1em; }
figure svg { width: 100%; height: auto; }
nav a { margin-right: 1em; }
.empty { color: #666; }
"""


def render_page(reader: LineReader, statistics: DayStatistics, plotter: Plotter) -> str:
    """Return the page of a day as one self-contained HTML document."""
    if statistics.first_time is not None:
        plotter.set_period(statistics.first_time, statistics.last_time)
    sections = statistics.sections_by_name
    anchors = {**{name: section.title for name, section in sections.items()}, "input": "Input"}
    parts = [_heading(statistics), _navigation(anchors), _highlights(statistics)]
    for name, section in sections.items():
        parts.append(f'<h2 id="{name}">{escape(section.title)}</h2>')
        parts += [_content(item, plotter) for item in section.contents(statistics.metrics)]
    parts.append('<h2 id="input">Input</h2>')
    parts += [_content(item, plotter) for item in _input_contents(reader, statistics)]
    body = "\n".join(parts)
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>mimosapoint: report</title>\n<style>{STYLE}</style>\n</head>\n"
        f"<body>\n{body}\n</body>\n</html>\n"
    )


def _heading(statistics: DayStatistics) -> str:
    if statistics.first_time is None:
        return "<h1>Report from metrics</h1>"
    first, last = format_time(statistics.first_time), format_time(statistics.last_time)
    return f"<h1>Report of {first} to {last} UTC</h1>"


def _navigation(titles_by_anchor: dict[str, str]) -> str:
    links = (f'<a href="#{name}">{escape(t)}</a>' for name, t in titles_by_anchor.items())
    return f"<nav>{' '.join(links)}</nav>"


def _highlights(statistics: DayStatistics) -> str:
    rows = [
        row
        for section in statistics.sections_by_name.values()
        for row in section.highlights(statistics.metrics)
    ]
    return _table(Table("At a glance", ("", "value"), rows))


def _input_contents(reader: LineReader, statistics: DayStatistics) -> Iterable[Content]:
    broken = reader.broken
    yield (
        f"{reader.lines:,} lines: {statistics.events.total:,.0f} events of "
        f"{len(statistics.nodes):,} nodes, {statistics.metrics.samples:,} samples of metrics, "
        f"{broken.count:,} broken lines. Nodes dropped {statistics.lines_dropped:,} lines because "
        "their logs were read too slowly."
    )
    if statistics.metrics.dropped:
        yield f"{statistics.metrics.dropped:,} samples of metrics had too many series to be kept."
    undeclared = statistics.undeclared_events()
    if undeclared:
        yield f"Events that this version does not know: {', '.join(undeclared)}."
    yield from _broken_contents(broken)
    rows = [(event, f"{count:,.0f}") for event, count in statistics.events.largest(40)]
    yield Table("Most frequent events", ("event", "lines"), rows)


def _broken_contents(broken: BrokenLines) -> Iterable[Content]:
    if not broken.count:
        return
    reasons = [(reason, f"{count:,.0f}") for reason, count in broken.counts_by_reason.largest(20)]
    yield Table("Broken lines by reason", ("reason", "lines"), reasons)
    files = [(name, f"{count:,.0f}") for name, count in broken.counts_by_file.largest(20)]
    yield Table("Broken lines by file", ("file", "lines"), files)
    yield Table("First broken lines", ("place", "reason", "begins with"), broken.examples)


def _content(item: Content, plotter: Plotter) -> str:
    if isinstance(item, str):
        return f"<p>{escape(item)}</p>"
    if isinstance(item, Table):
        return _table(item)
    return _plot(item, plotter)


def _plot(plot: Plot, plotter: Plotter) -> str:
    if plot.is_empty:
        return f'<h3>{escape(plot.title)}</h3>\n<p class="empty">none</p>'
    return f"<h3>{escape(plot.title)}</h3>\n<figure>{plotter.draw(plot)}</figure>"


def _table(table: Table) -> str:
    heading = f"<h3>{escape(table.title)}</h3>"
    if not table.rows:
        return f'{heading}\n<p class="empty">{escape(table.empty)}</p>'
    headers = "".join(f"<th>{escape(header)}</th>" for header in table.headers)
    rows = "\n".join(_row(row) for row in table.rows)
    return f"{heading}\n<table>\n<tr>{headers}</tr>\n{rows}\n</table>"


def _row(row: Sequence[Any]) -> str:
    return f"<tr>{''.join(map(_cell, row))}</tr>"


def _cell(value: Any) -> str:
    text = str(value)
    is_number = text.replace(",", "").replace(".", "").isdigit()
    attribute = ' class="number"' if is_number else ""
    return f"<td{attribute}>{escape(text)}</td>"
