"""Permission to start tasks in an availability zone."""

from datetime import timedelta
from typing import Protocol

from mimosapoint.configuration import Configuration, ZoneMode
from mimosapoint.ports import Clock

__all__ = ["FreshConfiguration", "StartGate"]

CHECK_INTERVAL = timedelta(milliseconds=50)


class FreshConfiguration(Protocol):
    """The configuration, and whether it is known to be the newest."""

    @property
    def current(self) -> Configuration:
        """The version in force here."""
        ...

    def fresh(self, now: object) -> bool:
        """Whether the version was known to be the newest a short time ago."""
        ...


class StartGate:
    """Tells whether a task may start now.

    Together with the short life of a reservation it bounds the time between the withdrawal of an
    availability zone and the last start there, also when the owner is paused in between.

    :param zone: id of the availability zone.
    """

    def __init__(self, zone: str, configuration: FreshConfiguration, clock: Clock):
        self._zone = zone
        self._configuration = configuration
        self._clock = clock

    @property
    def version(self) -> int:
        """Version of the configuration that permissions are given by."""
        return self._configuration.current.version

    def in_service(self) -> bool:
        """Whether the zone is in service by the version in force here."""
        zone = self._configuration.current.zones_by_id.get(self._zone)
        return zone is not None and zone.mode is ZoneMode.IN_SERVICE

    def is_open(self) -> bool:
        """Whether the zone is in service by a version that is known to be the newest."""
        return self.in_service() and self._configuration.fresh(self._clock.now())

    async def wait_open(self, timeout: timedelta) -> bool:
        """Wait for the permission; tell whether it came within the bound."""
        deadline = self._clock.now() + timeout
        while not self.is_open():
            if not self.in_service() or self._clock.now() >= deadline:
                return False
            await self._clock.sleep(CHECK_INTERVAL)
        return True
