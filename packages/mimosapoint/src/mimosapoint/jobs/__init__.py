"""Jobs: ids, the durable table and the messages about them."""

from mimosapoint.jobs.bucket import (
    BUCKET_FORMAT,
    Bucket,
    BucketHeader,
    bucket_key,
    decode_bucket,
    read_header,
)
from mimosapoint.jobs.committer import Committer
from mimosapoint.jobs.ids import home_zone, job_id_of, zone_of
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
from mimosapoint.jobs.view import view_of

__all__ = [
    "BUCKET_FORMAT",
    "Accepted",
    "AdoptJob",
    "Bucket",
    "BucketHeader",
    "CancelJob",
    "Change",
    "Committer",
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
    "job_id_of",
    "read_header",
    "view_of",
    "zone_of",
]
