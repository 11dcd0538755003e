"""Print the tables of metrics and log events for the documentation: ``python -m tools.docs``."""

from mimosapoint.telemetry import (
    METRIC_PREFIX,
    Metric,
    MetricKind,
    events_by_name,
    metrics_by_name,
)

__all__ = ["event_table", "metric_table"]

COUNTER_SUFFIX = "_total"


def metric_table() -> str:
    """Return a Markdown table of all metrics, sorted by the name under which they are exported."""
    rows = sorted(_metric_row(metric) for metric in metrics_by_name.values())
    return "\n".join(
        ("| Metric | Kind | Unit | Labels | Meaning |", "|---|---|---|---|---|", *rows)
    )


def _metric_row(metric: Metric) -> str:
    name = METRIC_PREFIX + metric.name
    if metric.kind is MetricKind.COUNTER and not name.endswith(COUNTER_SUFFIX):
        name += COUNTER_SUFFIX
    labels = ", ".join(f"`{label}`" for label in metric.labels)
    return f"| `{name}` | {metric.kind.value} | {metric.unit} | {labels} | {metric.help} |"


def event_table() -> str:
    """Return a Markdown table of all log events, sorted by name."""
    rows = [f"| `{name}` | {meaning} |" for name, meaning in sorted(events_by_name.items())]
    return "\n".join(("| Event | Meaning |", "|---|---|", *rows))


def main() -> None:
    """Print both tables."""
    print(metric_table())
    print()
    print(event_table())


if __name__ == "__main__":
    main()
