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
    :param max_waiting: maximum number of requests that wait for the outcome of a job; further ones
        are refused.
    :param max_wait: maximum wait that a caller may request.
    :param body_timeout: timeout for receiving the whole body.
    :param idle_timeout: time after which an idle connection is closed.
    :param send_timeout: timeout for sending 64 KiB of a reply.
    :param shutdown_timeout: time that requests in progress have to finish at shutdown, above
        ``max_wait``.
    """

    body_bytes: int = 256 * 1024
    header_bytes: int = 16 * 1024
    connections: int = 2000
    in_flight: int = 1000
    max_waiting: int = 800
    max_wait: timedelta = timedelta(seconds=60)
    body_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=30)
    send_timeout: timedelta = timedelta(seconds=20)
    shutdown_timeout: timedelta = timedelta(seconds=75)
