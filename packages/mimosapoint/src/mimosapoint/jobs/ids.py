"""Job ids: the home availability zone and a digest of workspace and idempotency key."""

import hashlib
from collections.abc import Iterable

from mimosapoint.errors import JobNotFound

__all__ = ["home_zone", "make_job_id", "home_zone_of_job"]

SEPARATOR = "~"
DIGEST_BYTES = 12


def _digest(*parts: str) -> str:
    """Return a digest of the parts; a separator keeps ("ab", "c") and ("a", "bc") distinct."""
    text = "\0".join(parts)
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def home_zone(workspace: str, key: str, zones: Iterable[str]) -> str:
    """Return the availability zone that keeps the idempotency record, by rendezvous hashing.

    :param workspace: id of the workspace.
    :param key: idempotency key.
    :param zones: the availability zones of the workspace's region that keep keys.
    """
    return max(zones, key=lambda zone: _digest(zone, workspace, key))


def make_job_id(workspace: str, key: str, zones: Iterable[str]) -> str:
    """Return the job id for a workspace and an idempotency key.

    >>> make_job_id("editors", "k1", ["canelones"]).startswith("canelones~")
    True
    """
    return f"{home_zone(workspace, key, zones)}{SEPARATOR}{_digest(workspace, key)}"


def home_zone_of_job(job_id: str) -> str:
    """Return the home availability zone in a job id.

    :raises JobNotFound: the id is malformed.
    """
    zone, separator, digest = job_id.partition(SEPARATOR)
    if not (zone and separator and digest):
        raise JobNotFound(f"no job {job_id}")
    return zone
