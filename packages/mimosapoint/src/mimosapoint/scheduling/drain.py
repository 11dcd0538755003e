"""Order in which a withdrawn zone stops its running gangs."""

from datetime import datetime

from mimosapoint.model import JobRecord, JobState
from mimosapoint.scheduling.view import ZoneView

__all__ = ["drain_order"]


def _remaining(record: JobRecord, now: datetime) -> float:
    """Return the seconds left of the declared run time, at least the seconds run so far."""
    run = (now - record.started_at).total_seconds() if record.started_at else 0.0
    return max(record.request.run_time - record.progress - run, run)


def drain_order(view: ZoneView) -> list[str]:
    """Return the ids of running jobs, in the order in which they benefit from an early move.

    Jobs with a deadline come first, by the time until it; then those with most work left.
    """

    def order(record: JobRecord) -> tuple:
        request = record.request
        work = _remaining(record, view.now) * request.gang * max(1, request.shape.accelerators)
        slack = (request.finish_by - view.now).total_seconds() if request.finish_by else 0.0
        return (request.finish_by is None, slack, -work, record.id)

    running = (r for r in view.running_by_id.values() if r.state is not JobState.STOPPING)
    return [record.id for record in sorted(running, key=order)]
