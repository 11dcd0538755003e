"""Publication of the backlog of each queue, for all nodes."""

import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import BACKLOG_KEY
from mimosapoint.cell.owned_entry import OwnedEntry
from mimosapoint.cell.settings import CellSettings
from mimosapoint.codec import to_json
from mimosapoint.errors import StoreTimeout, StoreUnavailable

__all__ = ["BacklogWriter"]


class BacklogWriter:
    """Publishes the number of jobs without a started task, by queue.

    :param ports: dependencies of the owner.
    :param job_table: jobs of the cell.
    :param ownership: ownership under which the counts are written.
    :param settings: interval between counts.
    """

    def __init__(
        self,
        ports: CellOwnerDependencies,
        job_table: CellJobTable,
        ownership: Ownership,
        settings: CellSettings,
    ):
        self._entry = OwnedEntry(ports.store, BACKLOG_KEY, ownership)
        self._telemetry = ports.telemetry
        self._job_table = job_table
        self._ownership = ownership
        self._settings = settings
        self._published: dict[str, int] | None = None

    async def run(self) -> None:
        """Publish the counts when they change, until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        while True:
            counts = self._job_table.backlog_by_queue()
            if counts != self._published:
                await self._publish(counts)
            await trio.sleep(self._settings.backlog_interval.total_seconds())

    async def _publish(self, counts: dict[str, int]) -> None:
        try:
            await self._entry.write(to_json(counts))
            self._published = counts
        except (StoreUnavailable, StoreTimeout) as error:
            self._telemetry.event(
                "summary-not-stored", epoch=self._ownership.epoch, error=error.code
            )
