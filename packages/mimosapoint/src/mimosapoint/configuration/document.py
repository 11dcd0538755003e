"""The configuration document: what operators decide, as one numbered value."""

from enum import Enum
from typing import Any

import attrs

from mimosapoint.codec.rules import RULE_KEY, Rule, between, identifier, sha256_digests
from mimosapoint.model import Adjacency, JobClass, JobRequest, Resources

__all__ = [
    "Capacity",
    "Configuration",
    "Guarantee",
    "LeavingMode",
    "Policies",
    "Service",
    "Workspace",
    "Zone",
    "ZoneMode",
]


GANG_MAX = 1_024
"""Most tasks of a gang."""
RACKS_MAX = 1_000
"""Most racks of an availability zone, and most workers of a rack."""
INSTANCES_MAX = 1_000
"""Most gangs of one guarantee."""
GRACE_MAX = 3_600
"""Longest grace, in seconds."""
QUEUE_LIMIT_MAX = 100_000
"""Most jobs of a workspace that may wait."""


def _rule_field(rule: Rule, default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={RULE_KEY: rule})


class ZoneMode(Enum):
    """Whether tasks may start in an availability zone."""

    IN_SERVICE = "in-service"
    OUT = "out"


class LeavingMode(Enum):
    """What becomes of running work when an availability zone goes out."""

    FINISH = "finish"
    CHECKPOINT_AND_MOVE = "checkpoint-and-move"


@attrs.frozen
class Capacity:
    """Declared capacity of an availability zone.

    :param racks: number of racks.
    :param workers_per_rack: workers in each rack.
    :param worker: resources of each worker.
    """

    racks: int = _rule_field(between(1, RACKS_MAX))
    workers_per_rack: int = _rule_field(between(1, RACKS_MAX))
    worker: Resources


@attrs.frozen
class Zone:
    """An availability zone.

    :param region: id of the region.
    :param capacity: declared capacity.
    :param mode: whether tasks may start.
    :param leaving: what becomes of running work when the zone goes out.
    :param keeps_keys: whether idempotency keys may have their home here; fixed for good, and false
        for a zone that joins a region later, since keys would change their homes.
    """

    region: str = _rule_field(identifier())
    capacity: Capacity
    mode: ZoneMode = ZoneMode.IN_SERVICE
    leaving: LeavingMode = LeavingMode.CHECKPOINT_AND_MOVE
    keeps_keys: bool = True


@attrs.frozen
class Guarantee:
    """A shape of capacity that a workspace can always claim.

    :param id: id within the workspace.
    :param gang: number of tasks.
    :param shape: resources of each task.
    :param adjacency: smallest part of the platform that holds the gang.
    :param count: how many such gangs at once.
    :param zones: availability zones that may hold it; empty means every zone of the region.
    """

    id: str = _rule_field(identifier())
    gang: int = _rule_field(between(1, GANG_MAX))
    shape: Resources
    adjacency: Adjacency = Adjacency.RACK
    count: int = _rule_field(between(1, INSTANCES_MAX), 1)
    zones: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """A service that submits jobs.

    :param zones: availability zones its jobs may run in; empty means every zone of the region.
    :param classes: job classes it may ask for.
    :param token_digests: SHA-256 digests of the bearer tokens of its callers.
    """

    zones: tuple[str, ...] = ()
    classes: tuple[JobClass, ...] = tuple(JobClass)
    token_digests: tuple[str, ...] = _rule_field(sha256_digests(), ())


@attrs.frozen
class Workspace:
    """A workspace: a customer with guarantees and services.

    :param region: id of the region.
    :param guarantees: guaranteed shapes.
    :param may_borrow: whether its jobs may use capacity beyond its guarantees.
    :param grace: seconds that a borrower gets to checkpoint before it is stopped.
    :param queue_limit: most jobs that may wait at once.
    :param services_by_id: its services.
    """

    region: str = _rule_field(identifier())
    guarantees: tuple[Guarantee, ...] = ()
    may_borrow: bool = True
    grace: float = _rule_field(between(0, GRACE_MAX), 5.0)
    queue_limit: int = _rule_field(between(0, QUEUE_LIMIT_MAX), 1000)
    services_by_id: dict[str, Service] = attrs.field(factory=dict)


@attrs.frozen
class Policies:
    """Names of the registered behaviours in use.

    :param scheduling: scheduling policy.
    """

    scheduling: str = "quarantining"


@attrs.frozen
class Configuration:
    """One version of everything that operators decide.

    :param version: number of the version, rising from 1.
    :param zones_by_id: availability zones.
    :param workspaces_by_id: workspaces.
    :param policies: names of the behaviours in use.
    :param operator_token_digests: SHA-256 digests of the operators' bearer tokens.
    """

    version: int = 0
    zones_by_id: dict[str, Zone] = attrs.field(factory=dict)
    workspaces_by_id: dict[str, Workspace] = attrs.field(factory=dict)
    policies: Policies = Policies()
    operator_token_digests: tuple[str, ...] = _rule_field(sha256_digests(), ())

    def allowed_zones(self, request: JobRequest) -> dict[str, Zone]:
        """Return the zones that a request may run in, whatever their mode.

        There are none for a workspace that the configuration does not have; work of a service
        that was dropped goes on in the region of its workspace.
        """
        workspace = self.workspaces_by_id.get(request.workspace)
        if workspace is None:
            return {}
        service = workspace.services_by_id.get(request.service)
        zones = self.zones_of(workspace.region)
        for limit in (service.zones if service else (), request.zones):
            if limit:
                zones = {id: zone for id, zone in zones.items() if id in limit}
        return zones

    def key_zones(self, region: str) -> list[str]:
        """Return the ids of the zones of a region that keep idempotency keys."""
        return [id for id, zone in self.zones_of(region).items() if zone.keeps_keys]

    def zones_of(self, region: str) -> dict[str, Zone]:
        """Return the availability zones of a region."""
        return {id: zone for id, zone in self.zones_by_id.items() if zone.region == region}
