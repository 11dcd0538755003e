"""Trace context in the form of the W3C ``traceparent`` header."""

from opentelemetry.trace import SpanContext, TraceFlags

__all__ = ["format_traceparent", "parse_traceparent"]

TRACEPARENT_VERSION = "00"


def format_traceparent(context: SpanContext) -> str:
    """Return the header value of a span context."""
    flags = int(context.trace_flags)
    return f"{TRACEPARENT_VERSION}-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"


def parse_traceparent(text: str | None) -> SpanContext | None:
    """Return the span context of a header value, or ``None`` if it is absent or malformed."""
    parts = (text or "").split("-")
    if len(parts) < 4 or [len(part) for part in parts[:4]] != [2, 32, 16, 2]:
        return None
    try:
        trace_id, span_id, flags = (int(part, 16) for part in parts[1:4])
    except ValueError:
        return None
    context = SpanContext(trace_id, span_id, is_remote=True, trace_flags=TraceFlags(flags))
    return context if context.is_valid else None
