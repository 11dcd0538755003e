"""Port to the platform's VM list."""

from typing import Protocol

from mimosapoint.model import Vm

__all__ = ["VmList"]


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it shows changes with a lag."""

    async def vms(self) -> tuple[Vm, ...]:
        """Return the VMs in the list.

        :raises VmListUnavailable: the list cannot be read.
        """
        ...
