"""Publication of the load summary by the owner, and the view of it that each gateway keeps."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.decisions.admission import LoadSummary
from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.load_meter import LoadMeter
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import LOAD_KEY
from mimosapoint.cell.owned_entry import OwnedEntry
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Clock, Telemetry, TransactionStore
from mimosapoint.workload import ResourceAmounts

__all__ = ["LoadSummaryReader", "LoadSummaryWriter"]

READ_TIMEOUT = timedelta(milliseconds=100)
"""Time after which a submission no longer waits for a read; the store replies within 4 ms, or
270 ms when it is slow."""


class LoadSummaryWriter:
    """Measures the load after decisions and publishes it on change.

    :param ports: dependencies of the owner.
    :param job_table: jobs of the cell.
    :param ownership: ownership under which the summary is written.
    :param settings: interval between summaries, start order.
    """

    def __init__(
        self,
        ports: CellOwnerDependencies,
        job_table: CellJobTable,
        ownership: Ownership,
        settings: CellSettings,
    ):
        self._entry = OwnedEntry(ports.store, LOAD_KEY, ownership)
        self._telemetry = ports.telemetry
        self._job_table = job_table
        self._ownership = ownership
        self._settings = settings
        self._meter = LoadMeter(settings.start_order)
        # An empty summary replaces that of an earlier owner at once.
        self._newest = LoadSummary(ownership.epoch, ports.clock.now())
        self._published: LoadSummary | None = None

    @property
    def newest(self) -> LoadSummary:
        """The newest summary, published or not."""
        return self._newest

    def observe_decision(
        self, workers: Sequence[Worker], context: DecisionContext, over_quota: set[str]
    ) -> None:
        """Measure the load that a decision has left, at most once in an interval.

        :param workers: the usable workers.
        :param context: circumstances of the decision.
        :param over_quota: jobs that wait for the quota of their workspace, which does not delay
            the jobs of others.
        """
        is_due = context.now - self._newest.time >= self._settings.backlog_interval
        if not self._settings.admission or not is_due:
            return
        jobs = [job for job in self._job_table.open_jobs() if job.record.id not in over_quota]
        loads_by_name = self._meter.measure(jobs, self._job_table.active_units(), workers, context)
        free = sum((worker.free for worker in workers), ResourceAmounts())
        self._newest = LoadSummary(self._ownership.epoch, context.now, free, loads_by_name)

    async def run(self) -> None:
        """Publish the summary when it changes, until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        while True:
            if self._is_changed():
                await self._publish(self._newest)
            await trio.sleep(self._settings.backlog_interval.total_seconds())

    def _is_changed(self) -> bool:
        """Return whether nodes would decide by the newest summary otherwise than by the last.

        A summary without queues refuses nothing at any age, so that its time does not count.
        """
        if self._published is None:
            return True
        if not self._newest.queues and not self._published.queues:
            return False
        return self._newest is not self._published

    async def _publish(self, summary: LoadSummary) -> None:
        try:
            await self._entry.write(summary.to_bytes())
            self._published = summary
        except (StoreUnavailable, StoreTimeout) as error:
            self._telemetry.event("load-not-stored", epoch=self._ownership.epoch, error=error.code)


class LoadSummaryReader:
    """Reads the load summary while a node has submissions.

    :param store: the store.
    :param clock: clock of the node.
    :param settings: interval between summaries, which is the least between two reads.
    :param telemetry: receives an event for each summary that could not be read.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self.newest_epoch = 0
        self._store = store
        self._clock = clock
        self._interval = settings.backlog_interval
        self._telemetry = telemetry
        self._summary: LoadSummary | None = None
        self._read_at: datetime | None = None
        self._reading = trio.Lock()

    async def read(self) -> LoadSummary | None:
        """Return the summary, read within the interval; ``None`` if there is none.

        Submissions that arrive together share one read. After a failure none is made for the
        interval, so that a slow store is not asked more, and the summary before it is returned.
        """
        async with self._reading:
            now = self._clock.now()
            if self._read_at is None or now - self._read_at >= self._interval:
                self._read_at = now
                await self._read()
        return self._summary

    async def _read(self) -> None:
        error = "no reply in time"
        try:
            with trio.move_on_after(READ_TIMEOUT.total_seconds()):
                entry = await self._store.get(LOAD_KEY)
                self._summary = LoadSummary.from_bytes(entry.value) if entry else None
                if self._summary is not None:
                    self.newest_epoch = max(self.newest_epoch, self._summary.epoch)
                return
        except CodecError as unreadable:
            self._summary = None
            error = unreadable.detail
        except (StoreUnavailable, StoreTimeout) as failure:
            error = failure.code
        self._telemetry.event("load-not-read", error=error)
