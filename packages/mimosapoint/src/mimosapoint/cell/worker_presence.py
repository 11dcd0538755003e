"""Signs that a worker exists: its registration, and a process that listens at its address."""

from datetime import datetime

from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import WorkerNotListening
from mimosapoint.ports import Clock, Telemetry

__all__ = ["WorkerPresence"]


class WorkerPresence:
    """Follows whether a worker has left.

    ``is_registered`` tells whether the worker has a registration in the store, or had one a moment
    ago, ``is_absent`` whether the last read did not find it, and ``is_history_known`` whether the
    history of an absent registration was read. ``absence`` changes when the registration is found,
    so that it tells one absence from the next.

    :param worker: id of the worker.
    :param clock: clock of the owner.
    :param settings: time within which starts take effect.
    :param telemetry: receives an event when connections are refused.
    """

    def __init__(self, worker: str, clock: Clock, settings: CellSettings, telemetry: Telemetry):
        self.is_registered = True
        self.is_absent = False
        self.is_history_known = False
        self.absence = 0
        self._worker = worker
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._not_listening_since: datetime | None = None
        self._is_departure_proven = False

    def record_found(self) -> None:
        """Record that a read has found the registration."""
        self.is_registered, self.is_absent = True, False
        self.is_history_known = self._is_departure_proven = False
        self.absence += 1

    def record_history(self, has_left: bool, absence: int) -> None:
        """Record whether the history of the registration proves that the worker has left.

        :param has_left: whether it does.
        :param absence: number of the absence in which it was read, which may be over.
        """
        if absence == self.absence:
            self.is_history_known, self._is_departure_proven = True, has_left

    def record_reachable(self) -> None:
        """Record a reply, or another address, of which nothing is known."""
        self._not_listening_since = None

    def record_failure(self, error: Exception) -> None:
        """Record the error of a renewal."""
        if not isinstance(error, WorkerNotListening):
            self._not_listening_since = None
        elif self._not_listening_since is None:
            self._not_listening_since = self._clock.now()
            self._telemetry.event(
                "worker-not-listening", worker=self._worker, absent=self.is_absent
            )

    def has_left(self, now: datetime) -> bool:
        """Return whether the worker's process has ended, as its registration was removed for that.

        An absent registration and refused connections prove nothing, not even together: a worker
        that is cut off loses the one and may show the other. Starts that were on their way when the
        first connection was refused have no effect after the start window.
        """
        is_proven = self.is_absent and self._is_departure_proven
        if not is_proven or self._not_listening_since is None:
            return False
        return now - self._not_listening_since >= self._settings.start_window
