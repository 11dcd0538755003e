"""Limit of concurrent starts, adapted to the lag of the owner's timers."""

from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Telemetry

__all__ = ["StartLimiter"]


class StartLimiter:
    """Adaptive limit of concurrent starts.

    On an overloaded node, a gang fails if its tasks start seconds apart, and the owner loses the
    cell if it renews its ownership late. A late timer indicates a shortage of processor time, so
    the limit is halved whenever a timer is late, and otherwise grows by a fixed step.

    :param settings: limits and intervals.
    :param telemetry: receives the lag and an event when limiting begins or ends.
    """

    def __init__(self, settings: CellSettings, telemetry: Telemetry):
        self._settings = settings
        self._telemetry = telemetry
        self._limit = settings.max_concurrent_starts
        self._in_flight = 0
        self._has_deferred = False

    def record_lag(self, lag: float) -> None:
        """Adapt the limit to the lag of a timer.

        :param lag: lag in seconds.
        """
        self._telemetry.observe("cell_timer_lag_seconds", lag)
        previous_limit = self._limit
        if lag > self._settings.lag_limit.total_seconds():
            self._limit = max(self._settings.min_concurrent_starts, self._limit // 2)
        else:
            self._limit = min(
                self._settings.max_concurrent_starts,
                self._limit + self._settings.concurrent_starts_step,
            )
        was_at_maximum = previous_limit == self._settings.max_concurrent_starts
        if was_at_maximum != (self._limit == self._settings.max_concurrent_starts):
            self._telemetry.event(
                "starts-limited" if was_at_maximum else "starts-unlimited",
                window=self._limit,
                under_way=self._in_flight,
                lag=round(lag, 3),
            )

    @property
    def is_at_maximum(self) -> bool:
        """Whether the limit is at its maximum."""
        return self._limit == self._settings.max_concurrent_starts

    def admits(self, starts: int, planned: int = 0) -> bool:
        """Return whether more starts may begin now.

        A gang of any size may begin if no other start is in flight or planned.

        :param starts: number of further starts.
        :param planned: number of starts that the same decision has chosen already.
        """
        in_flight = self._in_flight + planned
        admitted = not in_flight or in_flight + starts <= self._limit
        if not admitted:
            self._has_deferred = True
            self._telemetry.count("cell_starts_deferred")
        return admitted

    def add_started(self, starts: int) -> None:
        """Record that starts were ordered."""
        self._in_flight += starts

    def remove_finished(self) -> bool:
        """Record the end of a start; return whether starts were deferred since the last end."""
        self._in_flight -= 1
        had_deferred, self._has_deferred = self._has_deferred, False
        return had_deferred
