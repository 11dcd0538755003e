"""What the handlers of requests work with."""

from collections.abc import Callable

import attrs
from mimosapoint.ports import Clock, JobApi, OperatorApi, Telemetry

from mimosapoint_node.http._gate import Gate
from mimosapoint_node.http.authentication import Authenticator
from mimosapoint_node.http.limits import HttpLimits

__all__ = ["Context"]


@attrs.frozen
class Context:
    """Ports and bounds that every handler gets.

    :param jobs: what callers may ask for.
    :param operators: what operators may ask for.
    :param telemetry: logs, metrics and traces.
    :param limits: bounds of the interface.
    :param clock: clock that request times are taken from.
    :param render_metrics: returns the metrics page.
    :param authenticator: tells who sent a request.
    :param in_flight: bound on requests at once.
    :param waiting: bound on requests that wait for an answer.
    """

    jobs: JobApi
    operators: OperatorApi
    telemetry: Telemetry
    limits: HttpLimits
    clock: Clock
    render_metrics: Callable[[], bytes]
    authenticator: Authenticator
    in_flight: Gate
    waiting: Gate
