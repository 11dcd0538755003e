"""Measurement of how late the timers of this process are."""

from datetime import timedelta

import trio

from mimosapoint.cell.start_limiter import StartLimiter

__all__ = ["probe_timer_lag"]


async def probe_timer_lag(limiter: StartLimiter, interval: timedelta) -> None:
    """Measure the lag of a timer periodically and adapt the limiter to it, until cancelled.

    :param limiter: limiter of concurrent starts.
    :param interval: time between two measurements.
    """
    while True:
        due = trio.current_time() + interval.total_seconds()
        await trio.sleep_until(due)
        limiter.record_lag(trio.current_time() - due)
