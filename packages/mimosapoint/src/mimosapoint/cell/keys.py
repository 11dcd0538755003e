"""Store keys of a cell."""

from mimosapoint.workload import TaskId

__all__ = [
    "CANCEL_PREFIX",
    "EPOCH_KEY",
    "INBOX_PREFIX",
    "JOB_PREFIX",
    "KEPT_END_PREFIX",
    "LOAD_KEY",
    "MEMBER_PREFIX",
    "OWNER_KEY",
    "OWNER_PREFIX",
    "PROGRESS_PREFIX",
    "ROSTER_KEY",
    "BACKLOG_KEY",
    "cancel_key",
    "job_key",
    "kept_end_key",
    "member_key",
    "progress_key",
    "refused_key",
]

OWNER_PREFIX = "cell/owner"
"""Prefix of the keys that candidates watch: ``OWNER_KEY`` and ``EPOCH_KEY``."""

OWNER_KEY = "cell/owner"
"""Record of the owner, attached to the owner's lease."""

EPOCH_KEY = "cell/owner-epoch"
"""Newest epoch; not attached to a lease, so that it outlives the owner."""

ROSTER_KEY = "cell/roster"
"""Workers on which runs may exist."""

BACKLOG_KEY = "cell/queues"
"""Number of jobs without a started task, by queue."""

LOAD_KEY = "cell/load"
"""Load summary, by which nodes decide on the admission of jobs."""

REFUSED_PREFIX = "refused/"
"""Prefix of the marks of refused jobs, each attached to a lease. It is outside the inbox, which
the owner watches."""

MEMBER_PREFIX = "cell/member/"
"""Prefix of the node addresses, each keyed by node id and attached to the node's lease."""

INBOX_PREFIX = "inbox/"
JOB_PREFIX = "inbox/job/"
CANCEL_PREFIX = "inbox/cancel/"
PROGRESS_PREFIX = "progress/"

KEPT_END_PREFIX = "kept-end/"
"""Prefix of ends whose jobs were unreadable. Earlier versions do not read it."""


def job_key(job_id: str) -> str:
    """Return the key of an accepted job."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key that cancels a job."""
    return CANCEL_PREFIX + job_id


def kept_end_key(task: TaskId, run: int) -> str:
    """Return the key of the end of a run whose job was unreadable."""
    return f"{KEPT_END_PREFIX}{task}.{run}"


def member_key(node: str) -> str:
    """Return the key of a node's address."""
    return MEMBER_PREFIX + node


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def refused_key(job_id: str) -> str:
    """Return the key of the mark that a job was refused."""
    return REFUSED_PREFIX + job_id
