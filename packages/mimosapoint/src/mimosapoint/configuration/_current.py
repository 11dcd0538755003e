"""Newest configuration version known to a node and the time of its last confirmation."""

from collections.abc import Callable
from datetime import datetime, timedelta

import trio

from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.state import FORMAT, ConfigurationState
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.telemetry import Telemetry

__all__ = ["EMPTY_STATE", "CurrentConfiguration"]

EMPTY_STATE = ConfigurationState(FORMAT, 0, Configuration())
"""State of a store without a configuration."""


class CurrentConfiguration:
    """Newest known configuration state; an older state never replaces it.

    :param clock: clock of the node.
    :param telemetry: sink for log events and metrics.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry):
        self.state = EMPTY_STATE
        self.confirmed_at: datetime | None = None
        self._highest_known_version = 0
        self._clock = clock
        self._telemetry = telemetry
        self._installed = trio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration:
        """The version in force on this node."""
        return self.state.configuration

    @property
    def is_outdated(self) -> bool:
        """Whether a higher version is known to exist."""
        return self._highest_known_version > self.current.version

    def is_fresh(self, now: datetime, bound: timedelta) -> bool:
        """Return whether every version newer than the one in force is younger than the bound.

        This holds if the version in force was confirmed as current within the bound. Version 0
        and a version known to be outdated are never fresh.
        """
        if self.current.version == 0 or self.confirmed_at is None or self.is_outdated:
            return False
        return now - self.confirmed_at <= bound

    def on_install(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback for each version that comes into force."""
        self._callbacks.append(callback)

    async def wait_for(self, version: int, timeout: timedelta) -> bool:
        """Wait until the version or a higher one is in force; return whether it is."""
        with trio.move_on_after(timeout.total_seconds()):
            while self.current.version < version:
                await self._installed.wait()
        return self.current.version >= version

    def install(self, state: ConfigurationState) -> bool:
        """Install a state if it is newer; return whether a higher version came into force."""
        if state.order <= self.state.order:
            return False
        version_increased = state.configuration.version > self.current.version
        self.state = state
        if version_increased:
            self._notify_installed()
        return version_increased

    def note_version(self, version: int) -> bool:
        """Record that a version exists; return whether it is higher than all known ones."""
        if version <= max(self.current.version, self._highest_known_version):
            return False
        self._highest_known_version = version
        return True

    def confirm(self, at: datetime) -> None:
        """Record that no version newer than the one in force existed at a given time."""
        at = min(at, self._clock.now())
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def _notify_installed(self) -> None:
        version = self.current.version
        self._telemetry.event("configuration-installed", version=version)
        self._telemetry.gauge("configuration_version", version)
        self._installed.set()
        self._installed = trio.Event()
        for callback in self._callbacks:
            callback(self.current)
