"""Plots as SVG, drawn by matplotlib."""

import math
import re
import warnings
from collections.abc import Callable
from datetime import datetime, timezone
from io import StringIO
from typing import Any

from mimosapoint_cli.report.errors import PlotLibraryMissing
from mimosapoint_cli.report.figures import BarsOverTime, Distribution, HeatMap, Marks, Plot

__all__ = ["Plotter", "plain_label"]

WIDTH_INCHES = 10.0
HEIGHT_INCHES = 2.8
ROW_INCHES = 0.19
LEFT, RIGHT = 0.19, 0.77
"""Horizontal margins as shares of the width, the same for all plots so that times align."""

BOTTOM_INCHES, TOP_INCHES = 0.5, 0.15
LABEL_CHARACTERS = 28
COLOURS = (
    "#c1272d",
    "#0000a7",
    "#eecc16",
    "#008176",
    "#b3b3b3",
    "#9467bd",
    "#ff7f0e",
    "#17becf",
    "#8c564b",
    "#e377c2",
    "#bcbd22",
    "#1f77b4",
    "#444444",
)
SETTINGS = {
    "svg.fonttype": "none",
    "svg.hashsalt": "mimosapoint",
    "font.size": 9,
    "text.parse_math": False,
    "axes.spines.top": False,
    "axes.spines.right": False,
}
MARKERS = "o^vsDPX*<>hd8"
IDENTIFIER = re.compile(r'(\bid="|url\(#|href="#)')
SMALLEST_WAIT_DRAWN_SECONDS = 0.001


def plain_label(text: str) -> str:
    """Return text from a log as a label: without control characters, shortened in the middle."""
    text = "".join(character if character.isprintable() else "�" for character in text)
    if text.startswith("_"):
        text = f" {text}"  # matplotlib leaves labels with this character out of a legend
    if len(text) <= LABEL_CHARACTERS:
        return text
    half = LABEL_CHARACTERS // 2
    return f"{text[:half]}…{text[1 - half:]}"


class Plotter:
    """Draws plots that share a period of time.

    :raises PlotLibraryMissing: matplotlib is not installed.
    """

    def __init__(self) -> None:
        try:
            import matplotlib
            import matplotlib.dates
            import matplotlib.figure
        except ImportError as error:
            raise PlotLibraryMissing(
                f"plots need the extra `report` of mimosapoint-cli: {error}",
                ("pip install 'mimosapoint-cli[report]'",),
            ) from error
        self._matplotlib = matplotlib
        self._period: tuple[float, float] | None = None
        self._drawn = 0

    def set_period(self, first_time: float, last_time: float) -> None:
        """Set the period that all plots over time show, in seconds since 1970."""
        self._period = (first_time, max(last_time, first_time + 1))

    def draw(self, plot: Plot) -> str:
        """Return a plot as an SVG element."""
        with self._matplotlib.rc_context(SETTINGS), warnings.catch_warnings():
            warnings.filterwarnings("ignore", message="Glyph .* missing")
            figure = self._matplotlib.figure.Figure()
            DRAWERS_BY_TYPE[type(plot)](self, figure, plot)
            file = StringIO()
            figure.savefig(file, format="svg", metadata={"Date": None, "Creator": None})
        return self._with_own_identifiers(file.getvalue())

    def _with_own_identifiers(self, svg: str) -> str:
        """Return the element without XML header, its ids distinct from those of other plots."""
        self._drawn += 1
        element = svg[svg.index("<svg") :]
        return IDENTIFIER.sub(rf"\g<1>plot{self._drawn}-", element)

    def _draw_bars(self, figure: Any, plot: BarsOverTime) -> None:
        axes = _axes(figure, HEIGHT_INCHES)
        starts, width = plot.series.starts, plot.series.width
        end = starts[-1] + width
        if plot.is_level and self._period is not None:
            end = max(end, self._period[1])
        edges = [_moment(time) for time in (*starts, end)]
        bottoms = [0.0] * len(edges)
        for (name, values), colour in zip(plot.series.values_by_series.items(), COLOURS):
            # One area for each series; a rectangle for each bar takes several times as long.
            tops = [bottom + value for bottom, value in zip(bottoms, (*values, values[-1]))]
            label = plain_label(name)
            axes.fill_between(edges, bottoms, tops, step="post", label=label, color=colour, lw=0)
            bottoms = tops
        axes.set_ylim(bottom=0)
        axes.set_ylabel(plot.unit)
        self._finish_time_axis(axes, width)
        _add_legend(axes)

    def _draw_heat_map(self, figure: Any, plot: HeatMap) -> None:
        rows = plot.series.values_by_series
        axes = _axes(figure, 0.8 + ROW_INCHES * len(rows))
        starts, width = plot.series.starts, plot.series.width
        edges = [_moment(start) for start in (*starts, starts[-1] + width)]
        # As an image: a path for each cell would make the page several times as large.
        mesh = axes.pcolormesh(
            edges,
            range(len(rows) + 1),
            list(rows.values()),
            cmap="inferno_r",
            vmin=0,
            rasterized=True,
        )
        axes.set_yticks([row + 0.5 for row in range(len(rows))], map(plain_label, rows))
        axes.invert_yaxis()
        axes.set_facecolor("#f2f2f2")
        place = axes.get_position()
        colours = figure.add_axes((RIGHT + 0.02, place.y0, 0.015, place.height))
        figure.colorbar(mesh, cax=colours, label=plot.unit)
        self._finish_time_axis(axes, width)

    def _draw_distribution(self, figure: Any, plot: Distribution) -> None:
        axes = _axes(figure, HEIGHT_INCHES)
        for (name, values), colour in zip(plot.values_by_series.items(), COLOURS):
            shares = [(index + 1) / len(values) for index in range(len(values))]
            shown = [max(value, SMALLEST_WAIT_DRAWN_SECONDS) for value in values]
            axes.step(shown, shares, where="post", label=plain_label(name), color=colour)
        shown = [value for values in plot.values_by_series.values() for value in values]
        axes.set_xscale("log")
        axes.set_xlim(*_decades(min(shown), max(shown)))
        axes.xaxis.set_major_formatter("{x:g}")
        axes.xaxis.set_minor_formatter("")
        axes.set_ylim(0, 1.02)
        axes.set_xlabel(plot.unit)
        axes.set_ylabel("share")
        axes.grid(alpha=0.3)
        _add_legend(axes)

    def _draw_marks(self, figure: Any, plot: Marks) -> None:
        rows = sorted({row for _, row, _ in plot.marks})
        axes = _axes(figure, max(1.8, 0.8 + 1.5 * ROW_INCHES * len(rows)))
        series = list(dict.fromkeys(name for _, _, name in plot.marks))
        for name, colour, marker in zip(series, COLOURS, MARKERS):
            marks = [(_moment(time), rows.index(row)) for time, row, n in plot.marks if n == name]
            times, places = zip(*marks)
            label = plain_label(name)
            axes.scatter(times, places, label=label, color=colour, marker=marker, alpha=0.8)
        axes.set_yticks(range(len(rows)), map(plain_label, rows))
        axes.set_ylim(len(rows) - 0.5, -0.5)
        axes.grid(alpha=0.3)
        self._finish_time_axis(axes, None)
        _add_legend(axes)

    def _finish_time_axis(self, axes: Any, width: float | None) -> None:
        dates = self._matplotlib.dates
        locator = dates.AutoDateLocator()
        formatter = dates.ConciseDateFormatter(locator)
        formatter.formats[4:] = ["%H:%M", "%H:%M:%S"]
        formatter.zero_formats[5] = "%H:%M:%S"
        axes.xaxis.set_major_locator(locator)
        axes.xaxis.set_major_formatter(formatter)
        interval = f", intervals of {_format_width(width)}" if width else ""
        axes.set_xlabel(f"time (UTC){interval}")
        if self._period is not None:
            axes.set_xlim(*map(_moment, self._period))


def _axes(figure: Any, height: float) -> Any:
    """Return axes with the common margins in a figure of a height in inches."""
    figure.set_size_inches(WIDTH_INCHES, height)
    bottom, top = BOTTOM_INCHES / height, 1 - TOP_INCHES / height
    return figure.add_axes((LEFT, bottom, RIGHT - LEFT, top - bottom))


def _decades(smallest: float, largest: float) -> tuple[float, float]:
    """Return the powers of ten around positive values."""
    smallest, largest = (max(v, SMALLEST_WAIT_DRAWN_SECONDS) for v in (smallest, largest))
    return 10.0 ** math.floor(math.log10(smallest)), 10.0 ** (math.floor(math.log10(largest)) + 1)


def _add_legend(axes: Any) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)


def _moment(time: float) -> datetime:
    return datetime.fromtimestamp(time, timezone.utc)


def _format_width(seconds: float) -> str:
    for unit, length in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= length:
            return f"{seconds / length:g} {unit}"
    return f"{seconds:g} s"


DRAWERS_BY_TYPE: dict[type, Callable[[Plotter, Any, Any], None]] = {
    BarsOverTime: Plotter._draw_bars,
    HeatMap: Plotter._draw_heat_map,
    Distribution: Plotter._draw_distribution,
    Marks: Plotter._draw_marks,
}
