"""Whether a worker is slow or hangs, judged by the progress of the runs on it."""

from collections.abc import Iterable
from datetime import datetime, timedelta

import attrs

__all__ = ["ProgressRate", "SlowWorkerDetector"]

MIN_SAMPLE_INTERVAL_MS = 600
"""Shortest time between two looks at a run's progress, in milliseconds. The longest tasks of the
sites gain 5 percent in it, which are reported as whole numbers."""

SLOW_RELATIVE_RATE = 0.5
"""Share of its best pace below which a run counts as slow; faults of the platform's pages make work
four or eight times as long, and rounding of a sample can hide a fifth."""

SLOW_DURATION = timedelta(seconds=2)
"""Time for which a worker counts as slow after its runs told so last; then it is tried again."""

MAX_SAMPLED_PERCENT = 98
"""Progress from which a run tells nothing more, as it is about to end."""


@attrs.define
class ProgressRate:
    """Pace of one run.

    :param relative_rate: newest pace as a share of the best one; ``None`` while it cannot be told.
    """

    relative_rate: float | None = None
    _clock_ms: int | None = None
    _percent: int = 0
    _samples: int = 0
    _best_rate: float = 0.0

    def add_sample(self, percent: int, clock_ms: int) -> None:
        """Note a run's progress at a time of the worker's clock."""
        if self._clock_ms is None:
            self._clock_ms, self._percent = clock_ms, percent
            return
        elapsed = clock_ms - self._clock_ms
        if elapsed < MIN_SAMPLE_INTERVAL_MS:
            return
        pace = (percent - self._percent) / elapsed
        self._clock_ms, self._percent = clock_ms, percent
        self._samples += 1
        # In the first sample a run waits for the others of its gang, or resumes from a checkpoint.
        if self._samples == 1 or percent >= MAX_SAMPLED_PERCENT or pace < 0:
            self.relative_rate = None
            return
        self._best_rate = max(self._best_rate, pace)
        self.relative_rate = pace / self._best_rate if self._best_rate else None


@attrs.define
class SlowWorkerDetector:
    """Pace of a worker: that of its run that is the least slowed down.

    :param slow_until: time up to which it counts as slow; ``None`` when it does not.
    """

    slow_until: datetime | None = None

    def is_slow(self, now: datetime) -> bool:
        """Tell whether new work had better go elsewhere."""
        return self.slow_until is not None and now < self.slow_until

    def update(self, runs: Iterable[ProgressRate], now: datetime) -> bool:
        """Take the newest paces in, and tell whether the worker has become slow."""
        shares = [run.relative_rate for run in runs if run.relative_rate is not None]
        if not shares:
            return False
        if max(shares) >= SLOW_RELATIVE_RATE:
            self.slow_until = None
            return False
        was_slow = self.is_slow(now)
        self.slow_until = now + SLOW_DURATION
        return not was_slow
