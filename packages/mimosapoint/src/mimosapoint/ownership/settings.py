"""Settings of the ownership of availability zones."""

from datetime import timedelta

import attrs

__all__ = ["OwnershipSettings"]


@attrs.frozen
class OwnershipSettings:
    """Times and sizes of ownership.

    :param bucket_count: buckets of a zone that is owned for the first time.
    :param check_interval: time between two looks at who should own what.
    :param startup_delay: time after the start of a node before it claims anything.
    :param claim_timeout: time that another node's claim may take before it is overtaken.
    :param hand_over_after: time for which another node must be the better owner.
    """

    bucket_count: int = 16
    check_interval: timedelta = timedelta(milliseconds=500)
    startup_delay: timedelta = timedelta(seconds=2)
    claim_timeout: timedelta = timedelta(seconds=5)
    hand_over_after: timedelta = timedelta(seconds=10)
