"""Sums over intervals of time that widen as the time that they cover grows."""

from collections.abc import Callable

import attrs

__all__ = ["MOST_BINS", "TimeBins", "TimeSeries"]

MOST_BINS = 400
"""Most intervals between the first and the last: a day has 288 of five minutes."""

MOST_SERIES = 12
OTHER = "other"

WIDTHS_SECONDS = (1, 5, 10, 30, 60, 300, 600, 1800, 3600, 10800, 21600, 43200, 86400)
"""Widths of an interval; each is a multiple of the one before, so that intervals can be merged."""


@attrs.frozen
class TimeSeries:
    """Values in intervals of equal width without gaps.

    :param starts: start of each interval, seconds since 1970.
    :param width: width of an interval in seconds.
    :param values_by_series: values of each series, one for each interval.
    """

    starts: list[float]
    width: float
    values_by_series: dict[str, list[float]]


@attrs.define
class TimeBins:
    """Values by interval and series.

    At most ``MOST_BINS`` intervals times ``MOST_SERIES`` series are kept: a time that lies further
    away widens all intervals, and further series are added to ``other``.

    :param combine: how two values of an interval are combined.
    :param most_series: most series in addition to ``other``.
    """

    combine: Callable[[float, float], float] = float.__add__
    most_series: int = MOST_SERIES
    _width_index: int = 0
    _first: int | None = None
    _last: int | None = None
    _values_by_key: dict[tuple[int, str], float] = attrs.field(factory=dict)
    _series: dict[str, None] = attrs.field(factory=dict)

    def add(self, time: float, series: str, value: float = 1.0) -> None:
        """Combine a value with that of its interval.

        :param time: seconds since 1970.
        """
        if series not in self._series:
            if len(self._series) < self.most_series:
                self._series[series] = None
            else:
                series = OTHER
        index = int(time // self.width)
        self._cover(index)
        while self._last - self._first >= MOST_BINS:
            self._widen()
        self._combine(self._values_by_key, (int(time // self.width), series), float(value))

    @property
    def width(self) -> float:
        """Width of an interval in seconds."""
        last = len(WIDTHS_SECONDS) - 1
        return WIDTHS_SECONDS[min(self._width_index, last)] * 2 ** max(0, self._width_index - last)

    def series(self, absent: float = 0.0) -> TimeSeries:
        """Return the values, the series with the largest sum first.

        :param absent: value of an interval to which nothing was added.
        """
        if self._first is None:
            return TimeSeries([], self.width, {})
        sums_by_series: dict[str, float] = {}
        for (_, name), value in self._values_by_key.items():
            sums_by_series[name] = sums_by_series.get(name, 0.0) + value
        names = sorted(sums_by_series, key=lambda name: (name == OTHER, -sums_by_series[name]))
        indices = range(self._first, self._last + 1)
        return TimeSeries(
            [index * self.width for index in indices],
            self.width,
            {name: [self._values_by_key.get((i, name), absent) for i in indices] for name in names},
        )

    def _cover(self, index: int) -> None:
        self._first = index if self._first is None else min(index, self._first)
        self._last = index if self._last is None else max(index, self._last)

    def _widen(self) -> None:
        before = self.width
        self._width_index += 1
        factor = int(self.width // before)
        merged: dict[tuple[int, str], float] = {}
        for (index, series), value in self._values_by_key.items():
            self._combine(merged, (index // factor, series), value)
        self._values_by_key = merged
        self._first //= factor
        self._last //= factor

    def _combine(
        self, values_by_key: dict[tuple[int, str], float], key: tuple[int, str], value: float
    ) -> None:
        known = values_by_key.get(key)
        values_by_key[key] = value if known is None else self.combine(known, value)
