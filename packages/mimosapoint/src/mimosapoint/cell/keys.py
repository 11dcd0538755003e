"""Keys of a cell in the store."""

__all__ = [
    "CANCEL_PREFIX",
    "EPOCH_KEY",
    "INBOX_PREFIX",
    "JOB_PREFIX",
    "MEMBER_PREFIX",
    "OWNER_KEY",
    "OWNER_PREFIX",
    "PROGRESS_PREFIX",
    "ROSTER_KEY",
    "BACKLOG_KEY",
    "cancel_key",
    "job_key",
    "member_key",
    "progress_key",
]

OWNER_PREFIX = "cell/owner"
"""Beginning of the keys that candidates watch: the owner's and the epoch's."""

OWNER_KEY = "cell/owner"
"""Name of the owner, under the owner's lease."""

EPOCH_KEY = "cell/owner-epoch"
"""Number of the newest claim; it outlives the owner."""

ROSTER_KEY = "cell/roster"
"""Workers on which something may run."""

BACKLOG_KEY = "cell/queues"
"""Numbers of waiting jobs by queue."""

MEMBER_PREFIX = "cell/member/"
"""Addresses of the nodes, each under the node's id and lease."""

INBOX_PREFIX = "inbox/"
JOB_PREFIX = "inbox/job/"
CANCEL_PREFIX = "inbox/cancel/"
PROGRESS_PREFIX = "progress/"


def job_key(job_id: str) -> str:
    """Return the key of an accepted job."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key that cancels a job."""
    return CANCEL_PREFIX + job_id


def member_key(node: str) -> str:
    """Return the key of a node's address."""
    return MEMBER_PREFIX + node


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id
