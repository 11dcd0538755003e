"""Callers' view of job records."""

from mimosapoint.model import JobRecord, JobState, JobView, Succeeded

__all__ = ["job_view"]


def job_view(record: JobRecord, zone: str, durable: bool) -> JobView:
    """Return the callers' view of a record.

    An outcome that is not durable is hidden, since the next owner may record another one. That
    holds for ``Succeeded`` too: its outputs may be lost with their workers.

    :param zone: availability zone that has the record.
    :param durable: whether the latest change of the record is durable.
    """
    return JobView(
        id=record.id,
        workspace=record.request.workspace,
        service=record.request.service,
        job_class=record.request.job_class,
        state=_visible_state(record, durable),
        zone=record.moved_to or zone,
        submitted_at=record.submitted_at,
        started_at=record.started_at,
        ended_at=record.ended_at if durable else None,
        durable=durable,
        outcome=record.outcome if durable else None,
    )


def _visible_state(record: JobRecord, durable: bool) -> JobState:
    """Return the state for callers.

    :param durable: whether the latest change of the record is durable.
    """
    if record.state is JobState.MOVED:
        return JobState.QUEUED
    if record.state is JobState.ENDED and not durable:
        if isinstance(record.outcome, Succeeded):
            return JobState.RUNNING
        return JobState.STOPPING if record.ever_started else JobState.QUEUED
    return record.state
