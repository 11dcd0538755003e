"""Dependencies of the owner of an availability zone."""

from collections.abc import Callable
from random import Random

import attrs

from mimosapoint.model import Vm
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.start_gate import FreshConfiguration
from mimosapoint.ports import Clock, Peers, Store, Telemetry, Workers
from mimosapoint.resilience import RateLimiter
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZoneOwnerDependencies"]


@attrs.frozen
class ZoneOwnerDependencies:
    """Adapters and functions shared by all owners of a node.

    :param store: the platform's key-value store.
    :param workers: the workers.
    :param peers: the other nodes.
    :param configuration: the configuration and its freshness.
    :param endpoints: returns the workers in the platform's VM list, by id.
    :param address_of: returns the peer address of a zone's owner, or ``None``.
    :param summaries_by_zone: returns the known summaries of the owned zones.
    :param write_limiter: rate limiter of this node's store writes.
    """

    store: Store
    workers: Workers
    peers: Peers
    configuration: FreshConfiguration
    endpoints: Callable[[], dict[str, Vm]]
    address_of: Callable[[str], str | None]
    summaries_by_zone: Callable[[], dict[str, ZoneSummary]]
    write_limiter: RateLimiter
    clock: Clock
    telemetry: Telemetry
    settings: ZoneOwnerSettings
    random: Random
