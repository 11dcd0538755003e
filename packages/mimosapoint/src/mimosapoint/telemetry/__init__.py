"""Logs, metrics and traces."""

from mimosapoint.telemetry import (  # noqa: F401 (fill the registries)
    _cell_declarations,
    _node_declarations,
)
from mimosapoint.telemetry.core import METRIC_PREFIX, LogTelemetry, OpenTelemetrySpan
from mimosapoint.telemetry.events import declare_event, events_by_name
from mimosapoint.telemetry.exporter import JsonLinesExporter, LogSpanExporter
from mimosapoint.telemetry.memory import MemoryEvent, MemorySpan, MemoryTelemetry
from mimosapoint.telemetry.metrics import Metric, MetricKind, declare_metric, metrics_by_name

__all__ = [
    "METRIC_PREFIX",
    "JsonLinesExporter",
    "LogSpanExporter",
    "OpenTelemetrySpan",
    "LogTelemetry",
    "MemoryEvent",
    "MemorySpan",
    "MemoryTelemetry",
    "Metric",
    "MetricKind",
    "declare_event",
    "declare_metric",
    "events_by_name",
    "metrics_by_name",
]
