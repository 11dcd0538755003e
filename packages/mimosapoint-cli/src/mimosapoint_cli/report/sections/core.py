"""Registry of the sections of the page."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from datetime import datetime, timezone
from typing import ClassVar, TypeVar

from mimosapoint_cli.report.figures import Content
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals

__all__ = ["Section", "format_seconds", "format_time", "page_section", "section_types_by_name"]


class Section(ABC):
    """Statistics of some events, and how the page shows them.

    Memory must be bounded whatever the lines contain: use :mod:`mimosapoint_cli.report.samples`
    and :mod:`mimosapoint_cli.report.time_bins`, and fields of lines through
    :meth:`~mimosapoint_cli.report.log_lines.LogLine.text`, which shortens them.

    :cvar title: heading.
    :cvar position: sections appear in ascending order of it.
    :cvar events: events that are passed to :meth:`add`.
    :cvar metrics: metrics that are kept, names without prefix.
    """

    title: ClassVar[str]
    position: ClassVar[int]
    events: ClassVar[frozenset[str]]
    metrics: ClassVar[frozenset[str]]

    @abstractmethod
    def add(self, line: LogLine) -> None:
        """Add an event.

        :raises BrokenLine: a field is malformed; nothing was added.
        """

    @abstractmethod
    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return what the section shows."""

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return labels and values for the beginning of the page."""
        return ()


section_types_by_name: dict[str, type[Section]] = {}

SectionType = TypeVar("SectionType", bound=type[Section])


def page_section(
    name: str,
    title: str,
    position: int,
    events: Iterable[str] = (),
    metrics: Iterable[str] = (),
) -> Callable[[SectionType], SectionType]:
    """Register a section.

    :param name: anchor of the section in the page.
    :param position: sections appear in ascending order of it.
    :raises ValueError: the name is registered already.
    """

    def register(section_type: SectionType) -> SectionType:
        if name in section_types_by_name:
            raise ValueError(f"the section {name} is registered twice")
        section_type.title = title
        section_type.position = position
        section_type.events = frozenset(events)
        section_type.metrics = frozenset(metrics)
        section_types_by_name[name] = section_type
        return section_type

    return register


def format_time(time: float) -> str:
    """Return a time, seconds since 1970, as text in UTC."""
    return datetime.fromtimestamp(time, timezone.utc).strftime("%Y-%m-%d %H:%M:%S")


def format_seconds(seconds: float) -> str:
    """Return a duration with three significant digits."""
    return f"{seconds:,.0f} s" if seconds >= 100 else f"{seconds:.3g} s"
