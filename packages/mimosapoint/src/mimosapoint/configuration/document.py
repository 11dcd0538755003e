"""The configuration document that operators maintain, with a version number."""

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


MAX_GANG_TASKS = 1_024
"""Maximum number of tasks in a gang."""
MAX_RACKS = 1_000
"""Maximum number of racks per availability zone and of workers per rack."""
MAX_GUARANTEE_INSTANCES = 1_000
"""Maximum number of instances of one guarantee."""
MAX_GRACE_SECONDS = 3_600
"""Maximum grace period of a borrower."""
MAX_QUEUE_LIMIT = 100_000
"""Maximum queue limit of a workspace, in jobs."""


def _rule_field(rule: Rule, default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={RULE_KEY: rule})


class ZoneMode(Enum):
    """Whether tasks may start in an availability zone."""

    IN_SERVICE = "in-service"
    OUT = "out"


class LeavingMode(Enum):
    """What happens to running tasks when an availability zone is taken out of service."""

    FINISH = "finish"
    CHECKPOINT_AND_MOVE = "checkpoint-and-move"


@attrs.frozen
class Capacity:
    """Declared capacity of an availability zone.

    :param racks: number of racks.
    :param workers_per_rack: number of workers in each rack.
    :param worker: resources of each worker.
    """

    racks: int = _rule_field(between(1, MAX_RACKS))
    workers_per_rack: int = _rule_field(between(1, MAX_RACKS))
    worker: Resources


@attrs.frozen
class Zone:
    """An availability zone.

    :param region: id of the region.
    :param capacity: declared capacity.
    :param mode: whether tasks may start.
    :param leaving: what happens to running tasks when the zone is taken out of service.
    :param keeps_keys: whether the zone may be the home zone of idempotency keys; immutable, and
        false for a zone that joins a region later, since keys would change their home zones.
    """

    region: str = _rule_field(identifier())
    capacity: Capacity
    mode: ZoneMode = ZoneMode.IN_SERVICE
    leaving: LeavingMode = LeavingMode.CHECKPOINT_AND_MOVE
    keeps_keys: bool = True


@attrs.frozen
class Guarantee:
    """Gangs of a given shape for which a workspace can always claim capacity.

    :param id: id within the workspace.
    :param gang: number of tasks of each gang.
    :param shape: resources of each task.
    :param adjacency: kind of topology domain that must hold the whole gang.
    :param count: number of guaranteed gangs, the instances of the guarantee.
    :param zones: availability zones that may hold it; empty means every zone of the region.
    """

    id: str = _rule_field(identifier())
    gang: int = _rule_field(between(1, MAX_GANG_TASKS))
    shape: Resources
    adjacency: Adjacency = Adjacency.RACK
    count: int = _rule_field(between(1, MAX_GUARANTEE_INSTANCES), 1)
    zones: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """A client application that submits jobs.

    :param zones: availability zones its jobs may run in; empty means every zone of the region.
    :param classes: job classes it may request.
    :param token_digests: SHA-256 digests of the bearer tokens of its callers.
    """

    zones: tuple[str, ...] = ()
    classes: tuple[JobClass, ...] = tuple(JobClass)
    token_digests: tuple[str, ...] = _rule_field(sha256_digests(), ())


@attrs.frozen
class Workspace:
    """A workspace: a customer with guarantees and services.

    :param region: id of the region.
    :param guarantees: guaranteed capacity.
    :param may_borrow: whether its jobs may use capacity beyond its guarantees.
    :param grace: seconds that a borrower has to write a checkpoint before it is stopped.
    :param queue_limit: maximum number of queued jobs.
    :param services_by_id: its services.
    """

    region: str = _rule_field(identifier())
    guarantees: tuple[Guarantee, ...] = ()
    may_borrow: bool = True
    grace: float = _rule_field(between(0, MAX_GRACE_SECONDS), 5.0)
    queue_limit: int = _rule_field(between(0, MAX_QUEUE_LIMIT), 1000)
    services_by_id: dict[str, Service] = attrs.field(factory=dict)


@attrs.frozen
class Policies:
    """Names of the registered policies in use.

    :param scheduling: name of the scheduling policy.
    """

    scheduling: str = "quarantining"


@attrs.frozen
class Configuration:
    """One version of the configuration.

    :param version: version number, increasing from 1; 0 before the first version.
    :param zones_by_id: availability zones.
    :param workspaces_by_id: workspaces.
    :param policies: names of the policies in use.
    :param operator_token_digests: SHA-256 digests of the operators' bearer tokens.
    """

    version: int = 0
    zones_by_id: dict[str, Zone] = attrs.field(factory=dict)
    workspaces_by_id: dict[str, Workspace] = attrs.field(factory=dict)
    policies: Policies = Policies()
    operator_token_digests: tuple[str, ...] = _rule_field(sha256_digests(), ())

    def allowed_zones(self, request: JobRequest) -> dict[str, Zone]:
        """Return the zones that a request may run in, regardless of their mode.

        An unknown workspace has none. Jobs of a removed service may still run in the region of
        their workspace.
        """
        workspace = self.workspaces_by_id.get(request.workspace)
        if workspace is None:
            return {}
        service = workspace.services_by_id.get(request.service)
        zones = self.zones_of(workspace.region)
        for allowed_ids in (service.zones if service else (), request.zones):
            if allowed_ids:
                zones = {id: zone for id, zone in zones.items() if id in allowed_ids}
        return zones

    def home_zones(self, region: str) -> list[str]:
        """Return the ids of the zones of a region that may be home zones of idempotency keys."""
        return [id for id, zone in self.zones_of(region).items() if zone.keeps_keys]

    def zones_of(self, region: str) -> dict[str, Zone]:
        """Return the availability zones of a region."""
        return {id: zone for id, zone in self.zones_by_id.items() if zone.region == region}
