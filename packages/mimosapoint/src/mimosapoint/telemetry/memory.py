"""Telemetry in memory, for tests."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from itertools import count

import attrs

from mimosapoint.ports import Span
from mimosapoint.telemetry._trace_context import parse_traceparent
from mimosapoint.telemetry.events import events_by_name
from mimosapoint.telemetry.metrics import metrics_by_name

__all__ = ["MemoryEvent", "MemorySpan", "MemoryTelemetry"]


@attrs.frozen
class MemoryEvent:
    """A logged event.

    :param name: name of the event.
    :param fields: its fields.
    """

    name: str
    fields: dict[str, object]


@attrs.define
class MemorySpan:
    """A recorded span.

    :param name: name of the span.
    :param trace_id: id of the trace, in hexadecimal.
    :param span_id: id of the span, in hexadecimal.
    :param parent: trace context of the parent span; ``None`` for a root span.
    :param attributes: attributes of the span.
    :param ended: whether the span has ended.
    """

    name: str
    trace_id: str
    span_id: str
    parent: str | None = None
    attributes: dict[str, object] = attrs.field(factory=dict)
    ended: bool = False

    @property
    def context(self) -> str:
        """Trace context in the form of the ``traceparent`` header."""
        return f"00-{self.trace_id}-{self.span_id}-01"

    def set(self, key: str, value: str | int | float | bool) -> None:
        """Attach an attribute."""
        self.attributes[key] = value


class MemoryTelemetry:
    """Telemetry that records events, metrics and spans.

    :param strict: raise on a metric or event that is not declared.
    :ivar events: events in order.
    :ivar counts_by_name: counter values by name, summed over the labels.
    :ivar counts_by_labels: counter values by name and sorted labels.
    :ivar gauges_by_name: last values of gauges, whatever the labels.
    :ivar observations_by_name: observed values of histograms, whatever the labels.
    :ivar spans: spans in the order of their start.
    """

    def __init__(self, strict: bool = False) -> None:
        self._strict = strict
        self._span_numbers = count(1)
        self._current: ContextVar[str | None] = ContextVar("span", default=None)
        self.events: list[MemoryEvent] = []
        self.counts_by_name: Counter[str] = Counter()
        self.counts_by_labels: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self.gauges_by_name: dict[str, float] = {}
        self.observations_by_name: dict[str, list[float]] = {}
        self.spans: list[MemorySpan] = []

    def event(self, name: str, /, **fields: object) -> None:
        """Record an event."""
        self._check_declared(name, events_by_name)
        self.events.append(MemoryEvent(name, fields))

    def count(self, name: str, amount: int = 1, /, **labels: str) -> None:
        """Add to a counter."""
        self._check_declared(name, metrics_by_name)
        self.counts_by_name[name] += amount
        self.counts_by_labels[name, tuple(sorted(labels.items()))] += amount

    def gauge(self, name: str, value: float, /, **labels: str) -> None:
        """Set a gauge."""
        self._check_declared(name, metrics_by_name)
        self.gauges_by_name[name] = value

    def observe(self, name: str, value: float, /, **labels: str) -> None:
        """Record an observation."""
        self._check_declared(name, metrics_by_name)
        self.observations_by_name.setdefault(name, []).append(value)

    @contextmanager
    def span(self, name: str, parent: str | None = None) -> Iterator[Span]:
        """Record a span, as a child of the caller's span or of the current span."""
        parent_context = parent if parse_traceparent(parent) else self._current.get()
        number = next(self._span_numbers)
        trace_id = parent_context.split("-")[1] if parent_context else f"{number:032x}"
        span = MemorySpan(name, trace_id, f"{number:016x}", parent_context)
        self.spans.append(span)
        token = self._current.set(span.context)
        try:
            yield span
        finally:
            self._current.reset(token)
            span.ended = True

    def event_names(self) -> list[str]:
        """Return the names of the events in order."""
        return [event.name for event in self.events]

    def _check_declared(self, name: str, declared: dict) -> None:
        if self._strict and name not in declared:
            raise LookupError(f"{name} is not declared")
