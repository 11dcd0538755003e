"""Renewal of one worker's lease; the replies carry the worker's reports."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from mimosapoint.errors import MimosapointError, StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.model import LeaseRequest
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.worker_inventory import WorkerInventory
from mimosapoint.ports import Clock, Telemetry, Workers

__all__ = ["LeaseHolder", "LeaseRenewer"]

RETRY_DELAY = timedelta(milliseconds=500)


@attrs.frozen
class LeaseHolder:
    """Holder of the workers' leases.

    :param node: id of the node.
    :param zone: id of the availability zone.
    :param epoch: epoch of the owner.
    """

    node: str
    zone: str
    epoch: int


class LeaseRenewer:
    """Renews the lease on one worker.

    When renewals fail for ``renewal_failure_timeout``, no renewal is sent for ``lease_ttl`` plus
    ``call_timeout``, so that the lease has expired even if the last renewal took effect. Only then
    is the worker declared lost.

    :param worker: id of the worker.
    :param on_report: called after a report from a worker that was not usable before it.
    """

    def __init__(
        self,
        worker: str,
        holder: LeaseHolder,
        *,
        workers: Workers,
        report_cache: ReportCache,
        inventory: WorkerInventory,
        clock: Clock,
        telemetry: Telemetry,
        settings: ZoneOwnerSettings,
        on_report: Callable[[], None],
    ):
        self._worker = worker
        self._holder = holder
        self._workers = workers
        self._report_cache = report_cache
        self._inventory = inventory
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._on_report = on_report
        self._failing_since: datetime | None = None

    async def run(self) -> None:
        """Renew the lease until cancelled.

        :raises StaleEpoch: the worker has been taken by a newer owner.
        """
        while True:
            if await self._renew():
                await self._clock.sleep(self._settings.min_renewal_interval)
            elif not self._renewal_timed_out():
                await self._clock.sleep(RETRY_DELAY)
            else:
                await self._wait_expiry()

    async def _renew(self) -> bool:
        """Renew the lease once; return whether the worker confirmed."""
        address = self._inventory.address(self._worker)
        if address is None:
            return False
        try:
            report = await self._workers.lease(address, self._request())
        except StaleEpoch:
            raise
        except MimosapointError as error:
            self._note_failure(error)
            return False
        self._failing_since = None
        was_usable = self._inventory.is_usable(self._worker)
        self._inventory.update_capacity(self._worker, report.capacity)
        self._report_cache.update(self._worker, report)
        if not was_usable:
            self._on_report()
        return True

    def _renewal_timed_out(self) -> bool:
        """Return whether renewals have failed for ``renewal_failure_timeout``.

        The time counts from the first failed renewal: the last reply may be ``lease_wait`` older,
        because the worker delays its reports.
        """
        now = self._clock.now()
        self._failing_since = self._failing_since or now
        return now - self._failing_since >= self._settings.renewal_failure_timeout

    def _request(self) -> LeaseRequest:
        settings = self._settings
        has_report = self._report_cache.has_report_or_lost(
            self._worker
        ) and not self._report_cache.is_lost(self._worker)
        return LeaseRequest(
            holder=self._holder.node,
            zone=self._holder.zone,
            epoch=self._holder.epoch,
            ttl=settings.lease_ttl.total_seconds(),
            wait=settings.lease_wait.total_seconds() if has_report else 0.0,
            seen=self._report_cache.revision(self._worker),
        )

    def _note_failure(self, error: MimosapointError) -> None:
        if isinstance(error, WorkerUnreachable | WorkerRefused):
            self._telemetry.count("lease_failures_total", zone=self._holder.zone)
        self._inventory.mark_unreachable(self._worker)

    async def _wait_expiry(self) -> None:
        """Wait until the lease has expired without renewing it, then declare the worker lost."""
        if not self._report_cache.is_lost(self._worker):
            await self._clock.sleep(self._settings.lease_ttl + self._settings.call_timeout)
            self._report_cache.mark_lost(self._worker)
            self._telemetry.event("worker-lost", worker=self._worker, zone=self._holder.zone)
        await self._clock.sleep(self._settings.renewal_failure_timeout)
