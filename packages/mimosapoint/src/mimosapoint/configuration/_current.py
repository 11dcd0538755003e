"""The newest version that a node knows, and how lately it was known to be the newest."""

from collections.abc import Callable
from datetime import datetime, timedelta

import trio

from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.state import FORMAT, ConfigurationState
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.telemetry import Telemetry

__all__ = ["EMPTY_STATE", "CurrentConfiguration"]

EMPTY_STATE = ConfigurationState(FORMAT, 0, Configuration())
"""State of a store that holds no configuration."""


class CurrentConfiguration:
    """Holds a state that never falls.

    :param clock: clock of the node.
    :param telemetry: where events go.
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
        """The version in force here."""
        return self.state.configuration

    @property
    def outdated(self) -> bool:
        """Whether a higher version is known to exist."""
        return self._highest_known_version > self.current.version

    def is_fresh(self, now: datetime, bound: timedelta) -> bool:
        """Tell whether every newer version is younger than the bound."""
        if self.current.version == 0 or self.confirmed_at is None or self.outdated:
            return False
        return now - self.confirmed_at <= bound

    def on_install(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with every version that comes into force."""
        self._callbacks.append(callback)

    async def wait_for(self, version: int, timeout: timedelta) -> bool:
        """Wait until the version or a higher one is in force; return whether it is."""
        with trio.move_on_after(timeout.total_seconds()):
            while self.current.version < version:
                await self._installed.wait()
        return self.current.version >= version

    def install(self, state: ConfigurationState) -> bool:
        """Take a state if it is newer; return whether a higher version came into force."""
        if state.order <= self.state.order:
            return False
        rises = state.configuration.version > self.current.version
        self.state = state
        if rises:
            self._notify()
        return rises

    def note_version(self, version: int) -> bool:
        """Learn that a version exists; return whether that is news of a higher one."""
        if version <= max(self.current.version, self._highest_known_version):
            return False
        self._highest_known_version = version
        return True

    def confirm(self, at: datetime) -> None:
        """Learn that no version newer than the one in force existed at a time."""
        at = min(at, self._clock.now())
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def _notify(self) -> None:
        version = self.current.version
        self._telemetry.event("configuration-installed", version=version)
        self._telemetry.gauge("configuration_version", version)
        self._installed.set()
        self._installed = trio.Event()
        for callback in self._callbacks:
            callback(self.current)
