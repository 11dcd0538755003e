"""Bounds of the HTTP interface."""

from datetime import timedelta

import attrs

__all__ = ["HttpLimits"]


@attrs.frozen
class HttpLimits:
    """Bounds that keep one caller from taking a node away from the others.

    :param body_bytes: largest body of a request.
    :param header_bytes: largest set of headers of a request.
    :param connections: most connections at once; further ones are closed.
    :param in_flight: most requests at once; further ones are refused.
    :param waiting: most requests that wait for an answer at once.
    :param wait: longest wait that a caller may ask for.
    :param body_time: time in which the whole body has to arrive.
    :param idle_time: time after which an idle connection is closed.
    :param send_time: longest time that a caller may take for 64 KiB of a reply.
    :param shutdown_time: time that requests in progress get at shutdown; above ``wait``.
    """

    body_bytes: int = 256 * 1024
    header_bytes: int = 16 * 1024
    connections: int = 2000
    in_flight: int = 1000
    waiting: int = 800
    wait: timedelta = timedelta(seconds=60)
    body_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=30)
    send_time: timedelta = timedelta(seconds=20)
    shutdown_time: timedelta = timedelta(seconds=75)
