"""Run times of earlier runs, from which both forms of the scheduler estimate later ones."""

from mimosapoint.run_times.core import MIN_SAMPLES, OVERRUN_FACTOR, RunTimeSamples

__all__ = ["MIN_SAMPLES", "OVERRUN_FACTOR", "RunTimeSamples"]
