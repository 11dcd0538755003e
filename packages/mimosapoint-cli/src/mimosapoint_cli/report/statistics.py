"""Statistics of a day."""

import attrs
from mimosapoint.telemetry import events_by_name

from mimosapoint_cli.report.errors import BrokenLine
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.reader import LineReader, Record
from mimosapoint_cli.report.samples import BoundedCounts
from mimosapoint_cli.report.sections import Section, section_types_by_name

__all__ = ["DayStatistics", "collect_statistics"]


def _make_sections() -> dict[str, Section]:
    types = sorted(section_types_by_name.items(), key=lambda item: item[1].position)
    return {name: section_type() for name, section_type in types}


@attrs.define
class DayStatistics:
    """Statistics of the logs and metrics of nodes.

    Memory is bounded by constants of its parts, whatever the number and the content of lines.

    :ivar first_time: earliest time in seconds since 1970, ``None`` without events.
    :ivar last_time: latest time.
    :ivar lines_dropped: lines that nodes dropped because the reader of their log was too slow.
    """

    sections_by_name: dict[str, Section] = attrs.field(factory=_make_sections)
    events: BoundedCounts = attrs.field(factory=BoundedCounts)
    nodes: BoundedCounts = attrs.field(factory=lambda: BoundedCounts(None))
    first_time: float | None = None
    last_time: float | None = None
    lines_dropped: int = 0
    metrics: MetricTotals = attrs.field(init=False)
    _sections_by_event: dict[str, list[Section]] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        sections = self.sections_by_name.values()
        families = (name for section in sections for name in section.metrics)
        self.metrics = MetricTotals(frozenset(families))
        for section in sections:
            for event in section.events:
                self._sections_by_event.setdefault(event, []).append(section)

    def add(self, record: Record) -> None:
        """Add a line.

        :raises BrokenLine: a field is malformed.
        """
        if isinstance(record.item, LogLine):
            self._add_event(record.item)
        else:
            self.metrics.add(record.node, record.item)

    def undeclared_events(self) -> list[str]:
        """Return the names of events that this version of the program does not declare."""
        return sorted(set(self.events.counts_by_key) - set(events_by_name))

    def _add_event(self, line: LogLine) -> None:
        if line.event == "log-lines-dropped":
            self.lines_dropped += int(line.number("count") or 0)
        for section in self._sections_by_event.get(line.event, ()):
            section.add(line)
        self.events.add(line.event)
        self.nodes.add(line.node)
        if self.first_time is None:
            self.first_time = self.last_time = line.time
        self.first_time = min(self.first_time, line.time)
        self.last_time = max(self.last_time, line.time)


def collect_statistics(reader: LineReader) -> DayStatistics:
    """Read all lines and return their statistics.

    :raises InputUnreadable: a file cannot be read.
    """
    statistics = DayStatistics()
    for record in reader.records():
        try:
            statistics.add(record)
        except BrokenLine as error:
            event = record.item.event if isinstance(record.item, LogLine) else record.item.name
            reader.broken.add(record.place, error.reason, event)
    return statistics
