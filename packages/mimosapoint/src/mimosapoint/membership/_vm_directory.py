"""Local copy of the platform's VM list."""

from datetime import datetime

from mimosapoint.errors import VmListUnavailable
from mimosapoint.model import Vm, VmKind, VmState
from mimosapoint.ports import Clock, Telemetry, VmList

__all__ = ["VmDirectory"]


class VmDirectory:
    """The VM list as of the last successful read.

    :param vm_list: the platform's list.
    :param clock: the clock.
    :param telemetry: receives failures of the list and the age of the copy.
    """

    def __init__(self, vm_list: VmList, clock: Clock, telemetry: Telemetry) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._telemetry = telemetry
        self._available = True
        self.read_at: datetime | None = None
        self.nodes_by_id: dict[str, Vm] = {}
        self.endpoints_by_id: dict[str, Vm] = {}

    def is_leaving(self, id: str) -> bool:
        """Return whether the list shows the node as leaving."""
        vm = self.nodes_by_id.get(id)
        return vm is not None and vm.state is VmState.LEAVING

    async def refresh(self) -> bool:
        """Read the list and return whether it changed; on failure keep the last one."""
        try:
            vms = await self._vm_list.vms()
        except VmListUnavailable as error:
            self._report_failure(error)
            return False
        self._report_success()
        nodes = {vm.id: vm for vm in vms if vm.kind is VmKind.ENTRY}
        endpoints = {vm.id: vm for vm in vms if vm.kind is VmKind.ENDPOINT}
        changed = (nodes, endpoints) != (self.nodes_by_id, self.endpoints_by_id)
        self.nodes_by_id, self.endpoints_by_id = nodes, endpoints
        return changed

    def _report_failure(self, error: VmListUnavailable) -> None:
        self._telemetry.count("vm_list_failures")
        if self.read_at is not None:
            age = self._clock.now() - self.read_at
            self._telemetry.gauge("vm_list_age_seconds", age.total_seconds())
        if self._available:
            self._telemetry.event("vm-list-unavailable", detail=error.detail)
        self._available = False

    def _report_success(self) -> None:
        if not self._available:
            self._telemetry.event("vm-list-available")
        self._available = True
        self.read_at = self._clock.now()
        self._telemetry.gauge("vm_list_age_seconds", 0.0)
