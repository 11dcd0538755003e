"""What a section shows: tables and plots, described without the library that draws them."""

from collections.abc import Sequence
from typing import Any

import attrs

from mimosapoint_cli.report.time_bins import TimeSeries

__all__ = [
    "BarsOverTime",
    "Content",
    "Distribution",
    "HeatMap",
    "Marks",
    "Plot",
    "Table",
]


@attrs.frozen
class Table:
    """Rows below a line of headers.

    :param empty: text that stands for a table without rows.
    """

    title: str
    headers: Sequence[str]
    rows: Sequence[Sequence[Any]]
    empty: str = "none"


@attrs.frozen
class BarsOverTime:
    """Stacked bars, one for each interval.

    :param unit: label of the vertical axis, with the unit.
    :param is_level: the values last, so that the last ones hold until the end of the period.
    """

    title: str
    unit: str
    series: TimeSeries
    is_level: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to draw."""
        return not any(map(any, self.series.values_by_series.values()))


@attrs.frozen
class HeatMap:
    """A row for each series and a column for each interval.

    :param unit: label of the colours, with the unit.
    """

    title: str
    unit: str
    series: TimeSeries

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to draw."""
        return not self.series.values_by_series


@attrs.frozen
class Distribution:
    """Share of values that are at most as large, for each series.

    :param unit: label of the horizontal axis, with the unit.
    :param values_by_series: ascending values.
    """

    title: str
    unit: str
    values_by_series: dict[str, Sequence[float]]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to draw."""
        return not self.values_by_series


@attrs.frozen
class Marks:
    """Marks at times, in a row for each node.

    :param marks: time in seconds since 1970, row and series of each.
    """

    title: str
    marks: Sequence[tuple[float, str, str]]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to draw."""
        return not self.marks


Plot = BarsOverTime | HeatMap | Distribution | Marks
Content = Table | Plot | str
"""A string is a paragraph."""
