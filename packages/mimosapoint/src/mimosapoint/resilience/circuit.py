"""Circuit breaker: suspends calls to a failing dependency."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta
from enum import Enum

from mimosapoint.errors import CircuitOpen
from mimosapoint.ports import Clock

__all__ = ["CircuitBreaker", "CircuitState"]


class CircuitState(Enum):
    """State of a circuit breaker: allows calls, suspends them, or allows one trial call."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Opens after consecutive failures, and allows one trial call after a timeout.

    :param clock: the clock.
    :param threshold: number of consecutive failures that open it.
    :param reset_timeout: time from opening until the trial call is allowed.
    """

    def __init__(
        self, clock: Clock, threshold: int = 5, reset_timeout: timedelta = timedelta(seconds=1)
    ) -> None:
        self._clock = clock
        self._threshold = threshold
        self._reset_timeout = reset_timeout
        self._failures = 0
        self._opened_at: datetime | None = None
        self._trial_in_flight = False

    @property
    def state(self) -> CircuitState:
        """The current state."""
        if self._opened_at is None:
            return CircuitState.CLOSED
        if self._clock.now() - self._opened_at < self._reset_timeout:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def before_call(self) -> None:
        """Check that a call is allowed; report its outcome by a ``record_*`` method.

        :raises CircuitOpen: calls are suspended.
        """
        state = self.state
        if state is CircuitState.CLOSED:
            return
        if state is CircuitState.OPEN or self._trial_in_flight:
            raise CircuitOpen(retry_after=self._remaining())
        self._trial_in_flight = True

    def record_success(self) -> None:
        """Record that the dependency replied, which closes the circuit."""
        self._failures = 0
        self._opened_at = None
        self._trial_in_flight = False

    def record_failure(self) -> None:
        """Record a failure, which opens the circuit at the threshold or in a trial call."""
        self._failures += 1
        if self._trial_in_flight or self._failures >= self._threshold:
            self._opened_at = self._clock.now()
        self._trial_in_flight = False

    def record_cancelled(self) -> None:
        """Record a cancelled call, which says nothing about the dependency."""
        self._trial_in_flight = False

    @contextmanager
    def guard(self, *failures: type[Exception]) -> Iterator[None]:
        """Guard one call; an error not in ``failures`` shows that the dependency replied.

        :param failures: errors that count as failures of the dependency.
        :raises CircuitOpen: calls are suspended.
        """
        self.before_call()
        try:
            yield
        except failures:
            self.record_failure()
            raise
        except Exception:
            self.record_success()
            raise
        except BaseException:
            self.record_cancelled()
            raise
        else:
            self.record_success()

    def _remaining(self) -> timedelta:
        if self._opened_at is None:
            return timedelta()
        return max(timedelta(), self._opened_at + self._reset_timeout - self._clock.now())
