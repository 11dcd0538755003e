"""Settings of the entry."""

from datetime import timedelta

import attrs

__all__ = ["GatewaySettings"]


@attrs.frozen
class GatewaySettings:
    """Times of the entry.

    :param request_timeout: time for which a request is tried at the owner of its zone.
    :param call_timeout: bound of one call to an owner.
    :param watch_interval: time after which a waiting caller's job is asked for again.
    :param resubmit_interval: time between two tries to make an accepted job durable.
    :param max_non_durable_jobs: most accepted jobs that are not durable yet.
    """

    request_timeout: timedelta = timedelta(seconds=12)
    call_timeout: timedelta = timedelta(seconds=4)
    watch_interval: timedelta = timedelta(seconds=2)
    resubmit_interval: timedelta = timedelta(seconds=1)
    max_non_durable_jobs: int = 5000
