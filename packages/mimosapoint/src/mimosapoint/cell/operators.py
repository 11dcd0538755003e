"""View of the operators' entries, which each node keeps up to date."""

from datetime import timedelta

import trio

from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.revision_times import RevisionTimes
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Clock,
    Entry,
    HistoryLost,
    OperatorEntryDecoder,
    Removal,
    Telemetry,
    TransactionStore,
    WithdrawnZone,
)
from mimosapoint.workload import CellConfiguration

__all__ = ["OperatorView"]


WATCH_LIMIT = 1.5
"""Size of changes above which all entries are read anew, as a multiple of the size of all entries:
more than one version of the largest entry, and less than two."""

MIN_WATCH_LIMIT_BYTES = 65_536
"""Size of changes that are always read; slow links carry it in a fraction of a second."""


class OperatorView:
    """Newest known configuration and withdrawn availability zones, and their age.

    :param store: the store.
    :param decoder: decoder of the operators' entries.
    :param clock: clock of the node.
    :param settings: freshness bound, watch timeout and retry delay.
    :param telemetry: receives an event for each change.
    """

    def __init__(
        self,
        store: TransactionStore,
        decoder: OperatorEntryDecoder,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self.configuration: CellConfiguration | None = None
        self.withdrawn_zones: set[str] = set()
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._freshness = Freshness(clock, settings)
        self._revision: int | None = None
        self._sizes_by_key: dict[str, int] = {}
        self._changed = trio.Event()
        self._store_availability = StoreAvailability("operators", telemetry)
        self.revision_times = RevisionTimes(clock)

    @property
    def age(self) -> timedelta | None:
        """Time since the view was last confirmed to be current; ``None`` before the first."""
        return self._freshness.age

    def is_fresh(self) -> bool:
        """Return whether a configuration is known and the view is fresh."""
        return self.configuration is not None and self._freshness.is_fresh()

    @property
    def is_store_available(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._store_availability.is_available

    @property
    def is_store_outage(self) -> bool:
        """Whether several calls to the store have failed in a row."""
        return self._store_availability.is_outage

    async def wait_changed(self) -> None:
        """Wait until the configuration or the set of withdrawn zones has changed."""
        await self._changed.wait()

    async def run(self) -> None:
        """Read and watch the operators' entries until cancelled."""
        while True:
            try:
                await self._follow()
                self._store_availability.record_success()
            except HistoryLost as error:
                self._telemetry.event("watch-reset", prefix=self._decoder.prefix, error=error.code)
                self._revision = None
            except (StoreUnavailable, StoreTimeout) as error:
                self._store_availability.record_failure(error)
                self.revision_times.record_failure()
                await trio.sleep(self._settings.retry_delay.total_seconds())
            if self.age is not None:
                self._telemetry.gauge("cell_view_age_seconds", self.age.total_seconds())

    async def _follow(self) -> None:
        await self._store_availability.wait_reply(self._store, self._settings)
        requested_at = self._clock.now()
        if self._revision is None:
            scan = await self._store.scan(self._decoder.prefix)
            self.withdrawn_zones = set()
            self._sizes_by_key = {}
            for entry in scan.entries:
                self._apply(entry)
            self._revision = scan.revision
            self._freshness.confirm(requested_at)
        else:
            # After a failure or a long transfer the view is confirmed at once, by a watch that
            # does not wait for a change.
            is_confirmed = self._store_availability.is_available and self._freshness.is_fresh()
            timeout = self._settings.watch_timeout if is_confirmed else timedelta(0)
            batch = await self._store.watch(
                self._decoder.prefix, self._revision, timeout, self._watch_limit()
            )
            for change in batch.changes:
                if isinstance(change, Removal):
                    self._remove(change.key)
                else:
                    self._apply(change)
            self._revision = batch.revision
            self.revision_times.record(requested_at, batch.revision)
            self._freshness.confirm_watched(requested_at, batch.transfer_time)

    def _watch_limit(self) -> int:
        """Return the size of changes, in bytes, above which reading all entries anew is shorter.

        A watch returns every version of an entry, a scan only the newest.
        """
        return max(MIN_WATCH_LIMIT_BYTES, int(WATCH_LIMIT * sum(self._sizes_by_key.values())))

    def _apply(self, entry: Entry) -> None:
        self._sizes_by_key[entry.key] = len(entry.value)
        try:
            decoded = self._decoder.decode(entry)
        except CodecError as error:
            self._telemetry.event(
                "operator-entry-unreadable",
                key=entry.key,
                revision=entry.revision,
                error=str(error),
            )
            self._telemetry.count("cell_unreadable_entries", prefix=self._decoder.prefix)
            return
        if isinstance(decoded, WithdrawnZone):
            self.withdrawn_zones.add(decoded.zone)
            self._notify_changed()
            self._telemetry.event("zone-withdrawn", zone=decoded.zone, revision=entry.revision)
        elif decoded is not None and (
            self.configuration is None or decoded.version > self.configuration.version
        ):
            self.configuration = decoded
            self._notify_changed()
            self._telemetry.event(
                "configuration-in-force",
                version=decoded.version,
                revision=entry.revision,
                queues=len(decoded.queues),
                workspaces=len(decoded.tenants),
            )

    def _remove(self, key: str) -> None:
        self._sizes_by_key.pop(key, None)
        zone = self._decoder.withdrawn_zone(key)
        if zone is not None:
            self.withdrawn_zones.discard(zone)
            self._notify_changed()
            self._telemetry.event("zone-returned", zone=zone)

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
