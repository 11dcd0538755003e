"""Freshness of data that is read from the store."""

from datetime import datetime, timedelta

from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock

__all__ = ["Freshness"]


class Freshness:
    """Time since data was last confirmed to be current.

    :param clock: clock of the node.
    :param settings: freshness bound and retry delay.
    """

    def __init__(self, clock: Clock, settings: CellSettings):
        self._clock = clock
        self._settings = settings
        self._confirmed_at: datetime | None = None

    @property
    def age(self) -> timedelta | None:
        """Time since the last confirmation; ``None`` before the first."""
        return None if self._confirmed_at is None else self._clock.now() - self._confirmed_at

    def confirm(self, at: datetime) -> None:
        """Record that the data was current at a time."""
        self._confirmed_at = at

    def confirm_watched(self, requested_at: datetime, transfer_time: timedelta) -> None:
        """Record that the answer to a watch has arrived; an empty one confirms the data too.

        The data was current when the answer was sent, which is assumed to be at most
        ``retry_delay`` before its first byte arrived.

        :param requested_at: time at which the watch was sent.
        :param transfer_time: time from the first byte of the answer to its last.
        """
        sent_at = self._clock.now() - transfer_time - self._settings.retry_delay
        self.confirm(max(requested_at, sent_at))

    def is_fresh(self) -> bool:
        """Return whether the data was confirmed within the freshness bound."""
        age = self.age
        return age is not None and age <= self._settings.freshness_bound
