"""Relative speed of a worker, learned from its completed runs."""

import math

import attrs

__all__ = ["SPEED_SPREAD", "WorkerPace"]

SPEED_SPREAD = 0.3
"""Ratio by which the speeds of workers differ, as the platform documents."""

PRIOR_DEVIATION = SPEED_SPREAD / math.sqrt(12)
"""Standard deviation of the speeds of workers, which are spread evenly over that range."""

FORGETTING = 1 - 1 / 64
"""Factor on the weight of older runs with each new one: about the last 64 runs count, as many as
are kept of the run times that they are compared with."""

MAX_LOG_RATIO = math.log(2)
"""Largest difference of one run that counts. Workers differ by less; a larger difference is a fault
of the worker, which is detected by other means, or work of another kind."""


@attrs.define
class WorkerPace:
    """Speed of one incarnation of a worker, relative to others.

    It is the mean of the speeds that its runs show, weighted by their exactness and shrunk towards
    1 by the spread of the workers: with a deviation of 0.5 between runs of one kind, 33 runs count
    as much as the assumption that a worker is like the others.
    """

    _weighted_sum: float = 0.0
    _weight: float = 0.0

    def add_run(self, seconds: float, typical_seconds: float, deviation: float) -> None:
        """Record a completed run.

        :param seconds: its run time.
        :param typical_seconds: run time of such runs on other workers.
        :param deviation: standard deviation of the logarithm of their ratio, other than by the
            speed of the worker.
        """
        log_speed = math.log(typical_seconds / seconds)
        log_speed = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_speed))
        weight = (PRIOR_DEVIATION / deviation) ** 2
        self._weighted_sum = FORGETTING * self._weighted_sum + weight * log_speed
        self._weight = FORGETTING * self._weight + weight

    @property
    def speed(self) -> float:
        """Speed relative to other workers; 1 if nothing is known."""
        return math.exp(self._weighted_sum / (1 + self._weight))
