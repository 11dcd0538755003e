"""In-memory VM list."""

from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.errors import VmListUnavailable
from mimosapoint.memory.clock import TrioClock
from mimosapoint.memory.faults import FaultInjector, Faults
from mimosapoint.model import Vm, VmState
from mimosapoint.ports import Clock

__all__ = ["MemoryVmList"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time after which a call that waits on a fault fails."""


class MemoryVmList:
    """VM list that shows each change after a lag.

    :param clock: clock of the lag; a :class:`~mimosapoint.memory.TrioClock` by default.
    :param lag: time from a change until the list shows it.
    :param faults: faults in force; none by default.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        lag: timedelta = timedelta(),
        faults: Faults | None = None,
    ):
        self.lag = lag
        self.faults = faults or Faults()
        self._clock = clock or TrioClock()
        self._fault_injector = FaultInjector(
            self.faults, self._clock, CALL_TIMEOUT, VmListUnavailable, VmListUnavailable
        )
        self._vms_by_id: dict[str, Vm] = {}
        self._snapshots: list[tuple[datetime, tuple[Vm, ...]]] = []

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self._vms_by_id[vm.id] = vm
        self._publish()

    def mark_leaving(self, vm_id: str) -> None:
        """Mark a VM as leaving.

        :raises KeyError: the VM is not in the list.
        """
        self._vms_by_id[vm_id] = attrs.evolve(self._vms_by_id[vm_id], state=VmState.LEAVING)
        self._publish()

    def remove(self, vm_id: str) -> None:
        """Remove a VM from the list.

        :raises KeyError: the VM is not in the list.
        """
        del self._vms_by_id[vm_id]
        self._publish()

    async def vms(self) -> tuple[Vm, ...]:
        """Return the VMs as of one lag ago."""
        await trio.lowlevel.checkpoint()
        await self._fault_injector.before_effect()
        visible_until = self._clock.now() - self.lag
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= visible_until:
            self._snapshots.pop(0)
        self._fault_injector.after_effect()
        visible = self._snapshots and self._snapshots[0][0] <= visible_until
        return self._snapshots[0][1] if visible else ()

    def _publish(self) -> None:
        vms = tuple(self._vms_by_id[key] for key in sorted(self._vms_by_id))
        self._snapshots.append((self._clock.now(), vms))
