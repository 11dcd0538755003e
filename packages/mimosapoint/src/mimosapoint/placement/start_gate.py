"""Check whether tasks may be started in an availability zone."""

from datetime import timedelta
from typing import Protocol

from mimosapoint.configuration import Configuration, ZoneMode
from mimosapoint.ports import Clock

__all__ = ["FreshConfiguration", "StartGate"]

CHECK_INTERVAL = timedelta(milliseconds=50)


class FreshConfiguration(Protocol):
    """The configuration in force on this node and its freshness."""

    @property
    def current(self) -> Configuration:
        """The configuration in force on this node."""
        ...

    def is_fresh(self, now: object) -> bool:
        """Return whether the version was confirmed as the latest within the freshness bound."""
        ...


class StartGate:
    """Allows starts only while the zone is in service by a fresh configuration.

    Together with the short TTL of task reservations this bounds the time between the withdrawal
    of a zone and the last start in it, even if the owner's process is paused in between.

    :param zone: id of the availability zone.
    """

    def __init__(self, zone: str, configuration: FreshConfiguration, clock: Clock):
        self._zone = zone
        self._configuration = configuration
        self._clock = clock

    @property
    def version(self) -> int:
        """Version of the configuration in force on this node."""
        return self._configuration.current.version

    def in_service(self) -> bool:
        """Return whether the zone is in service by the configuration in force."""
        zone = self._configuration.current.zones_by_id.get(self._zone)
        return zone is not None and zone.mode is ZoneMode.IN_SERVICE

    def is_open(self) -> bool:
        """Return whether the zone is in service and the configuration is fresh."""
        return self.in_service() and self._configuration.is_fresh(self._clock.now())

    async def wait_open(self, timeout: timedelta) -> bool:
        """Wait until the gate is open.

        :returns: whether it opened before the timeout; ``False`` at once if the zone is out of
            service.
        """
        deadline = self._clock.now() + timeout
        while not self.is_open():
            if not self.in_service() or self._clock.now() >= deadline:
                return False
            await self._clock.sleep(CHECK_INTERVAL)
        return True
