"""Settings of a node's parts, gathered."""

import attrs

from mimosapoint.entry import EntrySettings
from mimosapoint.membership import MembershipSettings
from mimosapoint.ownership import OwnershipSettings
from mimosapoint.placement import OwnerSettings
from mimosapoint.settings import ConfigurationSettings, NodeSettings

__all__ = ["PartSettings"]


@attrs.frozen
class PartSettings:
    """Settings of each part of a node.

    :param writes_per_second: most store writes per second for job tables.
    """

    configuration: ConfigurationSettings = ConfigurationSettings()
    membership: MembershipSettings = MembershipSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    owner: OwnerSettings = OwnerSettings()
    entry: EntrySettings = EntrySettings()
    writes_per_second: float = 25.0

    @classmethod
    def of(cls, settings: NodeSettings) -> "PartSettings":
        """Return the parts' settings that a settings file says."""
        return cls(
            configuration=settings.configuration,
            membership=MembershipSettings(
                interval=settings.peers.heartbeat_interval,
                call_timeout=settings.peers.call_timeout,
                list_interval=settings.peers.list_interval,
            ),
            ownership=OwnershipSettings(buckets=settings.owner.buckets),
            owner=OwnerSettings(
                commit_interval=settings.owner.commit_interval,
                reservation_ttl=settings.owner.reservation_ttl,
                retention=settings.owner.ended_retention,
                lease_ttl=settings.workers.lease_ttl,
                lease_wait=settings.workers.lease_wait,
                call_timeout=settings.workers.call_timeout,
            ),
            writes_per_second=settings.store.writes_per_second,
        )
