"""Links to every worker of an availability zone."""

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
    """Keeps one link to each worker that the platform's list shows in the zone.

    :param on_report: called when a report has changed what a worker can take.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        parts: ZoneOwnerDependencies,
        board: ReportCache,
        roster: WorkerInventory,
        on_report: Callable[[], None],
    ):
        self._holder = holder
        self._parts = parts
        self._board = board
        self._roster = roster
        self._on_report = on_report
        self._scopes_by_worker: dict[str, trio.CancelScope] = {}

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the list until cancelled.

        :raises StaleEpoch: a newer owner holds a worker.
        """
        async with trio.open_nursery() as nursery:
            self._sync_with_vm_list(nursery)
            task_status.started()
            while True:
                await self._parts.clock.sleep(VM_LIST_SYNC_INTERVAL)
                self._sync_with_vm_list(nursery)

    def _sync_with_vm_list(self, nursery: trio.Nursery) -> None:
        zone = self._holder.zone
        listed = {vm.id: vm for vm in self._parts.endpoints().values() if vm.zone == zone}
        for vm in listed.values():
            self._roster.update_vm(vm)
            if vm.id not in self._scopes_by_worker:
                scope = self._scopes_by_worker[vm.id] = trio.CancelScope()
                nursery.start_soon(self._run_renewer, vm.id, scope)
        for worker in set(self._scopes_by_worker) - set(listed):
            self._retire(worker)

    def _retire(self, worker: str) -> None:
        """Give a worker that left the list no new work; drop it when nothing runs there."""
        self._roster.mark_leaving(worker)
        if self._board.is_lost(worker) or not self._roster.has_allocation(worker):
            self._scopes_by_worker.pop(worker).cancel()
            self._board.mark_lost(worker)
            self._roster.remove_vm(worker)

    async def _run_renewer(self, worker: str, scope: trio.CancelScope) -> None:
        parts = self._parts
        link = LeaseRenewer(
            worker,
            self._holder,
            workers=parts.workers,
            board=self._board,
            roster=self._roster,
            clock=parts.clock,
            telemetry=parts.telemetry,
            settings=parts.settings,
            on_report=self._on_report,
        )
        with scope:
            await link.run()
