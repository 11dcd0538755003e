"""Admission: whether a submitted job can still be of use to its caller under the published load."""

from __future__ import annotations

import math
import zlib
from datetime import datetime, timedelta
from enum import Enum
from hashlib import sha256

import attrs

from mimosapoint.cell.decisions.guarantees import max_step_accelerators
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError
from mimosapoint.workload import URGENT_PRIORITY, AcceptedJob, ResourceAmounts, Step

__all__ = [
    "AdmissionDecision",
    "AdmissionReason",
    "BlockedShape",
    "LoadSummary",
    "QueueLoad",
    "decide_admission",
    "find_exemption",
]

USEFUL_OBJECTIVES = 3
"""Multiple of the objective after which a result is worthless to its caller, as documented by the
platform."""

ESTIMATE_ERROR = 0.9
"""Largest share by which an estimate of a caller is off, as measured on the deployments."""

RETRY_MIN = timedelta(seconds=1)
"""Minimum retry delay; the header counts whole seconds."""

RETRY_MAX = timedelta(seconds=30)
"""Maximum retry delay; the drain rate is measured over 20 s and says little about later times."""

MAX_ENCODED_BYTES = 65_536
"""Largest decoded summary, in bytes; 50 queues that are held up take 8 KB."""

MAX_COUNT = 10_000_000
"""Largest number of jobs in a summary; a cell has some 10,000 a day."""

MAX_SECONDS = 3600
"""Longest measured time in a summary, in seconds; the owner measures over 20 s."""


class AdmissionReason(Enum):
    """Reason of an admission decision."""

    DISABLED = "disabled"
    """Admission is not enabled."""
    SCHEDULED = "scheduled"
    """The job has due times of its own."""
    GUARANTEED = "guaranteed"
    """The guarantee of its workspace may cover it."""
    NO_SUMMARY = "no-summary"
    """No load summary could be read."""
    STALE_SUMMARY = "stale-summary"
    """The load summary is too old, or its time lies in the future."""
    EARLIER_OWNER = "earlier-owner"
    """The load summary is of an earlier owner than one that was seen before."""
    NOT_HELD_UP = "not-held-up"
    """Units of the queue start at once."""
    OTHER_SHAPE = "other-shape"
    """The units that wait in the queue say nothing about units of this shape."""
    IN_TIME = "in-time"
    """It may start and end while it is of use."""
    TOO_LATE = "too-late"
    """It surely cannot end while it is of use; it is refused."""


@attrs.frozen
class BlockedShape:
    """Demand of a unit that does not fit into the free capacity.

    :param size: number of tasks.
    :param amounts: resources of each task.
    :param label: label that the workers must have.
    :param rack_local: whether the tasks must be within one rack.
    """

    size: int
    amounts: ResourceAmounts
    label: str = ""
    rack_local: bool = False

    def covers(self, step: Step) -> bool:
        """Return whether a unit of the step surely does not fit either.

        Only an equal gang counts for a rack-local one: a larger one, which no rack could hold even
        when empty, may span racks.
        """
        if self.rack_local:
            is_equal = (step.count, step.amounts) == (self.size, self.amounts)
            return step.gang and step.rack_local and is_equal and self.label in ("", step.label)
        return (
            (step.count if step.gang else 1) >= self.size
            and step.amounts.cpu_millis >= self.amounts.cpu_millis
            and step.amounts.memory_mb >= self.amounts.memory_mb
            and step.amounts.accelerators >= self.amounts.accelerators
            and self.label in ("", step.label)
        )


@attrs.frozen
class QueueLoad:
    """Load of a queue whose units do not start at once.

    :param waiting: number of jobs that would start before a new one.
    :param starts: number of jobs that left the queue within ``seconds``.
    :param seconds: time for which the queue has been held up, at most the measured time.
    :param oldest_seconds: longest wait of a job that has not started.
    :param shape: demand of the newest unit, which does not fit.
    """

    waiting: int
    starts: int
    seconds: float
    oldest_seconds: float
    shape: BlockedShape

    @property
    def drain_rate(self) -> float:
        """Jobs that leave the queue, for each second."""
        return self.starts / self.seconds if self.seconds else 0.0

    @property
    def expected_wait(self) -> timedelta | None:
        """Expected wait of a new job; ``None`` if no job has left the queue."""
        return timedelta(seconds=self.waiting / self.drain_rate) if self.starts else None

    @property
    def least_wait(self) -> timedelta:
        """Conservative end of the expected wait.

        The number of starts is a random sample. ``n + 2 * sqrt(n) + 3`` is above the upper end of
        the 95% confidence interval of a Poisson count for every ``n``.
        """
        most_starts = self.starts + 2 * math.sqrt(self.starts) + 3
        return timedelta(seconds=self.waiting * self.seconds / most_starts)


@attrs.frozen
class LoadSummary:
    """Load of a cell, as its owner publishes it.

    :param epoch: epoch of the owner.
    :param time: time at which the load was measured, on the owner's clock.
    :param free: free capacity of all usable workers.
    :param queues: loads of the queues that are held up, by name.
    """

    epoch: int
    time: datetime
    free: ResourceAmounts = ResourceAmounts()
    queues: dict[str, QueueLoad] = attrs.field(factory=dict)

    def to_bytes(self) -> bytes:
        """Encode the summary; compressed, as the names of fields repeat for each queue."""
        return zlib.compress(encode(self))

    @classmethod
    def from_bytes(cls, data: bytes) -> LoadSummary:
        """Decode a summary.

        :raises CodecError: it is unreadable or has impossible values.
        """
        try:
            content = zlib.decompressobj().decompress(data, MAX_ENCODED_BYTES)
        except zlib.error as error:
            raise CodecError(f"not compressed: {error}") from error
        summary = decode(content, cls)
        if summary.time.tzinfo is None or not all(map(_is_possible, summary.queues.values())):
            raise CodecError("a value is impossible")
        return summary


@attrs.frozen
class AdmissionDecision:
    """Whether a job is admitted, and the values that decided it.

    :param admitted: whether it is admitted.
    :param reason: reason of the decision.
    :param retry_after: time after which the caller should try again; ``None`` if admitted.
    :param retry_share: share of a caller's longest retry delay to use if that is shorter.
    :param load: load of the queue, if it counted.
    :param useful_time: time after which the result is worthless.
    """

    admitted: bool
    reason: AdmissionReason
    retry_after: timedelta | None = None
    retry_share: float = 1.0
    load: QueueLoad | None = None
    useful_time: timedelta | None = None


def _is_possible(load: QueueLoad) -> bool:
    """Return whether the estimates of a load can be computed."""
    counts = (load.waiting, load.starts)
    return all(0 <= count <= MAX_COUNT for count in counts) and 0 < load.seconds <= MAX_SECONDS


def decide_admission(
    record: AcceptedJob,
    summary: LoadSummary | None,
    now: datetime,
    max_age: timedelta,
    newest_epoch: int = 0,
    guaranteed_accelerators: int = 0,
) -> AdmissionDecision:
    """Decide whether a job is admitted; whatever is not certain admits it.

    :param record: the job as it would be accepted.
    :param summary: newest load summary; ``None`` if there is none.
    :param now: time of the decision.
    :param max_age: age above which a summary is stale.
    :param newest_epoch: newest epoch of a summary that was seen.
    :param guaranteed_accelerators: guarantee of the workspace.
    """
    reason = find_exemption(record, guaranteed_accelerators)
    if reason is None:
        reason = _find_summary_fault(summary, now, max_age, newest_epoch)
    if reason is not None:
        return AdmissionDecision(True, reason)
    load = summary.queues.get(record.queue)
    if load is None:
        return AdmissionDecision(True, AdmissionReason.NOT_HELD_UP)
    if not all(load.shape.covers(step) for step in record.steps if not step.after):
        return AdmissionDecision(True, AdmissionReason.OTHER_SHAPE, load=load)
    critical_path = record.critical_path()
    useful_time = USEFUL_OBJECTIVES * (record.slack_factor * critical_path + record.target)
    least_run_time = (1 - ESTIMATE_ERROR) * critical_path
    if load.least_wait + least_run_time <= useful_time:
        return AdmissionDecision(True, AdmissionReason.IN_TIME, load=load, useful_time=useful_time)
    share = _retry_share(record)
    return AdmissionDecision(
        False,
        AdmissionReason.TOO_LATE,
        _retry_delay(load, useful_time - least_run_time, share),
        share,
        load,
        useful_time,
    )


def find_exemption(record: AcceptedJob, guaranteed_accelerators: int) -> AdmissionReason | None:
    """Return why a job is admitted under any load; ``None`` if the load decides.

    Which jobs a guarantee covers is known to the owner only, so that every job that would fit the
    guarantee counts as covered.
    """
    if record.schedule is not None:
        return AdmissionReason.SCHEDULED
    needed = max_step_accelerators(record)
    if record.priority == URGENT_PRIORITY and 0 < needed <= guaranteed_accelerators:
        return AdmissionReason.GUARANTEED
    return None


def _find_summary_fault(
    summary: LoadSummary | None, now: datetime, max_age: timedelta, newest_epoch: int
) -> AdmissionReason | None:
    if summary is None:
        return AdmissionReason.NO_SUMMARY
    if summary.epoch < newest_epoch:
        return AdmissionReason.EARLIER_OWNER
    # A summary without queues refuses nothing at any age, and is not published again unchanged.
    if summary.queues and abs(now - summary.time) > max_age:
        return AdmissionReason.STALE_SUMMARY
    return None


def _retry_share(record: AcceptedJob) -> float:
    """Return 0.4 to 0.6 for urgent, up to 0.8 for normal and up to 1 for deferrable jobs.

    The place within that range depends on the id alone, which spreads the jobs of a burst.
    """
    digest = sha256(record.id.encode()).digest()
    jitter = int.from_bytes(digest[:4], "big") / 2**32
    return (2 + min(max(record.priority, 0), 2) + jitter) / 5


def _retry_delay(load: QueueLoad, bearable_wait: timedelta, share: float) -> timedelta:
    """Return when the queue has drained so far that a new job would be in time, plus a spread."""
    rate = max(load.starts, 1) / load.seconds
    excess = load.waiting / rate - bearable_wait.total_seconds()
    delay = max(RETRY_MIN, timedelta(seconds=excess)) * (2 * share)
    return min(max(delay, RETRY_MIN), RETRY_MAX * share)
