"""Span exporters: JSON lines in a file, or events in the log."""

import logging
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

from mimosapoint.codec import to_json
from mimosapoint.telemetry._log_format import format_line

__all__ = ["JsonLinesExporter", "LogSpanExporter", "make_batch_processor"]

NANOSECONDS_PER_SECOND = 1_000_000_000


class JsonLinesExporter(SpanExporter):
    """Exporter that appends one JSON line per span to a file.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append spans to the file and flush it."""
        self._file.writelines(to_json(_span_fields(span)) + b"\n" for span in spans)
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class LogSpanExporter(SpanExporter):
    """Exporter that logs one event per span, for VMs without a disk."""

    def __init__(self) -> None:
        self._logger = logging.getLogger("mimosapoint")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log one ``span`` event for each span."""
        for span in spans:
            fields = _span_fields(span)
            attributes = fields.pop("attributes")
            self._logger.info(format_line("span", {**fields, **attributes}))
        return SpanExportResult.SUCCESS


def make_batch_processor(exporter: SpanExporter) -> SpanProcessor:
    """Return a processor that exports spans in batches, outside the event loop."""
    return BatchSpanProcessor(exporter)


def _span_fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    start, end = span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "trace": f"{context.trace_id:032x}",
        "span": f"{context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else None,
        "node": span.resource.attributes.get("service.instance.id"),
        "start": start / NANOSECONDS_PER_SECOND,
        "seconds": (end - start) / NANOSECONDS_PER_SECOND,
        "attributes": dict(span.attributes or {}),
    }
