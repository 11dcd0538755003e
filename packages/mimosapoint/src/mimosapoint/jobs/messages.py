"""Messages between nodes about jobs."""

import attrs

from mimosapoint.model import JobRecord, JobRequest, JobView
from mimosapoint.peers import peer_message

__all__ = [
    "Accepted",
    "AdoptJob",
    "CancelJob",
    "GetJob",
    "JobReply",
    "JobsChanged",
    "JobsReply",
    "ListJobs",
    "SubmitJob",
    "WatchJob",
]


@attrs.frozen
class Accepted:
    """Reply that the message was accepted."""


@attrs.frozen
class JobReply:
    """Reply with the owner's view of a job.

    :param view: the job.
    :param moved_to: availability zone that has the record if the job has moved.
    """

    view: JobView
    moved_to: str | None = None


@attrs.frozen
class JobsReply:
    """Reply with the owner's view of several jobs.

    :param views: the jobs, oldest first.
    """

    views: tuple[JobView, ...]


@peer_message("submit-job", reply=JobReply)
@attrs.frozen
class SubmitJob:
    """Request to accept a job, once per id.

    :param zone: availability zone that the receiver should own.
    :param job_id: id of the job.
    :param request: the caller's request.
    :param trace: trace context.
    """

    zone: str
    job_id: str
    request: JobRequest
    trace: str | None = None


@peer_message("get-job", reply=JobReply)
@attrs.frozen
class GetJob:
    """Request for a job.

    :param zone: availability zone that the receiver should own.
    :param workspace: workspace of the caller.
    :param job_id: id of the job.
    """

    zone: str
    workspace: str
    job_id: str


@peer_message("watch-job", reply=JobReply)
@attrs.frozen
class WatchJob:
    """Request for a job and a notification when it ends or moves.

    :param zone: availability zone that the receiver should own.
    :param workspace: workspace of the caller.
    :param job_id: id of the job.
    :param address: peer address that gets :class:`JobsChanged`.
    """

    zone: str
    workspace: str
    job_id: str
    address: str


@peer_message("cancel-job", reply=JobReply)
@attrs.frozen
class CancelJob:
    """Request to cancel a job.

    :param zone: availability zone that the receiver should own.
    :param workspace: workspace of the caller.
    :param job_id: id of the job.
    """

    zone: str
    workspace: str
    job_id: str


@peer_message("list-jobs", reply=JobsReply)
@attrs.frozen
class ListJobs:
    """Request for the jobs of a workspace in one availability zone.

    :param zone: availability zone that the receiver should own.
    :param workspace: workspace of the caller.
    """

    zone: str
    workspace: str


@peer_message("jobs-changed", reply=Accepted)
@attrs.frozen
class JobsChanged:
    """Notification of watched jobs that have ended, or have moved and should be requested again.

    :param views: the jobs.
    """

    views: tuple[JobView, ...]


@peer_message("adopt-job", reply=Accepted)
@attrs.frozen
class AdoptJob:
    """Request to adopt a job that was moved to the receiver's zone, once per move number.

    :param zone: availability zone that the receiver should own.
    :param record: the complete record, with ``moves`` incremented.
    """

    zone: str
    record: JobRecord
