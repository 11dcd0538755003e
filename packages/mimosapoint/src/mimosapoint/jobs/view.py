"""Views of jobs for callers."""

from mimosapoint.model import JobRecord, JobState, JobView

__all__ = ["view_of"]


def view_of(record: JobRecord, zone: str, durable: bool) -> JobView:
    """Return what a caller may see of a record.

    :param zone: availability zone that has the record.
    :param durable: whether the store has the record as it is.
    """
    return JobView(
        id=record.id,
        workspace=record.request.workspace,
        service=record.request.service,
        job_class=record.request.job_class,
        state=JobState.QUEUED if record.state is JobState.MOVED else record.state,
        zone=record.moved_to or zone,
        submitted_at=record.submitted_at,
        started_at=record.started_at,
        ended_at=record.ended_at,
        durable=durable,
        outcome=record.outcome,
    )
