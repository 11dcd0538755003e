"""Lease renewal for all workers of an availability zone."""

from collections.abc import Callable
from datetime import timedelta

import trio

from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.lease_renewer import LeaseHolder, LeaseRenewer
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.worker_inventory import WorkerInventory

__all__ = ["LeaseManager"]

VM_LIST_SYNC_INTERVAL = timedelta(milliseconds=500)


class LeaseManager:
    """Runs one lease renewer for each worker of the zone in the platform's VM list.

    :param on_report: called after a report from a worker that was not usable before it.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        dependencies: ZoneOwnerDependencies,
        report_cache: ReportCache,
        inventory: WorkerInventory,
        on_report: Callable[[], None],
    ):
        self._holder = holder
        self._dependencies = dependencies
        self._report_cache = report_cache
        self._inventory = inventory
        self._on_report = on_report
        self._scopes_by_worker: dict[str, trio.CancelScope] = {}

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the VM list until cancelled.

        :raises StaleEpoch: a worker has been taken by a newer owner.
        """
        async with trio.open_nursery() as nursery:
            self._sync_with_vm_list(nursery)
            task_status.started()
            while True:
                await self._dependencies.clock.sleep(VM_LIST_SYNC_INTERVAL)
                self._sync_with_vm_list(nursery)

    def _sync_with_vm_list(self, nursery: trio.Nursery) -> None:
        zone = self._holder.zone
        listed = {vm.id: vm for vm in self._dependencies.endpoints().values() if vm.zone == zone}
        for vm in listed.values():
            self._inventory.update_vm(vm)
            if vm.id not in self._scopes_by_worker:
                scope = self._scopes_by_worker[vm.id] = trio.CancelScope()
                nursery.start_soon(self._run_renewer, vm.id, scope)
        for worker in set(self._scopes_by_worker) - set(listed):
            self._retire(worker)

    def _retire(self, worker: str) -> None:
        """Drain a worker that left the VM list; remove it once it is lost or has no allocations."""
        self._inventory.mark_leaving(worker)
        if self._report_cache.is_lost(worker) or not self._inventory.has_allocation(worker):
            self._scopes_by_worker.pop(worker).cancel()
            self._report_cache.mark_lost(worker)
            self._inventory.remove_vm(worker)

    async def _run_renewer(self, worker: str, scope: trio.CancelScope) -> None:
        dependencies = self._dependencies
        renewer = LeaseRenewer(
            worker,
            self._holder,
            workers=dependencies.workers,
            report_cache=self._report_cache,
            inventory=self._inventory,
            clock=dependencies.clock,
            telemetry=dependencies.telemetry,
            settings=dependencies.settings,
            on_report=self._on_report,
        )
        with scope:
            await renewer.run()
