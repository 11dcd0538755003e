"""Settings of one node."""

import attrs

from mimosapoint.settings._declaration import address, identifier, section, setting
from mimosapoint.settings.sections import (
    ConfigurationSettings,
    LimitSettings,
    OwnerSettings,
    PeerSettings,
    StoreSettings,
    TelemetrySettings,
    WorkerSettings,
)

__all__ = ["NodeSettings"]


@attrs.frozen
class NodeSettings:
    """Content of the settings file of a node."""

    id: str = setting("Id of the node; that of its VM in the platform's list.", identifier())
    zone: str = setting("Availability zone of the node.", identifier())
    region: str = setting("Region of the node.", identifier())
    http_address: str = setting("Address served to callers and operators.", address())
    peer_address: str = setting("Address served to other nodes.", address())
    store_address: str = setting("Address of the platform's key-value service.", address())
    vm_list_address: str = setting("Address of the platform's list of VMs.", address())
    limits: LimitSettings = section(LimitSettings, "Bounds on callers.")
    configuration: ConfigurationSettings = section(
        ConfigurationSettings, "Following the configuration."
    )
    owner: OwnerSettings = section(OwnerSettings, "Owning an availability zone.")
    workers: WorkerSettings = section(WorkerSettings, "Dealing with workers.")
    peers: PeerSettings = section(PeerSettings, "Talking to other nodes.")
    store: StoreSettings = section(StoreSettings, "Using the platform's key-value service.")
    telemetry: TelemetrySettings = section(TelemetrySettings, "Logs and traces.")
