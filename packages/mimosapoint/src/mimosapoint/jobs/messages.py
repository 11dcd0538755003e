"""Messages about jobs between nodes."""

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
    """The message has been taken in."""


@attrs.frozen
class JobReply:
    """A job as its owner knows it.

    :param view: the job.
    :param moved_to: availability zone to ask instead, when the job has moved.
    """

    view: JobView
    moved_to: str | None = None


@attrs.frozen
class JobsReply:
    """Jobs as their owner knows them.

    :param views: the jobs, oldest first.
    """

    views: tuple[JobView, ...]


@peer_message("submit-job", reply=JobReply)
@attrs.frozen
class SubmitJob:
    """Accept a job, once per id.

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
    """Return a job.

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
    """Return a job, and tell the sender when it ends.

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
    """Cancel a job.

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
    """Return the jobs of a workspace in one availability zone.

    :param zone: availability zone that the receiver should own.
    :param workspace: workspace of the caller.
    """

    zone: str
    workspace: str


@peer_message("jobs-changed", reply=Accepted)
@attrs.frozen
class JobsChanged:
    """Jobs that the receiver watches have ended, or have moved and should be asked for again.

    :param views: the jobs.
    """

    views: tuple[JobView, ...]


@peer_message("adopt-job", reply=Accepted)
@attrs.frozen
class AdoptJob:
    """Take over a job that has moved here, once per move number.

    :param zone: availability zone that the receiver should own.
    :param record: the whole record, ``moves`` counted up.
    """

    zone: str
    record: JobRecord
