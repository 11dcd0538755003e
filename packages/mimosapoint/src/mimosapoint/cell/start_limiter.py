"""How many orders an owner has under way, bounded by how late its own timers are."""

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Telemetry

__all__ = ["StartLimiter"]


class StartLimiter:
    """The starts that may be under way at once.

    A gang whose members start seconds apart breaks, and renewals that come late lose the cell. So
    the window is halved whenever a timer of this process is late, which tells that processor is
    short, and grows by a step otherwise.

    :param settings: sizes and times.
    :param telemetry: told when starts begin and cease to be limited.
    """

    def __init__(self, settings: CellSettings, telemetry: Telemetry):
        self._settings = settings
        self._telemetry = telemetry
        self._limit = settings.max_concurrent_starts
        self._in_flight = 0
        self._deferred = False

    async def run(self) -> None:
        """Measure until cancelled."""
        tick = self._settings.lag_probe_interval.total_seconds()
        while True:
            due = trio.current_time() + tick
            await trio.sleep_until(due)
            self.record_lag(trio.current_time() - due)

    def record_lag(self, lag: float) -> None:
        """Adapt the window to the delay of a timer, in seconds."""
        self._telemetry.observe("cell_timer_lag_seconds", lag)
        before = self._limit
        if lag > self._settings.lag_limit.total_seconds():
            self._limit = max(self._settings.min_concurrent_starts, self._limit // 2)
        else:
            self._limit = min(
                self._settings.max_concurrent_starts,
                self._limit + self._settings.concurrent_starts_step,
            )
        was_full = before == self._settings.max_concurrent_starts
        if was_full != (self._limit == self._settings.max_concurrent_starts):
            self._telemetry.event(
                "starts-limited" if was_full else "starts-unlimited",
                window=self._limit,
                under_way=self._in_flight,
                lag=round(lag, 3),
            )

    @property
    def is_at_maximum(self) -> bool:
        """Whether the window is as wide as it gets."""
        return self._limit == self._settings.max_concurrent_starts

    def admits(self, starts: int, planned: int = 0) -> bool:
        """Tell whether so many starts may begin now; a single gang of any size may.

        :param planned: starts that the same decision has chosen already.
        """
        before = self._in_flight + planned
        admitted = not before or before + starts <= self._limit
        if not admitted:
            self._deferred = True
            self._telemetry.count("cell_starts_deferred")
        return admitted

    def add_started(self, starts: int) -> None:
        """Note that so many starts were ordered."""
        self._in_flight += starts

    def remove_finished(self) -> bool:
        """Note that a start was answered or given up; tell whether others wait for that."""
        self._in_flight -= 1
        waited, self._deferred = self._deferred, False
        return waited
