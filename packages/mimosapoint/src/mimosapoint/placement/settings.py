"""Settings of the owner of an availability zone."""

from datetime import timedelta

import attrs

__all__ = ["ZoneOwnerSettings"]


@attrs.frozen
class ZoneOwnerSettings:
    """Timeouts, intervals and limits of an owner.

    :param commit_interval: time for which changes of a bucket are collected into one write.
    :param lease_ttl: time after which a worker whose lease was not renewed stops its tasks.
    :param lease_wait: longest time for which a worker delays its report until a task changes.
    :param min_renewal_interval: shortest time between two renewals of one lease.
    :param renewal_failure_timeout: time of failing renewals after which no renewal is sent until
        the lease has expired.
    :param call_timeout: timeout of one call to a worker.
    :param reservation_ttl: time after which an unused task reservation expires.
    :param start_timeout: time for which the start of a gang is retried before the gang is stopped.
    :param fresh_configuration_timeout: longest wait of a reserved gang for a fresh
        configuration.
    :param max_decision_interval: longest time between two scheduling decisions.
    :param decision_batch_delay: time for which changes are collected into one decision.
    :param ended_retention: time for which records of ended jobs are kept.
    :param max_failed_attempts: failed attempts after which a repeatable job fails.
    :param admission_bucket_bytes_limit: size of a bucket above which it takes no new job, in bytes.
    :param durability_timeout: longest wait of a request for the store to confirm its change.
    """

    commit_interval: timedelta = timedelta(milliseconds=10)
    lease_ttl: timedelta = timedelta(seconds=15)
    lease_wait: timedelta = timedelta(seconds=4)
    min_renewal_interval: timedelta = timedelta(milliseconds=20)
    renewal_failure_timeout: timedelta = timedelta(seconds=5)
    call_timeout: timedelta = timedelta(seconds=2)
    reservation_ttl: timedelta = timedelta(seconds=1.5)
    start_timeout: timedelta = timedelta(seconds=3)
    fresh_configuration_timeout: timedelta = timedelta(seconds=1)
    max_decision_interval: timedelta = timedelta(seconds=1)
    decision_batch_delay: timedelta = timedelta(milliseconds=5)
    ended_retention: timedelta = timedelta(hours=1)
    max_failed_attempts: int = 3
    admission_bucket_bytes_limit: int = 800_000
    durability_timeout: timedelta = timedelta(seconds=2)
