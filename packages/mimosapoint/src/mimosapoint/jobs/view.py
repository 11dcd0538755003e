"""Views of jobs for callers."""

from mimosapoint.model import JobRecord, JobState, JobView, Succeeded

__all__ = ["job_view"]


def job_view(record: JobRecord, zone: str, durable: bool) -> JobView:
    """Return what a caller may see of a record.

    An outcome that the store does not have is not shown, since the next owner may bring about
    another one; but an answer is, since it stays true.

    :param zone: availability zone that has the record.
    :param durable: whether the store has the record as it is.
    """
    told = durable or isinstance(record.outcome, Succeeded)
    return JobView(
        id=record.id,
        workspace=record.request.workspace,
        service=record.request.service,
        job_class=record.request.job_class,
        state=_visible_state(record, told),
        zone=record.moved_to or zone,
        submitted_at=record.submitted_at,
        started_at=record.started_at,
        ended_at=record.ended_at if told else None,
        durable=durable,
        outcome=record.outcome if told else None,
    )


def _visible_state(record: JobRecord, visible: bool) -> JobState:
    """Return the state that a caller may see."""
    if record.state is JobState.MOVED:
        return JobState.QUEUED
    if record.state is JobState.ENDED and not visible:
        return JobState.STOPPING if record.ever_started else JobState.QUEUED
    return record.state
