"""Links to every worker of an availability zone."""

from collections.abc import Callable
from datetime import timedelta

import trio

from mimosapoint.placement.board import TaskBoard
from mimosapoint.placement.link import Holder, WorkerLink
from mimosapoint.placement.parts import OwnerParts
from mimosapoint.placement.roster import Roster

__all__ = ["WorkerLinks"]

FOLLOW_INTERVAL = timedelta(milliseconds=500)


class WorkerLinks:
    """Keeps one link to each worker that the platform's list shows in the zone.

    :param on_report: called when a report has changed what a worker can take.
    """

    def __init__(
        self,
        holder: Holder,
        parts: OwnerParts,
        board: TaskBoard,
        roster: Roster,
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
            self._follow(nursery)
            task_status.started()
            while True:
                await self._parts.clock.sleep(FOLLOW_INTERVAL)
                self._follow(nursery)

    def _follow(self, nursery: trio.Nursery) -> None:
        zone = self._holder.zone
        listed = {vm.id: vm for vm in self._parts.endpoints().values() if vm.zone == zone}
        for vm in listed.values():
            self._roster.list_vm(vm)
            if vm.id not in self._scopes_by_worker:
                scope = self._scopes_by_worker[vm.id] = trio.CancelScope()
                nursery.start_soon(self._run_link, vm.id, scope)
        for worker in set(self._scopes_by_worker) - set(listed):
            self._retire(worker)

    def _retire(self, worker: str) -> None:
        """Give a worker that left the list no new work; drop it when nothing runs there."""
        self._roster.mark_leaving(worker)
        if self._board.lost(worker) or not self._roster.holds_any(worker):
            self._scopes_by_worker.pop(worker).cancel()
            self._board.mark_lost(worker)
            self._roster.drop_vm(worker)

    async def _run_link(self, worker: str, scope: trio.CancelScope) -> None:
        parts = self._parts
        link = WorkerLink(
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
