"""Detection of slow or hanging workers from the progress of their runs."""

from collections.abc import Iterable
from datetime import datetime, timedelta

import attrs

__all__ = ["ProgressRate", "SlowWorkerDetector"]

MIN_SAMPLE_INTERVAL_MS = 600
"""Minimum interval between two progress samples, in milliseconds."""

MIN_SAMPLE_SHARE = 0.05
"""Minimum interval between two progress samples as a share of the run's estimated duration:
progress is reported in whole percent, so that a sample of 5 percent is exact to a fifth."""

SLOW_RELATIVE_RATE = 0.5
"""Share of a run's best progress rate below which it counts as slow. The faults that the platform
documents slow work down by a factor of 4 or 8; rounding can distort a sample by a fifth."""

SLOW_DURATION = timedelta(seconds=2)
"""Time for which a worker counts as slow after its runs were last found to be slow; then it is
eligible for new work again."""

MAX_SAMPLED_PERCENT = 98
"""Progress in percent from which samples are ignored, as the run is about to end."""


@attrs.define
class ProgressRate:
    """Progress rate of one run.

    :param estimate: estimated duration of the run.
    :param relative_rate: newest rate as a share of the run's best rate; ``None`` if unknown.
    """

    estimate: timedelta = timedelta(0)

    relative_rate: float | None = None
    _clock_ms: int | None = None
    _percent: int = 0
    _samples: int = 0
    _rate: float = 0.0
    _best_rate: float = 0.0

    def add_sample(self, percent: int, clock_ms: int) -> None:
        """Record the progress of the run.

        :param percent: progress in percent.
        :param clock_ms: time of the sample on the worker's clock, in milliseconds.
        """
        if self._clock_ms is None:
            self._clock_ms, self._percent = clock_ms, percent
            return
        elapsed = clock_ms - self._clock_ms
        if elapsed < self._min_interval_ms:
            return
        rate = (percent - self._percent) / elapsed
        self._clock_ms, self._percent = clock_ms, percent
        self._samples += 1
        # During the first interval a run waits for the rest of its gang or restores a checkpoint.
        if self._samples == 1 or percent >= MAX_SAMPLED_PERCENT or rate < 0:
            self.relative_rate = None
            return
        self._rate = rate
        self._best_rate = max(self._best_rate, rate)
        self.relative_rate = rate / self._best_rate if self._best_rate else None

    def remaining(self, percent: int, clock_ms: int) -> timedelta:
        """Return the time that the run still needs, by its newest rate or by its estimate.

        :param percent: last reported progress, in percent.
        :param clock_ms: present time on the worker's clock, in milliseconds.
        """
        if not self._rate or self._clock_ms is None:
            return self.estimate * (1 - percent / 100)
        ends_at_ms = self._clock_ms + (100 - self._percent) / self._rate
        return timedelta(milliseconds=max(0.0, ends_at_ms - clock_ms))

    @property
    def is_measured(self) -> bool:
        """Whether the progress has been measured, so that the estimate is not needed."""
        return self._rate > 0

    def needed_from(self, percent: int) -> timedelta:
        """Return the time from some progress to the end, by the newest rate or by the estimate.

        :param percent: progress in percent.
        """
        if not self._rate:
            return self.estimate * (1 - percent / 100)
        return timedelta(milliseconds=(100 - percent) / self._rate)

    @property
    def _min_interval_ms(self) -> float:
        estimate_ms = self.estimate / timedelta(milliseconds=1)
        return max(MIN_SAMPLE_INTERVAL_MS, MIN_SAMPLE_SHARE * estimate_ms)


@attrs.define
class SlowWorkerDetector:
    """Decides whether a worker is slow, by the run with the highest relative progress rate.

    :param slow_until: time until which the worker counts as slow; ``None`` if it does not.
    """

    slow_until: datetime | None = None

    def is_slow(self, now: datetime) -> bool:
        """Return whether the worker counts as slow, so that others are preferred for new work."""
        return self.slow_until is not None and now < self.slow_until

    def update(self, runs: Iterable[ProgressRate], now: datetime) -> bool:
        """Evaluate the rates of the worker's runs; return whether it has become slow."""
        relative_rates = [run.relative_rate for run in runs if run.relative_rate is not None]
        if not relative_rates:
            return False
        if max(relative_rates) >= SLOW_RELATIVE_RATE:
            self.slow_until = None
            return False
        was_slow = self.is_slow(now)
        self.slow_until = now + SLOW_DURATION
        return not was_slow
