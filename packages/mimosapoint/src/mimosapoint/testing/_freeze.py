"""Wrappers of a node's ports and clock that can be frozen to simulate a process pause."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import trio

from mimosapoint.ports import Clock

__all__ = ["FreezeControl", "FreezableClock", "FreezablePort"]


class FreezeControl:
    """Frozen or thawed state of a node, shared by its ports and its clock.

    :ivar actions_before_call: callbacks by method name; each runs once, before the next call of
        that method on a port.
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
        """Suspend calls and their replies from now on."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Resume suspended calls and replies."""
        self._thawed.set()

    async def wait(self) -> None:
        """Wait until the node is not frozen."""
        await self._thawed.wait()


class FreezablePort:
    """Port whose calls and replies wait while the node is frozen.

    :param port: the wrapped port.
    :param freeze_control: frozen state of the node.
    :ivar error: error that every call raises while it is set, to simulate a partition.
    :ivar errors_by_target: the same for calls whose first argument is the key.
    """

    def __init__(self, port: Any, freeze_control: FreezeControl):
        self.error: Exception | None = None
        self.errors_by_target: dict[object, Exception] = {}
        self._port = port
        self._freeze_control = freeze_control

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._port, name)

        async def call(*args: Any) -> Any:
            action = self._freeze_control.actions_before_call.pop(name, None)
            if action is not None:
                action()
            await self._freeze_control.wait()
            error = self.error
            if self.errors_by_target and error is None:
                error = self.errors_by_target.get(args[0])
            if error is not None:
                await trio.lowlevel.checkpoint()
                raise error
            try:
                return await method(*args)
            finally:
                await self._freeze_control.wait()

        return call


class FreezableClock:
    """Clock whose sleeping tasks do not wake while the node is frozen.

    :param clock: the wrapped clock.
    :param freeze_control: frozen state of the node.
    """

    def __init__(self, clock: Clock, freeze_control: FreezeControl):
        self._clock = clock
        self._freeze_control = freeze_control

    def now(self) -> datetime:
        """Return the time in UTC."""
        return self._clock.now()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration, then until the node is not frozen."""
        await self._clock.sleep(duration)
        await self._freeze_control.wait()
