"""Settings of a node's components."""

import attrs

from mimosapoint.gateway import GatewaySettings
from mimosapoint.membership import MembershipSettings
from mimosapoint.ownership import OwnershipSettings
from mimosapoint.placement import ZoneOwnerSettings
from mimosapoint.settings import ConfigurationSettings, NodeSettings

__all__ = ["ComponentSettings"]


@attrs.frozen
class ComponentSettings:
    """Settings of each component of a node.

    :param gateway: timeouts and limits of the gateway.
    :param writes_per_second: most store writes per second for job tables.
    """

    configuration: ConfigurationSettings = ConfigurationSettings()
    membership: MembershipSettings = MembershipSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    owner: ZoneOwnerSettings = ZoneOwnerSettings()
    gateway: GatewaySettings = GatewaySettings()
    writes_per_second: float = 25.0

    @classmethod
    def from_node_settings(cls, settings: NodeSettings) -> "ComponentSettings":
        """Return the components' settings for the settings of a node."""
        return cls(
            configuration=settings.configuration,
            membership=MembershipSettings(
                interval=settings.peers.heartbeat_interval,
                call_timeout=settings.peers.call_timeout,
                list_interval=settings.peers.list_interval,
            ),
            ownership=OwnershipSettings(bucket_count=settings.owner.buckets),
            owner=ZoneOwnerSettings(
                commit_interval=settings.owner.commit_interval,
                reservation_ttl=settings.owner.reservation_ttl,
                ended_retention=settings.owner.ended_retention,
                lease_ttl=settings.workers.lease_ttl,
                lease_wait=settings.workers.lease_wait,
                call_timeout=settings.workers.call_timeout,
            ),
            writes_per_second=settings.store.writes_per_second,
        )
