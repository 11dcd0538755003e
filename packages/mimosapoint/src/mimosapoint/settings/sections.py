"""Groups of settings, one for each component of a node."""

from datetime import timedelta

import attrs

from mimosapoint.settings._declaration import between, one_of, setting

__all__ = [
    "ConfigurationSettings",
    "LimitSettings",
    "OwnerSettings",
    "PeerSettings",
    "StoreSettings",
    "TelemetrySettings",
    "WorkerSettings",
]


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


@attrs.frozen
class LimitSettings:
    """Authentication, size and concurrency limits for callers of one node."""

    authentication: str = setting(
        "How callers are known: not at all, or by bearer tokens.",
        one_of("none", "tokens"),
        "none",
    )
    body_bytes: int = setting("Largest request body.", between(1, 16_000_000), 1_000_000)
    header_bytes: int = setting("Largest request head.", between(256, 65_536), 16_384)
    connections: int = setting("Most open connections of callers.", between(1, 100_000), 2_000)
    in_flight_requests: int = setting("Most requests served at once.", between(1, 100_000), 1_000)
    waiting_answers: int = setting(
        "Most callers that wait for an answer at once.", between(1, 100_000), 1_500
    )


@attrs.frozen
class ConfigurationSettings:
    """Freshness, polling and retention of the configuration on a node."""

    freshness_bound: timedelta = setting(
        "Age of the last confirmation beyond which no task starts.",
        between(0.1, 3),
        _seconds(1.5),
    )
    poll_after: timedelta = setting(
        "Age of the last confirmation at which the node reads the store itself.",
        between(0.01, 3),
        _seconds(0.6),
    )
    retry_min: timedelta = setting(
        "Longest first pause after a failed read of the store.", between(0.01, 10), _seconds(0.1)
    )
    retry_max: timedelta = setting(
        "Longest pause after repeated failed reads of the store.", between(0.01, 60), _seconds(2)
    )
    settle_timeout: timedelta = setting(
        "How long a patch whose write got no answer is looked for in the store.",
        between(0.1, 60),
        _seconds(5),
    )
    patch_log: int = setting("Verdicts on patches that are kept.", between(1, 1_000), 100)
    versions_kept: int = setting("Earlier versions that are kept.", between(0, 10_000), 50)


@attrs.frozen
class OwnerSettings:
    """Job table and task reservations of the owner of an availability zone."""

    buckets: int = setting("Values that the job table is spread over.", between(1, 256), 16)
    commit_interval: timedelta = setting(
        "How long transitions gather before one write.", between(0.001, 1), _seconds(0.02)
    )
    reservation_ttl: timedelta = setting(
        "Time after which an unused reservation on a worker lapses.",
        between(0.1, 3),
        _seconds(1.5),
    )
    ended_retention: timedelta = setting(
        "How long ended jobs are kept.", between(1, 604_800), _seconds(3_600)
    )


@attrs.frozen
class WorkerSettings:
    """Leases and call timeouts between a node and workers."""

    lease_ttl: timedelta = setting(
        "Time after which a worker without renewal stops its tasks.", between(1, 300), _seconds(15)
    )
    lease_wait: timedelta = setting(
        "How long a worker holds a renewal's reply while nothing changes.",
        between(0.1, 120),
        _seconds(4),
    )
    call_timeout: timedelta = setting(
        "Time given to a worker to answer.", between(0.05, 30), _seconds(2)
    )


@attrs.frozen
class PeerSettings:
    """Heartbeats and call timeouts between nodes, and reads of the VM list."""

    heartbeat_interval: timedelta = setting(
        "Pause between heartbeats to a peer.", between(0.05, 10), _seconds(0.5)
    )
    call_timeout: timedelta = setting(
        "Time given to a peer to answer.", between(0.05, 30), _seconds(1)
    )
    list_interval: timedelta = setting(
        "Pause between reads of the platform's list of VMs.", between(0.1, 60), _seconds(1)
    )


@attrs.frozen
class StoreSettings:
    """Rate limit and call timeout for the key-value store."""

    writes_per_second: float = setting(
        "Most writes that one node sends each second.", between(1, 1_000), 25.0
    )
    call_timeout: timedelta = setting(
        "Time given to the service to answer.", between(0.05, 30), _seconds(1)
    )


@attrs.frozen
class TelemetrySettings:
    """Logs and traces."""

    log_level: str = setting(
        "Least severe log lines to write.", one_of("debug", "info", "warning", "error"), "info"
    )
    trace_exporter: str = setting("Where spans go.", one_of("none", "log"), "none")
