"""The workers of a cell: who they are, by their entries and by the stored roster."""

from collections.abc import Callable
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.claim import Claim
from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.keys import EPOCH_KEY, ROSTER_KEY
from mimosapoint.cell.link import WorkerLink
from mimosapoint.cell.reach import Reach
from mimosapoint.cell.settings import CellSettings
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Clock,
    Conflict,
    Registration,
    Telemetry,
    TransactionStore,
    WorkerFormat,
    Write,
)

__all__ = ["Fleet"]


class Fleet:
    """Links to the workers.

    A worker gets work only when the stored roster names it, so that the next owner knows every
    worker on which something may run, also one whose own entry has lapsed.

    :param claim: the ownership.
    :param store: the store.
    :param format: how workers register.
    :param clock: clock of the owner.
    :param settings: times.
    """

    def __init__(
        self,
        claim: Claim,
        store: TransactionStore,
        format: WorkerFormat,
        clock: Clock,
        settings: CellSettings,
    ):
        self.links_by_id: dict[str, WorkerLink] = {}
        self._claim = claim
        self._store = store
        self._format = format
        self._clock = clock
        self._settings = settings
        self._freshness = Freshness(clock, settings)
        self._roster_rev = 0
        self._roster: tuple[Registration, ...] = ()
        self._inherited: frozenset[str] = frozenset()
        self._missing_since: dict[str, datetime] = {}
        self._unreadable: dict[str, int] = {}
        self._add_link: Callable[[Registration], WorkerLink] | None = None

    def is_fresh(self) -> bool:
        """Tell whether the workers' entries were read lately."""
        return self._freshness.is_fresh()

    def is_settled(self, now: datetime) -> bool:
        """Tell whether it is known what runs on every worker that earlier owners may have used."""
        return self._freshness.age is not None and all(
            link.is_settled(now) for link in self.links_by_id.values() if link.id in self._inherited
        )

    async def read_roster(self) -> None:
        """Read the roster of the earlier owner."""
        entry = await self._store.get(ROSTER_KEY)
        if entry is not None:
            self._roster_rev = entry.revision
            self._roster = decode(entry.value, tuple[Registration, ...])
            self._inherited = frozenset(each.id for each in self._roster)

    def link_roster(self, add_link: Callable[[Registration], WorkerLink]) -> None:
        """Begin to talk to the workers of the roster.

        :param add_link: makes a link to a worker.
        """
        self._add_link = add_link
        for registration in self._roster:
            link = add_link(registration)
            link.listed = False
            link.on_roster = True
            self.links_by_id[registration.id] = link

    async def run(self, telemetry: Telemetry, changed: Callable[[], None]) -> None:
        """Follow the workers' entries until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        reach = Reach("workers", telemetry)
        while True:
            try:
                await self._read(telemetry)
                await self._write_roster(telemetry)
                changed()
                reach.regained()
            except (StoreUnavailable, StoreTimeout) as error:
                reach.lost(error)
            await trio.sleep(self._settings.registration_poll.total_seconds())

    async def run_link(self, link: WorkerLink) -> None:
        """Run a link until its worker has gone for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            while not link.is_removable(self._clock.now()):
                await trio.sleep(self._settings.registration_poll.total_seconds())
            nursery.cancel_scope.cancel()
        self.links_by_id.pop(link.id, None)

    async def _read(self, telemetry: Telemetry) -> None:
        asked_at = self._clock.now()
        scan = await self._store.scan(self._format.prefix)
        found: dict[str, Registration] = {}
        for entry in scan.entries:
            try:
                registration = self._format.decode(entry)
            except CodecError as error:
                self._note_unreadable(entry.key, entry.revision, str(error), telemetry)
            else:
                found[registration.id] = registration
        self._freshness.confirm(asked_at)
        for registration in found.values():
            self._update(registration, telemetry)
        self._retire(found, telemetry)

    def _update(self, registration: Registration, telemetry: Telemetry) -> None:
        self._missing_since.pop(registration.id, None)
        link = self.links_by_id.get(registration.id)
        if link is None:
            link = self._add_link(registration)
            self.links_by_id[registration.id] = link
            telemetry.event(
                "worker-found",
                worker=registration.id,
                address=registration.address,
                zone=registration.zone,
                rack=registration.rack,
                pool=registration.pool,
            )
        else:
            link.replace(registration)
        link.listed = True

    def _retire(self, found: dict[str, Registration], telemetry: Telemetry) -> None:
        now = self._clock.now()
        for worker, link in self.links_by_id.items():
            if worker in found or not link.listed:
                continue
            since = self._missing_since.setdefault(worker, now)
            if now - since >= self._settings.missing_grace:
                link.listed = False
                telemetry.event(
                    "worker-missing",
                    worker=worker,
                    missing=round((now - since) / timedelta(seconds=1), 3),
                    assignments=len(link.assignments_by_run),
                )

    def _note_unreadable(self, key: str, revision: int, error: str, telemetry: Telemetry) -> None:
        """Count and log an unreadable entry, once for each content."""
        if self._unreadable.get(key) != revision:
            self._unreadable[key] = revision
            telemetry.event("worker-entry-unreadable", key=key, revision=revision, error=error)
            telemetry.count("cell_unreadable_entries", prefix=self._format.prefix)

    async def _write_roster(self, telemetry: Telemetry) -> None:
        """Store which workers may get work.

        :raises StaleEpoch: another node has claimed the cell.
        """
        links = [link for link in self.links_by_id.values() if not link.is_leaving_empty]
        wanted = tuple(link.registration for link in links)
        if {each.id for each in wanted} != {each.id for each in self._roster}:
            conditions = {EPOCH_KEY: self._claim.epoch_rev, ROSTER_KEY: self._roster_rev}
            try:
                self._roster_rev = await self._store.commit(
                    conditions, [Write(ROSTER_KEY, encode(wanted))]
                )
            except Conflict as conflict:
                self._claim.check(conflict)
                roster = conflict.entries_by_key.get(ROSTER_KEY)
                self._roster_rev = roster.revision if roster else 0
                return
            self._roster = wanted
            telemetry.event("roster-stored", workers=len(wanted), revision=self._roster_rev)
        for link in self.links_by_id.values():
            link.on_roster = not link.is_leaving_empty
