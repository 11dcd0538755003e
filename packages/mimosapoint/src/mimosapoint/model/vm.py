"""VMs as the platform's list shows them."""

from enum import Enum

import attrs

__all__ = ["Vm", "VmKind", "VmState"]


class VmKind(Enum):
    """What a VM is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(Enum):
    """Whether a VM may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the platform's list.

    :param id: id of the VM; of the node for an entry VM, of the worker for an endpoint.
    :param kind: what the VM is for.
    :param zone: id of its availability zone.
    :param address: ``IP:port`` of the process on it.
    :param state: whether it may get new work.
    :param rack: id of its rack; empty for an entry VM.
    """

    id: str
    kind: VmKind
    zone: str
    address: str
    state: VmState = VmState.LIVE
    rack: str = ""
