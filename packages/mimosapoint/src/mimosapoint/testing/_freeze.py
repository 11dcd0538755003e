"""Ports of a node that can be frozen."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import trio

from mimosapoint.ports import Clock

__all__ = ["FreezeControl", "FreezableClock", "FreezablePort"]


class FreezeControl:
    """Whether a node is frozen.

    :ivar actions_before_call: what to do once, before the next call of a name.
    """

    def __init__(self) -> None:
        self.actions_before_call: dict[str, Callable[[], None]] = {}
        self._thawed = trio.Event()
        self._thawed.set()

    @property
    def thawed(self) -> bool:
        """Whether the node is not frozen."""
        return self._thawed.is_set()

    def freeze(self) -> None:
        """Hold calls and their replies."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Let what was held go on."""
        self._thawed.set()

    async def wait(self) -> None:
        """Wait while frozen."""
        await self._thawed.wait()


class FreezablePort:
    """Any port, whose calls and replies wait while the node is frozen.

    :ivar error: what every call raises while the node is cut off from the port's other side.
    """

    def __init__(self, port: Any, pause: FreezeControl):
        self.error: Exception | None = None
        self._port = port
        self._pause = pause

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._port, name)

        async def call(*args: Any) -> Any:
            action = self._pause.actions_before_call.pop(name, None)
            if action is not None:
                action()
            await self._pause.wait()
            if self.error is not None:
                await trio.lowlevel.checkpoint()
                raise self.error
            try:
                return await method(*args)
            finally:
                await self._pause.wait()

        return call


class FreezableClock:
    """Clock whose sleepers do not wake while the node is frozen."""

    def __init__(self, clock: Clock, pause: FreezeControl):
        self._clock = clock
        self._pause = pause

    def now(self) -> datetime:
        """Return the time in UTC."""
        return self._clock.now()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration, and then while frozen."""
        await self._clock.sleep(duration)
        await self._pause.wait()
