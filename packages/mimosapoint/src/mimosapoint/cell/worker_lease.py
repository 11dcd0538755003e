"""What an owner knows of a worker's clock and of the lease of the runs there."""

from datetime import datetime, timedelta

from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock

__all__ = ["MILLISECOND", "WorkerLease"]

MILLISECOND = timedelta(milliseconds=1)


class WorkerLease:
    """The lease of everything on one worker, as a time on that worker's clock.

    :param clock: clock of the owner.
    :param settings: times.
    """

    def __init__(self, clock: Clock, settings: CellSettings):
        self._clock = clock
        self._settings = settings
        self._measured_at = clock.now()
        self.reset()

    def reset(self) -> None:
        """Begin with a life of the worker of which nothing is known yet."""
        self.expires_at_ms = 0
        self._clock_ms = 0
        self._is_known = False
        self._assumed_expires_at = self._clock.now() + self._expiry_delay(
            self._settings.worker_lease
        )

    def record_clock(self, clock_ms: int) -> None:
        """Note the worker's clock of an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._measured_at = self._clock.now()
        if not self._is_known:
            # An earlier owner may have set a longer lease than this one knows of.
            self.extend_to(clock_ms + self._duration_ms)
        self._is_known = True

    def worker_now(self) -> int:
        """Return the worker's clock in milliseconds, as far as it can be told."""
        return self._clock_ms + int((self._clock.now() - self._measured_at) / MILLISECOND)

    def extend(self) -> None:
        """Reckon with a whole lease from now on."""
        self.extend_to(self.worker_now() + self._duration_ms)

    def extend_to(self, until_ms: int) -> None:
        """Reckon with a lease up to a time on the worker's clock, if it is later."""
        self.expires_at_ms = max(self.expires_at_ms, until_ms)

    @property
    def expires_at(self) -> datetime:
        """Time at which nothing that was ordered can run any more."""
        if not self._is_known:
            return self._assumed_expires_at
        left = max(0, self.expires_at_ms - self._clock_ms) * MILLISECOND
        return self._measured_at + self._expiry_delay(left)

    @property
    def _duration_ms(self) -> int:
        return int(self._settings.worker_lease / MILLISECOND)

    def _expiry_delay(self, lease: timedelta) -> timedelta:
        """Return the time after which a lease has surely lapsed."""
        return lease * (1 + self._settings.clock_drift) + self._settings.lease_expiry_slack
