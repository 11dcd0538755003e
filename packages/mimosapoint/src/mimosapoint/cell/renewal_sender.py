"""Lease renewals to one worker, with timeouts that adapt to its replies."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.cell.session_owner import SessionOwner
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import WorkerUnreachable
from mimosapoint.ports import (
    Clock,
    RenewLeaseOrder,
    RunWorkers,
    WorkerRegistration,
    WorkerRunReport,
)

__all__ = ["RenewalSender"]


class RenewalSender:
    """Sends renewals; after each failure it waits longer for the next reply.

    :param workers: port to the workers.
    :param owner: tells whether this process has spare CPU time.
    :param clock: clock of the owner.
    :param settings: timeouts of renewals.
    """

    def __init__(
        self, workers: RunWorkers, owner: SessionOwner, clock: Clock, settings: CellSettings
    ):
        self._workers = workers
        self._owner = owner
        self._clock = clock
        self._settings = settings
        self._patience = timedelta(0)

    async def send(
        self, registration: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Send a renewal and return the worker's run report."""
        order = attrs.evolve(order, patience=self._patience)
        sent_at = self._clock.now()
        report = await self._send(registration, order)
        if self._clock.now() - sent_at <= order.wait + self._settings.renewal_reply_time:
            self._patience = timedelta(0)
        return report

    def record_failure(self) -> None:
        """Wait longer for the reply to the next renewal."""
        patience = self._patience + self._settings.patience_step
        self._patience = min(patience, self._settings.patience_max)

    async def _send(
        self, registration: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Send a renewal, and give up a long poll in time for a repetition within the lease.

        A process that is short of CPU time waits longer, as it may be late itself, and so does the
        owner of a worker whose replies are known to take longer.
        """
        if not order.wait or order.patience or not self._owner.has_spare_cpu():
            return await self._workers.renew_lease(registration, order)
        timeout = order.wait + self._settings.renewal_reply_time
        with trio.move_on_after(timeout.total_seconds()):
            return await self._workers.renew_lease(registration, order)
        raise WorkerUnreachable("no reply to a renewal")
