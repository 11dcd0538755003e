"""Settings of the gateway."""

from datetime import timedelta

import attrs

__all__ = ["GatewaySettings"]


@attrs.frozen
class GatewaySettings:
    """Timeouts, intervals and limits of the gateway.

    :param request_timeout: timeout of a request to a zone owner, including retries.
    :param call_timeout: timeout of one call to a zone owner.
    :param watch_interval: longest time between watches of a job that a caller waits for.
    :param resubmit_interval: time between rounds of resubmitting jobs that are not durable.
    :param max_non_durable_jobs: limit of accepted jobs that are not durable yet.
    """

    request_timeout: timedelta = timedelta(seconds=12)
    call_timeout: timedelta = timedelta(seconds=4)
    watch_interval: timedelta = timedelta(seconds=2)
    resubmit_interval: timedelta = timedelta(seconds=1)
    max_non_durable_jobs: int = 5000
