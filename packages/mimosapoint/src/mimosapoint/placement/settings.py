"""Settings of the owner of an availability zone."""

from datetime import timedelta

import attrs

__all__ = ["ZoneOwnerSettings"]


@attrs.frozen
class ZoneOwnerSettings:
    """Times and bounds of an owner.

    :param commit_interval: time for which changes of a bucket are gathered into one write.
    :param lease_ttl: time after which a worker stops its tasks unless its lease is renewed.
    :param lease_wait: time for which a worker holds its report until a task changes.
    :param min_renewal_interval: least time between two renewals of one worker.
    :param renewal_failure_timeout: time of failed renewals after which a worker is left to lapse.
    :param call_timeout: bound of one call to a worker.
    :param reservation_ttl: time after which an unused reservation lapses.
    :param start_timeout: time for which a partly started gang is completed before it is stopped.
    :param fresh_configuration_timeout: time for which a reserved gang waits for a fresh configuration.
    :param max_decision_interval: most time between two decisions.
    :param decision_batch_delay: time for which events are gathered into one decision.
    :param ended_retention: time for which ended jobs are kept.
    :param max_failed_attempts: most failed attempts of a repeatable job.
    :param admission_bucket_bytes_limit: size of a bucket above which it accepts no new job.
    :param durability_timeout: time for which a submission waits for the store.
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
