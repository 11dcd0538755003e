"""Cancellation of calls whose caller disconnects."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from mimosapoint_node.http.message import Request

__all__ = ["CallerDisconnected", "unless_disconnected"]

T = TypeVar("T")


class CallerDisconnected(Exception):
    """The caller has closed its connection, so no reply can be sent."""


async def unless_disconnected(request: Request, call: Callable[[], Awaitable[T]]) -> T:
    """Return the call's result; cancel the call when the caller disconnects.

    :raises CallerDisconnected: the caller disconnected before the call ended.
    """
    results: list[T] = []
    errors: list[Exception] = []

    async def run() -> None:
        try:
            results.append(await call())
        except Exception as error:
            errors.append(error)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await request.disconnected()
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    if not results:
        raise CallerDisconnected
    return results[0]
