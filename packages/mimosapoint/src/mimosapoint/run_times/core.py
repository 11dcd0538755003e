"""Latest run times by key, and their quantiles."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["MIN_SAMPLES", "OVERRUN_FACTOR", "RunTimeSamples"]

MAX_SAMPLES = 64
"""Samples kept for each key."""

MIN_SAMPLES = 5
"""Samples needed before estimates replace the declared run time."""

OVERRUN_FACTOR = 0.5
"""Expected remaining share of the time run so far, for a run longer than all samples."""

K = TypeVar("K", bound=Hashable)


class RunTimeSamples(Generic[K]):
    """The latest samples of each key: run times in seconds, or ratios of run times."""

    def __init__(self) -> None:
        self._recent_by_key: dict[K, deque[float]] = {}
        self._ordered_by_key: dict[K, list[float]] = {}

    def add(self, key: K, value: float) -> None:
        """Add a sample."""
        recent = self._recent_by_key.setdefault(key, deque(maxlen=MAX_SAMPLES))
        recent.append(value)
        self._ordered_by_key[key] = sorted(recent)

    def discard(self, key: K) -> None:
        """Forget the samples of a key."""
        self._recent_by_key.pop(key, None)
        self._ordered_by_key.pop(key, None)

    def quantile(self, key: K, share: float) -> float | None:
        """Return a quantile, or ``None`` if there are too few samples.

        :param key: the key.
        :param share: share of the samples that are below it.
        """
        known = self._ordered_by_key.get(key, ())
        if len(known) < MIN_SAMPLES:
            return None
        return known[min(len(known) - 1, int(share * len(known)))]

    def remaining(self, key: K, elapsed: float) -> float | None:
        """Return the time that a run is expected to need still, or ``None`` without enough samples.

        It is the median of the samples that are longer than the run so far, less the run so far; if
        none is longer, it is :data:`OVERRUN_FACTOR` of the run so far.

        :param key: the key.
        :param elapsed: time run so far, in seconds.
        """
        known = self._ordered_by_key.get(key, ())
        if len(known) < MIN_SAMPLES:
            return None
        longer = bisect_right(known, elapsed)
        if longer == len(known):
            return elapsed * OVERRUN_FACTOR
        return known[(longer + len(known)) // 2] - elapsed
