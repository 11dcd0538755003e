"""Registry of metrics, and the metrics of peer calls, membership and the VM list."""

from enum import Enum

import attrs

__all__ = ["Metric", "MetricKind", "declare_metric", "metrics_by_name"]

DURATION_BUCKETS_SECONDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 1000.0)
"""Upper bounds of the buckets of a histogram of durations, the default."""


class MetricKind(Enum):
    """Kind of a metric, as in Prometheus."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen
class Metric:
    """A declared metric.

    :param name: name without the common prefix and the ``_total`` of counters, in snake case.
    :param kind: kind of the metric.
    :param help: help text, shown with the values and in the reference.
    :param unit: unit of its values.
    :param labels: names of its labels.
    :param buckets: upper bounds of the buckets, in the unit, for a histogram.
    """

    name: str
    kind: MetricKind
    help: str
    unit: str = "1"
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = DURATION_BUCKETS_SECONDS


metrics_by_name: dict[str, Metric] = {}


def declare_metric(metric: Metric) -> Metric:
    """Add a metric to the registry and return it.

    :raises ValueError: the name is declared already with other properties.
    """
    if metrics_by_name.setdefault(metric.name, metric) != metric:
        raise ValueError(f"the metric {metric.name} is declared twice")
    return metric


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE
_HISTOGRAM = MetricKind.HISTOGRAM

for _metric in (
    Metric(
        "peer_calls",
        _COUNTER,
        "Calls to other nodes by outcome, an error code or ok.",
        "calls",
        ("message", "outcome"),
    ),
    Metric(
        "peer_serves",
        _COUNTER,
        "Calls of other nodes that were served.",
        "calls",
        ("message",),
    ),
    Metric(
        "peer_bytes",
        _COUNTER,
        "Bytes of messages and replies, without the transport's headers.",
        "bytes",
        ("message", "direction"),
    ),
    Metric(
        "peer_call_seconds",
        _HISTOGRAM,
        "Time from sending a message to its reply.",
        "seconds",
        ("message",),
    ),
    Metric("members_live", _GAUGE, "Nodes that are live, this one included.", "nodes"),
    Metric("members_known", _GAUGE, "Nodes that are known, live or not.", "nodes"),
    Metric("member_changes", _COUNTER, "Changes of the set of live nodes.", "changes"),
    Metric("vm_list_failures", _COUNTER, "Failed reads of the list of VMs.", "reads"),
    Metric("vm_list_age_seconds", _GAUGE, "Age of the list of VMs in use.", "seconds"),
):
    declare_metric(_metric)
