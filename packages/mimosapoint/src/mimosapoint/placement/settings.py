"""Settings of the owner of an availability zone."""

from datetime import timedelta

import attrs

__all__ = ["OwnerSettings"]


@attrs.frozen
class OwnerSettings:
    """Times and bounds of an owner.

    :param commit_interval: time for which changes of a bucket are gathered into one write.
    :param lease_ttl: time after which a worker stops its tasks unless its lease is renewed.
    :param lease_wait: time for which a worker holds its report until a task changes.
    :param lease_pause: least time between two renewals of one worker.
    :param lost_after: time of failed renewals after which a worker is left to lapse.
    :param call_timeout: bound of one call to a worker.
    :param reservation_ttl: time after which an unused reservation lapses.
    :param start_bound: time for which a partly started gang is completed before it is stopped.
    :param fresh_wait: time for which a reserved gang waits for a fresh configuration.
    :param decision_interval: most time between two decisions.
    :param decision_pause: time for which events are gathered into one decision.
    :param retention: time for which ended jobs are kept.
    :param attempts_limit: most failed attempts of a repeatable job.
    :param bucket_bytes_limit: size of a bucket above which it accepts no new job.
    :param durable_wait: time for which a submission waits for the store.
    """

    commit_interval: timedelta = timedelta(milliseconds=10)
    lease_ttl: timedelta = timedelta(seconds=15)
    lease_wait: timedelta = timedelta(seconds=4)
    lease_pause: timedelta = timedelta(milliseconds=20)
    lost_after: timedelta = timedelta(seconds=5)
    call_timeout: timedelta = timedelta(seconds=2)
    reservation_ttl: timedelta = timedelta(seconds=1.5)
    start_bound: timedelta = timedelta(seconds=3)
    fresh_wait: timedelta = timedelta(seconds=1)
    decision_interval: timedelta = timedelta(seconds=1)
    decision_pause: timedelta = timedelta(milliseconds=5)
    retention: timedelta = timedelta(hours=1)
    attempts_limit: int = 3
    bucket_bytes_limit: int = 800_000
    durable_wait: timedelta = timedelta(seconds=2)
