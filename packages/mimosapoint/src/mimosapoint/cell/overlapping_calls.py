"""Calls to a store that does not reply, each of which does not wait for the one before."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import MimosapointError, StoreTimeout, StoreUnavailable

__all__ = ["call_until_reply"]

T = TypeVar("T")


async def call_until_reply(
    call: Callable[[], Awaitable[T]],
    settings: CellSettings,
    on_failure: Callable[[MimosapointError], None],
) -> T:
    """Repeat a call that only reads, at an interval, and return the first reply.

    A store that is away silently never replies to what was sent before its return, so that one call
    at a time would notice the return up to a timeout late.

    :param call: makes one call.
    :param settings: interval of the calls, and how many may be outstanding.
    :param on_failure: called for each failed call while others are outstanding.
    :raises StoreUnavailable: the only outstanding call failed at once, as in a refusal.
    :raises StoreTimeout: the only outstanding call had no usable reply.
    """
    replies: list[T] = []
    errors: list[Exception] = []
    outstanding = 0

    async def attempt() -> None:
        nonlocal outstanding
        outstanding += 1
        try:
            replies.append(await call())
        except Exception as error:
            outstanding -= 1
            if outstanding and isinstance(error, StoreUnavailable | StoreTimeout):
                on_failure(error)
                return
            errors.append(error)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        while True:
            if outstanding < settings.max_probes:
                nursery.start_soon(attempt)
            await trio.sleep(settings.probe_interval.total_seconds())
    if replies:
        return replies[0]
    raise errors[0]
