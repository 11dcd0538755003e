"""Settings of the ownership of availability zones."""

from datetime import timedelta

import attrs

__all__ = ["OwnershipSettings"]


@attrs.frozen
class OwnershipSettings:
    """Intervals, delays and sizes of ownership.

    :param bucket_count: number of buckets of a zone that is claimed for the first time.
    :param check_interval: time between two checks of which node should own which zone.
    :param startup_delay: time after the start of a node before it claims zones.
    :param claim_timeout: time after which the unfinished claim of another live node is superseded.
    :param claim_progress_timeout: the same while the claim runs, from its last progress: time in
        which the store's client sends the largest bucket on a slow link, or fails.
    :param hand_over_after: time for which another node is preferred before a handover to it.
    """

    bucket_count: int = 16
    check_interval: timedelta = timedelta(milliseconds=500)
    startup_delay: timedelta = timedelta(seconds=2)
    claim_timeout: timedelta = timedelta(seconds=5)
    claim_progress_timeout: timedelta = timedelta(seconds=20)
    hand_over_after: timedelta = timedelta(seconds=10)
