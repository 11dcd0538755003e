"""Handling of unexpected errors: they are logged, and end as little as possible."""

import traceback
from collections.abc import Awaitable, Callable

import trio

from mimosapoint.ports import Telemetry

__all__ = ["format_traceback", "keep_running"]

MAX_TRACEBACK_CHARACTERS = 3000
"""Length to which a logged traceback is cut; its end is kept."""

RESTART_SECONDS = 1.0
"""Delay before a part that ended with an error runs again; an error that repeats itself thus costs
little processor time."""


def format_traceback(error: BaseException) -> str:
    """Return the end of the traceback of an error, for a log line."""
    return "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:]


async def keep_running(part: str, run: Callable[[], Awaitable[None]], telemetry: Telemetry) -> None:
    """Run a part of a node, again after each unexpected error, until it returns.

    :param part: name of the part.
    :param run: runs the part.
    :param telemetry: receives an event for each error.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            telemetry.event("part-fault", part=part, trace=format_traceback(error))
            telemetry.count("cell_unexpected_errors", part=part)
        await trio.sleep(RESTART_SECONDS)
