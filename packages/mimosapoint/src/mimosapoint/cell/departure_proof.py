"""Proof that a worker has left: its entry was removed sooner than a silent worker's would be."""

from __future__ import annotations

from datetime import timedelta

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import CodecError
from mimosapoint.ports import (
    ChangeBatch,
    Entry,
    HistoryLost,
    Removal,
    WorkerRegistration,
)

__all__ = ["DepartureProver"]

REPORTS_BEFORE_REMOVAL = 2.5
"""Status report intervals within which a removal proves a departure. The platform removes the entry
of a silent worker after three; half of one is left for replies that are behind the store. A watch
that ends without a change adds its wait to the bound, which covers as much again."""


class DepartureProver:
    """Reads the history of a worker's entry in the store.

    :param dependencies: store, decoder of the workers' entries, times of the store's revisions,
        clock and telemetry.
    :param settings: interval of the workers' status reports.
    """

    def __init__(self, dependencies: CellOwnerDependencies, settings: CellSettings):
        self._store = dependencies.store
        self._decoder = dependencies.worker_decoder
        self._times = dependencies.view.revision_times
        self._clock = dependencies.clock
        self._telemetry = dependencies.telemetry
        self._settings = settings

    async def has_left(self, worker: WorkerRegistration) -> bool:
        """Return whether the history proves that a worker without an entry has left.

        :param worker: its registration, of the newest incarnation that may have runs.
        :raises StoreUnavailable: the store refused the call.
        :raises StoreTimeout: the store gave no usable reply.
        """
        oldest = self._times.oldest_revision
        if oldest is None:
            return False
        key = f"{self._decoder.prefix}{worker.id}"
        requested_at = self._clock.now()
        try:
            batch = await self._store.watch(key, oldest, timedelta(0))
        except HistoryLost:
            return False
        self._times.record(requested_at, batch.revision)
        return self._is_departure(worker, _last_changes(batch, key))

    def _is_departure(
        self, worker: WorkerRegistration, changes: tuple[Entry, Removal] | None
    ) -> bool:
        if changes is None:
            return False
        report, removal = changes
        try:
            last = self._decoder.decode(report)
        except CodecError:
            return False
        # An earlier incarnation may have written it late.
        is_announced = last.draining and last.born >= worker.born
        elapsed = self._times.longest_between(report.revision, removal.revision)
        limit = REPORTS_BEFORE_REMOVAL * self._settings.status_report_interval
        has_left = is_announced and elapsed is not None and elapsed < limit
        self._telemetry.event(
            "worker-entry-removed",
            worker=worker.id,
            report_revision=report.revision,
            revision=removal.revision,
            within=None if elapsed is None else round(elapsed / timedelta(seconds=1), 3),
            announced=is_announced,
            left=has_left,
        )
        return has_left


def _last_changes(batch: ChangeBatch, key: str) -> tuple[Entry, Removal] | None:
    """Return the last write of an entry and the removal after it; ``None`` if it has no such."""
    changes = [change for change in batch.changes if change.key == key]
    if len(changes) < 2:
        return None
    report, removal = changes[-2:]
    if isinstance(report, Entry) and isinstance(removal, Removal):
        return report, removal
    return None
