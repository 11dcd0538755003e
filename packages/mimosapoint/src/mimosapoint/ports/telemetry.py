"""Port to logs, metrics and traces."""

from contextlib import AbstractContextManager
from typing import Protocol

__all__ = ["Span", "Telemetry"]


class Span(Protocol):
    """Span of a trace."""

    @property
    def context(self) -> str:
        """Trace context in the form of the ``traceparent`` header."""
        ...

    def set(self, key: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span."""
        ...


class Telemetry(Protocol):
    """Sink for log lines, metrics and spans."""

    def event(self, name: str, /, **fields: object) -> None:
        """Log one event with its fields as key=value pairs.

        :param name: event name in kebab case.
        """
        ...

    def count(self, name: str, amount: int = 1, /, **labels: str) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float, /, **labels: str) -> None:
        """Set a gauge."""
        ...

    def observe(self, name: str, value: float, /, **labels: str) -> None:
        """Add an observation to a histogram."""
        ...

    def span(self, name: str, parent: str | None = None) -> AbstractContextManager[Span]:
        """Open a span.

        :param parent: trace context that the caller sent; ``None`` when it sent none.
        """
        ...
