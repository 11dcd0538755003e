"""The owner's estimate of a worker's clock and of the lease of its runs."""

from collections.abc import Iterable
from datetime import datetime, timedelta

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock

__all__ = ["MILLISECOND", "WorkerLease", "unknown_lease_time"]

MILLISECOND = timedelta(milliseconds=1)


def unknown_lease_time(settings: CellSettings) -> timedelta:
    """Return the time after which a lease has certainly expired that an earlier owner renewed.

    A start of that owner may have reached a new incarnation with a deadline of the one before. It
    was sent before the ownership ended, while renewals go on for some time.
    """
    renewed = _expiry_delay(settings.worker_lease, settings) + settings.orphan_renewal_time
    return max(renewed, _expiry_delay(settings.max_worker_lease, settings))


class WorkerLease:
    """The lease of all runs on one worker, which ends at a time on the worker's clock.

    At first, the lease of a worker that has restarted counts as the longest that a worker grants:
    an order that was meant for the incarnation before may have reached the new one.

    ``clock_ms`` is the worker's clock in its last reply, in milliseconds.

    :param clock: clock of the owner.
    :param settings: lease durations and bounds of the clock error.
    :param born: start of the incarnation that is registered, in milliseconds of the worker's clock.
    """

    def __init__(self, clock: Clock, settings: CellSettings, born: int):
        self._clock = clock
        self._settings = settings
        self._measured_at = clock.now()
        self.reset()
        self._registered_born: int | None = born
        self._unanswered_start_expires_at = self._measured_at
        # An earlier owner may still be renewing this lease.
        self._assumed_expires_at = clock.now() + unknown_lease_time(settings)

    def reset(self) -> None:
        """Start over for a new incarnation of the worker, whose clock is not known yet."""
        self._expires_at_ms = 0
        self.clock_ms = 0
        self._is_clock_known = False
        self._registered_born = None
        self._assumed_expires_at = self._longest_expiry()

    def record_clock(self, clock_ms: int, born: int) -> None:
        """Record the clock from a reply of the worker that has just arrived.

        :param clock_ms: the worker's clock, in milliseconds.
        :param born: start of the incarnation that replied.
        """
        self.clock_ms = clock_ms
        self._measured_at = self._clock.now()
        if not self._is_clock_known:
            # An earlier owner may have extended the lease without this owner knowing.
            settings = self._settings
            is_restarted = born != self._registered_born
            longest = settings.max_worker_lease if is_restarted else settings.worker_lease
            self.extend_to(clock_ms + int(longest / MILLISECOND))
        self._is_clock_known = True

    def worker_now(self) -> int:
        """Return the estimated time on the worker's clock, in milliseconds."""
        return self._worker_time(self._clock.now())

    def extend(self, valid_until: datetime) -> int:
        """Extend the lease by its full duration from now, or from the end of the renewals.

        :param valid_until: end of the ownership, as known by now.
        :return: the new deadline on the worker's clock, in milliseconds.
        """
        renewals_end = valid_until + self._settings.orphan_renewal_time
        return self._extend_by(self._settings.worker_lease, renewals_end)

    def extend_for_start(self, valid_until: datetime) -> int:
        """Extend the lease by the start window from now, or from the end of the ownership.

        :param valid_until: end of the ownership, as known by now.
        :return: the time on the worker's clock after which the start has no effect.
        """
        return self._extend_by(self._settings.start_window, valid_until)

    def _extend_by(self, duration: timedelta, latest: datetime) -> int:
        # The process may have been suspended since it was checked that the order may be sent.
        began_ms = self._worker_time(min(self._clock.now(), latest))
        deadline_ms = began_ms + int(duration / MILLISECOND)
        self.extend_to(deadline_ms)
        return deadline_ms

    def _worker_time(self, time: datetime) -> int:
        return self.clock_ms + int((time - self._measured_at) / MILLISECOND)

    def extend_to(self, until_ms: int) -> None:
        """Extend the lease to a time on the worker's clock, in milliseconds; never shorten it."""
        self._expires_at_ms = max(self._expires_at_ms, until_ms)

    def record_unanswered_start(self) -> None:
        """Record a start that may have reached an incarnation that this owner does not know."""
        self._unanswered_start_expires_at = self._longest_expiry()

    @property
    def expires_at(self) -> datetime:
        """Time on the owner's clock after which no run of the known incarnation can be running."""
        if not self._is_clock_known:
            return self._assumed_expires_at
        remaining = max(0, self._expires_at_ms - self.clock_ms) * MILLISECOND
        return self._measured_at + _expiry_delay(remaining, self._settings)

    def is_earlier(self, born: int, known: int) -> bool:
        """Return whether an incarnation is one before the known one, which may still have runs.

        If the earlier one goes on after the lease, the known one has ended: the worker's clock was
        set back.

        :param born: start of the incarnation in question; 0 if not known.
        :param known: start of the known incarnation; 0 if none is.
        """
        return 0 < born < known and self._clock.now() < self.expires_at

    def find_lapsed(self, task_runs: Iterable[TaskRun]) -> list[TaskRun]:
        """Return the runs that have certainly ended with the lease.

        A run that the known incarnation has not confirmed may be on a new one.
        """
        now = self._clock.now()
        if now < self.expires_at:
            return []
        is_start_over = now >= self._unanswered_start_expires_at
        return [run for run in task_runs if is_start_over or run.confirmed_ms is not None]

    def _longest_expiry(self) -> datetime:
        return self._clock.now() + _expiry_delay(self._settings.max_worker_lease, self._settings)


def _expiry_delay(lease: timedelta, settings: CellSettings) -> timedelta:
    """Return the delay after which a lease has certainly expired."""
    return lease * (1 + settings.clock_drift) + settings.lease_expiry_slack
