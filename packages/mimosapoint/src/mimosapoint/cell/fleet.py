"""The workers of a cell: who they are, by their entries and by the stored roster."""

from collections.abc import Callable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.election import Ownership
from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.keys import EPOCH_KEY, ROSTER_KEY
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Clock,
    Telemetry,
    TransactionConflict,
    TransactionStore,
    WorkerEntryDecoder,
    WorkerRegistration,
    Write,
)

__all__ = ["Fleet"]


class Fleet:
    """Links to the workers.

    A worker gets work only when the stored roster names it, so that the next owner knows every
    worker on which something may run, also one whose own entry has lapsed.

    :param claim: the ownership.
    :param store: the store.
    :param decoder: how workers register.
    :param clock: clock of the owner.
    :param settings: times.
    """

    def __init__(
        self,
        claim: Ownership,
        store: TransactionStore,
        decoder: WorkerEntryDecoder,
        clock: Clock,
        settings: CellSettings,
    ):
        self.sessions_by_id: dict[str, WorkerSession] = {}
        self._claim = claim
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._settings = settings
        self._freshness = Freshness(clock, settings)
        self._roster_rev = 0
        self._roster: tuple[WorkerRegistration, ...] = ()
        self._inherited: frozenset[str] = frozenset()
        self._missing_since: dict[str, datetime] = {}
        self._unreadable: dict[str, int] = {}
        self._add_link: Callable[[WorkerRegistration], WorkerSession] | None = None

    def is_fresh(self) -> bool:
        """Tell whether the workers' entries were read lately."""
        return self._freshness.is_fresh()

    def all_runs_known(self, now: datetime) -> bool:
        """Tell whether it is known what runs on every worker that earlier owners may have used."""
        return self._freshness.age is not None and all(
            link.runs_known(now)
            for link in self.sessions_by_id.values()
            if link.id in self._inherited
        )

    async def read_roster(self) -> None:
        """Read the roster of the earlier owner."""
        entry = await self._store.get(ROSTER_KEY)
        if entry is not None:
            self._roster_rev = entry.revision
            self._roster = decode(entry.value, tuple[WorkerRegistration, ...])
            self._inherited = frozenset(each.id for each in self._roster)

    def open_roster_sessions(self, add_link: Callable[[WorkerRegistration], WorkerSession]) -> None:
        """Begin to talk to the workers of the roster.

        :param add_link: makes a link to a worker.
        """
        self._add_link = add_link
        for registration in self._roster:
            link = add_link(registration)
            link.is_registered = False
            link.on_roster = True
            self.sessions_by_id[registration.id] = link

    async def run(self, telemetry: Telemetry, changed: Callable[[], None]) -> None:
        """Follow the workers' entries until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        reach = StoreAvailability("workers", telemetry)
        while True:
            try:
                await self._read(telemetry)
                await self._write_roster(telemetry)
                changed()
                reach.record_success()
            except (StoreUnavailable, StoreTimeout) as error:
                reach.record_failure(error)
            await trio.sleep(self._settings.registration_poll.total_seconds())

    async def run_session(self, link: WorkerSession) -> None:
        """Run a link until its worker has gone for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            while not link.is_removable(self._clock.now()):
                await trio.sleep(self._settings.registration_poll.total_seconds())
            nursery.cancel_scope.cancel()
        self.sessions_by_id.pop(link.id, None)

    async def _read(self, telemetry: Telemetry) -> None:
        asked_at = self._clock.now()
        scan = await self._store.scan(self._decoder.prefix)
        found: dict[str, WorkerRegistration] = {}
        for entry in scan.entries:
            try:
                registration = self._decoder.decode(entry)
            except CodecError as error:
                self._note_unreadable(entry.key, entry.revision, str(error), telemetry)
            else:
                found[registration.id] = registration
        self._freshness.confirm(asked_at)
        for registration in found.values():
            self._update(registration, telemetry)
        self._mark_missing(found, telemetry)

    def _update(self, registration: WorkerRegistration, telemetry: Telemetry) -> None:
        self._missing_since.pop(registration.id, None)
        link = self.sessions_by_id.get(registration.id)
        if link is None:
            link = self._add_link(registration)
            self.sessions_by_id[registration.id] = link
            telemetry.event(
                "worker-found",
                worker=registration.id,
                address=registration.address,
                zone=registration.zone,
                rack=registration.rack,
                pool=registration.pool,
            )
        else:
            link.update_registration(registration)
        link.is_registered = True

    def _mark_missing(self, found: dict[str, WorkerRegistration], telemetry: Telemetry) -> None:
        now = self._clock.now()
        for worker, link in self.sessions_by_id.items():
            if worker in found or not link.is_registered:
                continue
            since = self._missing_since.setdefault(worker, now)
            if now - since >= self._settings.missing_grace:
                link.is_registered = False
                telemetry.event(
                    "worker-missing",
                    worker=worker,
                    missing=round((now - since) / timedelta(seconds=1), 3),
                    assignments=len(link.task_runs_by_key),
                )

    def _note_unreadable(self, key: str, revision: int, error: str, telemetry: Telemetry) -> None:
        """Count and log an unreadable entry, once for each content."""
        if self._unreadable.get(key) != revision:
            self._unreadable[key] = revision
            telemetry.event("worker-entry-unreadable", key=key, revision=revision, error=error)
            telemetry.count("cell_unreadable_entries", prefix=self._decoder.prefix)

    async def _write_roster(self, telemetry: Telemetry) -> None:
        """Store which workers may get work.

        :raises StaleEpoch: another node has claimed the cell.
        """
        links = [link for link in self.sessions_by_id.values() if not link.is_drained]
        wanted = tuple(link.registration for link in links)
        if {each.id for each in wanted} != {each.id for each in self._roster}:
            conditions = {EPOCH_KEY: self._claim.epoch_rev, ROSTER_KEY: self._roster_rev}
            try:
                self._roster_rev = await self._store.commit(
                    conditions, [Write(ROSTER_KEY, encode(wanted))]
                )
            except TransactionConflict as conflict:
                self._claim.raise_if_fenced(conflict)
                roster = conflict.entries_by_key.get(ROSTER_KEY)
                self._roster_rev = roster.revision if roster else 0
                return
            self._roster = wanted
            telemetry.event("roster-stored", workers=len(wanted), revision=self._roster_rev)
        for link in self.sessions_by_id.values():
            link.on_roster = not link.is_drained
