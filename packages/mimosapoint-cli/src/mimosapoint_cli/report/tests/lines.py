"""Lines of logs and metrics for tests."""

import random
from datetime import datetime, timedelta

from mimosapoint.telemetry._log_format import format_line

__all__ = ["START", "hostile_lines", "line"]

START = datetime(2026, 3, 20, 9, 0, 0)


def line(seconds, event, /, **fields):
    """Return the line of an event some seconds after ``START``, as a node writes it."""
    time = (START + timedelta(seconds=seconds)).isoformat(timespec="milliseconds")
    return f"time={time} {format_line(event, {'node': 'node-1', **fields})}"


def hostile_lines(count):
    """Iterate over lines in which every field is new, so that all that grows with keys grows."""
    source = random.Random(5)
    for number in range(count // 10):
        name, at = f"{number:08x}" * 4, number * 86400 / (count // 10)
        fields = {"node": f"node-{name}", "job": name, "error": f"error-{name}"}
        yield line(at, "job-known", priority=name, **fields)
        yield line(at, "unit-started", run=name, tasks=2, waited=source.random(), **fields)
        yield line(at, "run-over", run=f"other-{name}", end=name, reason=name, percent=3, **fields)
        yield line(at, "unit-stopped", reason=name, priority=1, lost_core_seconds=3, **fields)
        yield line(at, "request-refused", status=503, detail=name, view_age=number, **fields)
        yield line(at, "store-lost", part=name, **fields)
        yield line(at, "worker-silent", worker=name, assignments=1, **fields)
        yield line(at, "cell-claimed", epoch=number, **fields)
        yield f'mimosapoint_cell_runs_over_total{{end="{name}",node="{name}"}} {number}'
        yield f"{name} is neither an event nor a metric"
