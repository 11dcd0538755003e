"""Limits of the HTTP interface."""

from datetime import timedelta

import attrs

__all__ = ["HttpLimits"]


@attrs.frozen
class HttpLimits:
    """Limits that prevent one caller from exhausting a node.

    :param body_bytes: maximum size of a request body.
    :param header_bytes: maximum size of all headers of a request.
    :param connections: maximum number of connections; further ones are closed.
    :param in_flight: maximum number of concurrent requests; further ones are refused.
    :param waiting: maximum number of requests that wait for the outcome of a job; further ones
        are refused.
    :param wait: maximum wait that a caller may request.
    :param body_time: timeout for receiving the whole body.
    :param idle_time: time after which an idle connection is closed.
    :param send_time: timeout for sending 64 KiB of a reply.
    :param shutdown_time: time that requests in progress have to finish at shutdown, above
        ``wait``.
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
