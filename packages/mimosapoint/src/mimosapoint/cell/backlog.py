"""Counts of waiting jobs, published for every node."""

import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.keys import BACKLOG_KEY, EPOCH_KEY
from mimosapoint.cell.settings import CellSettings
from mimosapoint.codec import to_json
from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.ports import TransactionConflict, Write

__all__ = ["BacklogWriter"]


class BacklogWriter:
    """Publishes the number of jobs of each queue of which no task has started.

    :param ports: what the owner stands on.
    :param book: the jobs.
    :param claim: the ownership.
    :param settings: times.
    """

    def __init__(
        self,
        ports: CellOwnerDependencies,
        book: CellJobTable,
        claim: Ownership,
        settings: CellSettings,
    ):
        self._store = ports.store
        self._telemetry = ports.telemetry
        self._book = book
        self._claim = claim
        self._settings = settings
        self._published: dict[str, int] | None = None

    async def run(self) -> None:
        """Publish every change until cancelled."""
        while True:
            counts = self._book.backlog_by_queue()
            if counts != self._published:
                await self._publish(counts)
            await trio.sleep(self._settings.backlog_interval.total_seconds())

    async def _publish(self, counts: dict[str, int]) -> None:
        write = Write(BACKLOG_KEY, to_json(counts))
        try:
            await self._store.commit({EPOCH_KEY: self._claim.epoch_rev}, [write])
            self._published = counts
        except (StoreUnavailable, StoreTimeout, TransactionConflict) as error:
            self._telemetry.event("summary-not-stored", epoch=self._claim.epoch, error=error.code)
