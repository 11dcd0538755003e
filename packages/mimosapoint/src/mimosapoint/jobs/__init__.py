"""Job ids, the durable job table and the messages about jobs."""

from mimosapoint.jobs.bucket import (
    BUCKET_FORMAT,
    Bucket,
    BucketHeader,
    bucket_key,
    decode_bucket,
    read_header,
)
from mimosapoint.jobs.committer import JobTableCommitter
from mimosapoint.jobs.ids import home_zone, home_zone_of_job, make_job_id
from mimosapoint.jobs.messages import (
    Accepted,
    AdoptJob,
    CancelJob,
    GetJob,
    JobReply,
    JobsChanged,
    JobsReply,
    ListJobs,
    SubmitJob,
    WatchJob,
)
from mimosapoint.jobs.table import Change, JobTable
from mimosapoint.jobs.view import job_view

__all__ = [
    "BUCKET_FORMAT",
    "Accepted",
    "AdoptJob",
    "Bucket",
    "BucketHeader",
    "CancelJob",
    "Change",
    "JobTableCommitter",
    "GetJob",
    "JobReply",
    "JobTable",
    "JobsChanged",
    "JobsReply",
    "ListJobs",
    "SubmitJob",
    "WatchJob",
    "bucket_key",
    "decode_bucket",
    "home_zone",
    "make_job_id",
    "read_header",
    "job_view",
    "home_zone_of_job",
]
