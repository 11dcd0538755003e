"""Dependencies of the request handlers."""

from collections.abc import Callable

import attrs
from mimosapoint.ports import Clock, JobApi, OperatorApi, Telemetry

from mimosapoint_node.http._concurrency import ConcurrencyLimiter
from mimosapoint_node.http.authentication import Authenticator
from mimosapoint_node.http.limits import HttpLimits

__all__ = ["Context"]


@attrs.frozen
class Context:
    """Ports and limits that are passed to every handler.

    :param jobs: port for operations of callers.
    :param operators: port for operations of operators.
    :param telemetry: logs, metrics and traces.
    :param limits: limits of the HTTP interface.
    :param clock: clock that measures the duration of requests.
    :param render_metrics: returns the metrics in the text format of Prometheus.
    :param authenticator: identifies the caller of a request.
    :param in_flight: limit on concurrent requests.
    :param waiting: limit on requests that wait for the outcome of a job.
    """

    jobs: JobApi
    operators: OperatorApi
    telemetry: Telemetry
    limits: HttpLimits
    clock: Clock
    render_metrics: Callable[[], bytes]
    authenticator: Authenticator
    in_flight: ConcurrencyLimiter
    waiting: ConcurrencyLimiter
