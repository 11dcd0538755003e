"""Run times of earlier runs, from which both forms of the scheduler estimate those of later ones."""

from mimosapoint.run_times.core import MIN_SAMPLES, OVERRUN_FACTOR, RunTimeSamples

__all__ = ["MIN_SAMPLES", "OVERRUN_FACTOR", "RunTimeSamples"]
