"""What the owner of an availability zone stands on."""

from collections.abc import Callable
from random import Random

import attrs

from mimosapoint.model import Vm
from mimosapoint.placement.permit import FreshConfiguration
from mimosapoint.placement.settings import OwnerSettings
from mimosapoint.ports import Clock, Peers, Store, Telemetry, Workers
from mimosapoint.resilience import RateBudget
from mimosapoint.scheduling import ZoneSummary

__all__ = ["OwnerParts"]


@attrs.frozen
class OwnerParts:
    """Adapters and functions that every owner of a node shares.

    :param store: the platform's store.
    :param workers: the workers.
    :param peers: the other nodes.
    :param configuration: the configuration and its freshness.
    :param endpoints: returns the workers of the platform's list, by id.
    :param address_of: returns the peer address of a zone's owner, or ``None``.
    :param summaries_by_zone: returns what is known of every zone that has an owner.
    :param budget: store writes per second of this node.
    """

    store: Store
    workers: Workers
    peers: Peers
    configuration: FreshConfiguration
    endpoints: Callable[[], dict[str, Vm]]
    address_of: Callable[[str], str | None]
    summaries_by_zone: Callable[[], dict[str, ZoneSummary]]
    budget: RateBudget
    clock: Clock
    telemetry: Telemetry
    settings: OwnerSettings
    random: Random
