"""VMs as reported by the platform's VM list."""

from enum import Enum

import attrs

__all__ = ["Vm", "VmKind", "VmState"]


class VmKind(Enum):
    """Role of a VM: an entry VM hosts a node, an endpoint hosts a worker."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(Enum):
    """Whether a VM may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the VM list.

    :param id: id of the VM, which is also the id of the node or worker on it.
    :param kind: role of the VM.
    :param zone: id of its availability zone.
    :param address: ``IP:port`` of the process on it.
    :param state: whether it may receive new work.
    :param rack: id of its rack; empty for an entry VM.
    """

    id: str
    kind: VmKind
    zone: str
    address: str
    state: VmState = VmState.LIVE
    rack: str = ""
