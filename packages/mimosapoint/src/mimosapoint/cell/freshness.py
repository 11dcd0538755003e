"""How lately something in the store was known to be the newest."""

from datetime import datetime, timedelta

from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock

__all__ = ["Freshness"]


class Freshness:
    """Age of what was read.

    :param clock: clock of the node.
    :param settings: the longest age at which it may be acted on.
    """

    def __init__(self, clock: Clock, settings: CellSettings):
        self._clock = clock
        self._settings = settings
        self._confirmed_at: datetime | None = None

    @property
    def age(self) -> timedelta | None:
        """Time since it was last known to be the newest; ``None`` before the first."""
        return None if self._confirmed_at is None else self._clock.now() - self._confirmed_at

    def confirm(self, at: datetime) -> None:
        """Note that it was the newest at that time."""
        self._confirmed_at = at

    def is_fresh(self) -> bool:
        """Tell whether it may be acted on."""
        age = self.age
        return age is not None and age <= self._settings.freshness_bound
