"""Expected run times of units: as callers declare them, or learned from completed runs."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

import attrs

from mimosapoint.cell.decisions.units import Job, TaskRun, Unit
from mimosapoint.run_times import RunTimeSamples
from mimosapoint.workload import AcceptedJob, Step

__all__ = [
    "DeclaredDurations",
    "Durations",
    "LearnedDurations",
    "TypicalRun",
    "duration_names",
    "make_durations",
    "run_seconds",
]

ESTIMATE_CLASS_FACTOR = 8
"""Ratio of the bounds of a class of estimates. Estimates that are off by up to nine tenths either
way span a ratio of 19, so that narrower classes would part runs of one kind, and wider ones join
different kinds."""

ERROR_WEIGHT = 0.1
"""Weight of the newest run in the error of a predictor, which averages about the last ten."""

MAX_LOG_ERROR = math.log(10)
"""Largest error of one prediction that counts: that of an estimate off by nine tenths downwards."""

MIN_ERROR_GAIN = 0.1
"""Logarithm by which a learned predictor must be better than the declared estimate to replace it,
so that callers with good estimates are believed; the rounding of percents and the delays of reports
distort a sample of 2 s by about as much."""

MAX_SIBLING_STEPS = 256
"""Number of newest steps of single tasks whose run times are kept to compare workers."""

SIBLING_DEVIATION = 0.1
"""Deviation of the run times of the tasks of one step on equal workers, from the delay of reports:
0.2 s for a run of 2 s."""

ERROR_TO_DEVIATION = math.sqrt(math.pi / 2)
"""Ratio of the standard deviation to the mean absolute error of a normal distribution."""

_Key = tuple[object, ...]


@attrs.frozen
class TypicalRun:
    """Run time of units of one kind.

    :param seconds: the run time.
    :param deviation: standard deviation of its logarithm.
    """

    seconds: float
    deviation: float


class Durations(Protocol):
    """Expected run times."""

    def observe(self, unit: Unit, task_run: TaskRun, seconds: float) -> None:
        """Record the run time of a completed run, see :func:`run_seconds`."""
        ...

    def expected(self, unit: Unit) -> timedelta:
        """Return the expected duration of a whole run of the unit."""
        ...

    def remaining(self, task_run: TaskRun, now: datetime) -> timedelta:
        """Return the time that a run is expected to need still."""
        ...

    def time_needed(self, unit: Unit) -> timedelta:
        """Return the time that the job needs from a start of the unit to its end."""
        ...

    def critical_path(self, job: Job) -> timedelta:
        """Return the expected duration of the longest dependency chain of the job."""
        ...

    def typical(self, unit: Unit) -> TypicalRun | None:
        """Return the run time of such units on other workers; ``None`` if it is not known."""
        ...


_durations_by_name: dict[str, Callable[[], Durations]] = {}


def durations(name: str) -> Callable[[type], type]:
    """Register a class of :class:`Durations` under a name that settings may state."""

    def register(cls: type) -> type:
        _durations_by_name[name] = cls
        return cls

    return register


def duration_names() -> tuple[str, ...]:
    """Return the names of all classes of durations."""
    return tuple(sorted(_durations_by_name))


def make_durations(name: str) -> Durations:
    """Return new durations of the class with a name.

    :raises KeyError: there is none.
    """
    return _durations_by_name[name]()


def run_seconds(unit: Unit, task_run: TaskRun, now: datetime) -> float | None:
    """Return the duration of a run that has just been completed; ``None`` if it is no full sample.

    The wait for the other tasks of a gang does not count. A run that resumed from a checkpoint, was
    started by an earlier owner, or whose worker is slow or was disturbed (so that the end may have
    been reported late), is no full sample.

    :param unit: the unit.
    :param task_run: its run whose end was reported first.
    :param now: time of that report.
    """
    worker = task_run.worker
    is_disturbed = worker.stability.instability(now) > 0 or worker.slow_detector.is_slow(now)
    if unit.formed_at is None or task_run.is_resumed or is_disturbed:
        return None
    return (now - unit.formed_at).total_seconds()


@durations("declared")
class DeclaredDurations:
    """Run times as the callers declare them; the remaining time also follows the progress."""

    def observe(self, unit: Unit, task_run: TaskRun, seconds: float) -> None:
        """Ignore the run."""

    def expected(self, unit: Unit) -> timedelta:
        """Return the caller's estimate."""
        return unit.step.estimate

    def remaining(self, task_run: TaskRun, now: datetime) -> timedelta:
        """Return the remaining time by the rate of the progress or by the caller's estimate."""
        return _remaining_by_progress(task_run, now)

    def time_needed(self, unit: Unit) -> timedelta:
        """Return the declared duration of the longest dependency chain of the job."""
        return unit.job.critical_path

    def critical_path(self, job: Job) -> timedelta:
        """Return the declared duration of the longest dependency chain of the job."""
        return job.critical_path

    def typical(self, unit: Unit) -> TypicalRun | None:
        """Return ``None``: a declared run time does not show the speed of a worker."""
        return None


@attrs.define
class _Errors:
    """Mean absolute logarithmic error of each predictor for one key."""

    declared: float = 0.0
    absolute: float = 0.0
    ratio: float = 0.0
    _count: int = 0

    def add(self, declared: float, absolute: float, ratio: float, actual: float) -> None:
        """Add the predictions for a completed run."""
        self._count += 1
        weight = max(ERROR_WEIGHT, 1 / self._count)
        self.declared += weight * (_log_error(declared, actual) - self.declared)
        self.absolute += weight * (_log_error(absolute, actual) - self.absolute)
        self.ratio += weight * (_log_error(ratio, actual) - self.ratio)


@durations("learned")
class LearnedDurations:
    """Run times learned from completed runs by workspace, queue and size.

    Two predictors are learned: the median of the run times, and the median of their ratio to the
    estimate. The one that was more exact for the latest runs of the same key is used, if it was
    clearly more exact than the declared estimate. A key with too few runs falls back to all
    workspaces of the queue, and then to the declared estimate.
    """

    def __init__(self) -> None:
        self._seconds: RunTimeSamples[_Key] = RunTimeSamples()
        self._ratios: RunTimeSamples[_Key] = RunTimeSamples()
        self._errors_by_key: dict[_Key, _Errors] = {}
        self._siblings: RunTimeSamples[_Key] = RunTimeSamples()
        self._sibling_keys: OrderedDict[_Key, None] = OrderedDict()
        # A decision asks for every waiting unit, many of which are of one job.
        self._needed_by_step: dict[tuple[str, int | None], timedelta] = {}

    def observe(self, unit: Unit, task_run: TaskRun, seconds: float) -> None:
        """Record the run time of a completed run."""
        declared = unit.step.estimate.total_seconds()
        if seconds <= 0 or declared <= 0:
            return
        for key in _keys(unit.job.record, unit.step):
            absolute, ratio = self._seconds.quantile(key, 0.5), self._ratios.quantile(key, 0.5)
            if absolute is not None and ratio is not None:
                errors = self._errors_by_key.setdefault(key, _Errors())
                errors.add(declared, absolute, ratio * declared, seconds)
            self._seconds.add(key, seconds)
            self._ratios.add(key, seconds / declared)
        self._needed_by_step.clear()
        if not unit.step.gang and unit.step.count > 1:
            self._add_sibling(_sibling_key(unit), seconds)

    def _add_sibling(self, key: _Key, seconds: float) -> None:
        self._siblings.add(key, seconds)
        self._sibling_keys[key] = None
        self._sibling_keys.move_to_end(key)
        if len(self._sibling_keys) > MAX_SIBLING_STEPS:
            oldest, _ = self._sibling_keys.popitem(last=False)
            self._siblings.discard(oldest)

    def typical(self, unit: Unit) -> TypicalRun | None:
        """Return the run time of the other tasks of the step, or else that of the unit's key."""
        seconds = self._siblings.quantile(_sibling_key(unit), 0.5)
        if seconds is not None:
            return TypicalRun(seconds, SIBLING_DEVIATION)
        for key in _keys(unit.job.record, unit.step):
            errors = self._errors_by_key.get(key)
            if errors is not None:
                error = min(errors.declared, errors.absolute, errors.ratio)
                deviation = max(SIBLING_DEVIATION, ERROR_TO_DEVIATION * error)
                return TypicalRun(self.expected(unit).total_seconds(), deviation)
        return None

    def expected(self, unit: Unit) -> timedelta:
        """Return the prediction of the predictor that was most exact."""
        return self._expected_of(unit.job.record, unit.step)

    def remaining(self, task_run: TaskRun, now: datetime) -> timedelta:
        """Return the remaining time by the rate of the progress, or by the run times of its key."""
        unit = task_run.unit
        if unit is None or task_run.progress_rate.has_rate:
            return _remaining_by_progress(task_run, now)
        expected = self.expected(unit)
        if task_run.percent:
            left = expected * (1 - task_run.percent / 100)
            return max(timedelta(0), left - _since_report(task_run, now))
        if unit.formed_at is None:
            return expected
        elapsed = now - unit.formed_at
        if elapsed < expected:
            return expected - elapsed
        for key in _keys(unit.job.record, unit.step):
            seconds = self._seconds.remaining(key, elapsed.total_seconds())
            if seconds is not None:
                return timedelta(seconds=seconds)
        return timedelta(0)

    def time_needed(self, unit: Unit) -> timedelta:
        """Return the expected duration of the longest chain that begins with the unit's step."""
        key = (unit.id.job, unit.id.step)
        needed = self._needed_by_step.get(key)
        if needed is None:
            needed = self._needed_by_step[key] = self._chain(unit.job.record, unit.id.step)
        return needed

    def critical_path(self, job: Job) -> timedelta:
        """Return the expected duration of the longest dependency chain of the job."""
        key = (job.record.id, None)
        needed = self._needed_by_step.get(key)
        if needed is None:
            steps = range(len(job.record.steps))
            chains = (self._chain(job.record, step) for step in steps)
            needed = self._needed_by_step[key] = max(chains)
        return needed

    def _chain(self, record: AcceptedJob, first_step: int) -> timedelta:
        needed = [timedelta(0)] * len(record.steps)
        # Steps come after their dependencies, so that the chain after a step is known before it.
        for number in range(len(needed) - 1, first_step - 1, -1):
            step = record.steps[number]
            needed[number] += self._expected_of(record, step)
            for dependency in step.after:
                needed[dependency] = max(needed[dependency], needed[number])
        return needed[first_step]

    def _expected_of(self, record: AcceptedJob, step: Step) -> timedelta:
        for key in _keys(record, step):
            errors = self._errors_by_key.get(key)
            if errors is None:
                continue
            if min(errors.absolute, errors.ratio) > errors.declared - MIN_ERROR_GAIN:
                return step.estimate
            if errors.absolute <= errors.ratio:
                return timedelta(seconds=self._seconds.quantile(key, 0.5))
            return step.estimate * self._ratios.quantile(key, 0.5)
        return step.estimate


def _keys(record: AcceptedJob, step: Step) -> tuple[_Key, _Key]:
    """Return the key of the runs of a step, and the key for all workspaces of its queue."""
    width = step.count if step.gang else 1
    width_class = width.bit_length()
    seconds = max(0.001, step.estimate.total_seconds())
    estimate_class = math.floor(math.log(seconds, ESTIMATE_CLASS_FACTOR))
    return (
        (record.tenant, record.queue, width_class, estimate_class),
        (record.queue, width_class),
    )


def _sibling_key(unit: Unit) -> _Key:
    return (unit.id.job, unit.id.occurrence, unit.id.step)


def _log_error(predicted: float, actual: float) -> float:
    return min(MAX_LOG_ERROR, abs(math.log(max(predicted, 0.001) / actual)))


def _remaining_by_progress(task_run: TaskRun, now: datetime) -> timedelta:
    """Return the remaining time by the rate of the progress or by the caller's estimate."""
    remaining = task_run.progress_rate.remaining(task_run.percent, task_run.reported_ms)
    if not task_run.progress_rate.has_rate:
        return remaining
    return max(timedelta(0), remaining - _since_report(task_run, now))


def _since_report(task_run: TaskRun, now: datetime) -> timedelta:
    return now - task_run.reported_at if task_run.reported_at else timedelta(0)
