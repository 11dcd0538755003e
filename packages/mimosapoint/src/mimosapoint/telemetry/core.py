"""Telemetry over ``logging``, ``aioprometheus`` and ``opentelemetry``."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ALWAYS_ON

from mimosapoint.ports import Span
from mimosapoint.telemetry._log_format import format_line
from mimosapoint.telemetry._trace_context import format_traceparent, parse_traceparent
from mimosapoint.telemetry.events import events_by_name
from mimosapoint.telemetry.exporter import JsonLinesExporter, make_batch_processor
from mimosapoint.telemetry.metrics import Metric, MetricKind, metrics_by_name

__all__ = ["LogTelemetry", "OpenTelemetrySpan", "METRIC_PREFIX"]

METRIC_PREFIX = "mimosapoint_"

COUNTER_SUFFIX = "_total"
"""Suffix of every counter's name in the Prometheus text format."""


class OpenTelemetrySpan:
    """Adapter of an OpenTelemetry span to :class:`~mimosapoint.ports.Span`."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    @property
    def context(self) -> str:
        """Trace context in the form of the ``traceparent`` header."""
        return format_traceparent(self._span.get_span_context())

    def set(self, key: str, value: str | int | float | bool) -> None:
        """Attach an attribute."""
        self._span.set_attribute(key, value)


class LogTelemetry:
    """Telemetry that logs events, keeps metrics in a registry and exports spans.

    :param node: id of the node, a field of every event and span.
    :param spans: file for spans, as JSON lines; without it and an exporter, trace contexts are
        propagated but no span is recorded.
    :param exporter: exporter to use instead of the file.
    :param strict: raise on a metric or event that is not declared.
    """

    def __init__(
        self,
        node: str,
        spans: Path | None = None,
        exporter: SpanExporter | None = None,
        strict: bool = False,
    ) -> None:
        self._node = node
        self._strict = strict
        self._logger = logging.getLogger("mimosapoint")
        self._registry = Registry()
        self._collectors_by_name: dict[str, Counter | Gauge | Histogram] = {}
        self._undeclared: set[str] = set()
        if exporter is None and spans is not None:
            exporter = JsonLinesExporter(spans)
        self._provider = _make_provider(node, exporter)
        self._tracer = self._provider.get_tracer("mimosapoint")

    def event(self, name: str, /, **fields: object) -> None:
        """Log one event as key=value pairs."""
        if name not in events_by_name:
            self._report_undeclared(name)
        if self._logger.isEnabledFor(logging.INFO):
            self._logger.info(format_line(name, {**fields, "node": self._node}))

    def count(self, name: str, amount: int = 1, /, **labels: str) -> None:
        """Add to a counter."""
        self._collector(name, MetricKind.COUNTER, labels).add(labels, amount)

    def gauge(self, name: str, value: float, /, **labels: str) -> None:
        """Set a gauge."""
        self._collector(name, MetricKind.GAUGE, labels).set(labels, value)

    def observe(self, name: str, value: float, /, **labels: str) -> None:
        """Add an observation to a histogram."""
        self._collector(name, MetricKind.HISTOGRAM, labels).observe(labels, value)

    @contextmanager
    def span(self, name: str, parent: str | None = None) -> Iterator[Span]:
        """Open a span, as a child of the caller's span or of the current span.

        :param parent: ``traceparent`` header of the caller; a malformed one is ignored.
        """
        remote = parse_traceparent(parent)
        context = None
        if remote is not None:
            context = trace.set_span_in_context(trace.NonRecordingSpan(remote))
        with self._tracer.start_as_current_span(name, context) as span:
            yield OpenTelemetrySpan(span)

    def render(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        content, _ = render(self._registry, [])
        return content

    def close(self) -> None:
        """Export the buffered spans and shut the exporter down."""
        self._provider.shutdown()

    def _collector(self, name: str, kind: MetricKind, labels: dict[str, str]):
        collector = self._collectors_by_name.get(name)
        if collector is None:
            collector = self._make_collector(name, kind, labels)
            self._collectors_by_name[name] = collector
        return collector

    def _make_collector(self, name: str, kind: MetricKind, labels: dict[str, str]):
        metric = metrics_by_name.get(name)
        if metric is None:
            self._report_undeclared(name)
            metric = Metric(name, kind, name, labels=tuple(labels))
        help_text = f"{metric.help} Unit: {metric.unit}."
        full_name = METRIC_PREFIX + name
        if kind is MetricKind.COUNTER and not name.endswith(COUNTER_SUFFIX):
            full_name += COUNTER_SUFFIX
        if kind is MetricKind.COUNTER:
            return Counter(full_name, help_text, registry=self._registry)
        if kind is MetricKind.GAUGE:
            return Gauge(full_name, help_text, registry=self._registry)
        buckets = [*metric.buckets, float("inf")]
        return Histogram(full_name, help_text, registry=self._registry, buckets=buckets)

    def _report_undeclared(self, name: str) -> None:
        if self._strict:
            raise LookupError(f"{name} is not declared")
        if name not in self._undeclared:
            self._undeclared.add(name)
            self.event("undeclared-name", used=name)


def _make_provider(node: str, exporter: SpanExporter | None) -> TracerProvider:
    sampler = ALWAYS_OFF if exporter is None else ALWAYS_ON
    resource = Resource({"service.name": "mimosapoint", "service.instance.id": node})
    provider = TracerProvider(sampler=sampler, resource=resource, shutdown_on_exit=False)
    if exporter is not None:
        provider.add_span_processor(make_batch_processor(exporter))
    return provider
