"""Ownership of a cell: one node at a time, under a lease, numbered by an epoch."""

from datetime import datetime
from random import Random

import attrs
import trio

from mimosapoint.cell.keys import EPOCH_KEY, OWNER_KEY, OWNER_PREFIX
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, LeaseLost, StaleEpoch, StoreTimeout, StoreUnavailable
from mimosapoint.ports import (
    Clock,
    Entry,
    HistoryLost,
    Telemetry,
    TransactionConflict,
    TransactionStore,
    Write,
)

__all__ = ["Ownership", "OwnerElection", "CellOwnerRecord"]


@attrs.frozen
class CellOwnerRecord:
    """What the owner's key says.

    :param node: id of the node.
    :param carriers_address: where nodes join that carry orders for it; empty when it wants none.
    """

    node: str
    carriers_address: str = ""


@attrs.define
class Ownership:
    """An ownership that was won.

    :param epoch: number of the claim; it rises with every claim.
    :param epoch_rev: revision of the epoch's key, which fences commits.
    :param lease: lease of the owner's key.
    :param valid_until: time up to which the owner may act.
    """

    epoch: int
    epoch_rev: int
    lease: int
    valid_until: datetime

    def raise_if_fenced(self, conflict: TransactionConflict) -> None:
        """Tell a conflict over what was read from one over the ownership itself.

        :param conflict: of a commit that had the epoch's revision as a condition.
        :raises StaleEpoch: another node has claimed the cell.
        """
        entry = conflict.entries_by_key.get(EPOCH_KEY)
        if entry is None or entry.revision != self.epoch_rev:
            raise StaleEpoch(self.epoch + 1) from conflict


class OwnerElection:
    """Waits for the cell to be free and claims it.

    :param node: id of the node.
    :param store: the store.
    :param clock: clock of the node.
    :param settings: times.
    :param telemetry: told of claims.
    :param random: source of the delays before claims.
    :param relay_address: where nodes join that carry orders; empty to want none.
    """

    def __init__(
        self,
        node: str,
        store: TransactionStore,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
        random: Random,
        relay_address: str = "",
    ):
        self.owner = CellOwnerRecord("")
        self.owner_changed = trio.Event()
        self._record = CellOwnerRecord(node, relay_address)
        self._store = store
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._random = random

    async def acquire(self) -> Ownership:
        """Return when this node has claimed the cell."""
        while True:
            try:
                epoch = await self._wait_until_unowned()
                await trio.sleep(self._claim_delay())
                if not self._settings.is_preferred_owner:
                    epoch = await self._wait_until_unowned()
                claim = await self._try_acquire(epoch)
                if claim is not None:
                    return claim
            except (StoreUnavailable, StoreTimeout, HistoryLost, LeaseLost) as error:
                self._telemetry.count("cell_claim_failures", error=error.code)
                await trio.sleep(self._settings.ownership_renewal.total_seconds())

    async def renew_until_lost(self, claim: Ownership) -> None:
        """Renew the ownership until it is lost.

        A renewal does not wait for the answer to the one before, which may be lost: its timeout
        is as long as the ownership.

        :raises LeaseLost: it is lost.
        """
        reach = StoreAvailability("ownership", self._telemetry)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._settings.ownership_renewal.total_seconds())
                nursery.start_soon(self._renew, claim, reach)

    async def _renew(self, claim: Ownership, reach: StoreAvailability) -> None:
        asked_at = self._clock.now()
        try:
            await self._store.renew_lease(claim.lease)
        except (StoreUnavailable, StoreTimeout) as error:
            reach.record_failure(error, epoch=claim.epoch, valid_until=claim.valid_until)
        else:
            reach.record_success()
            claim.valid_until = max(claim.valid_until, self._validity_end(asked_at))

    async def release(self, claim: Ownership) -> None:
        """Give the cell up, so that another node claims it at once."""
        try:
            await self._store.revoke_lease(claim.lease)
        except (StoreUnavailable, StoreTimeout, LeaseLost) as error:
            self._telemetry.event("release-failed", epoch=claim.epoch, error=error.code)

    def _claim_delay(self) -> float:
        """Return the pause before a claim in seconds, which leaves the cell to stronger nodes."""
        delay = self._random.random() * self._settings.claim_jitter.total_seconds()
        if not self._settings.is_preferred_owner:
            delay += self._settings.fallback_claim_delay.total_seconds()
        return delay

    async def _wait_until_unowned(self) -> Entry | None:
        """Return the entry of the epoch when the cell has no owner."""
        scan = await self._store.scan(OWNER_PREFIX)
        entries_by_key = {entry.key: entry for entry in scan.entries}
        revision = scan.revision
        self._note_owner(entries_by_key.get(OWNER_KEY))
        while OWNER_KEY in entries_by_key:
            changes = await self._store.watch(
                OWNER_PREFIX, revision, self._settings.owner_watch_timeout
            )
            revision = changes.revision
            for key in changes.removed:
                entries_by_key.pop(key, None)
            for entry in changes.written:
                entries_by_key[entry.key] = entry
            self._note_owner(entries_by_key.get(OWNER_KEY))
        return entries_by_key.get(EPOCH_KEY)

    def _note_owner(self, entry: Entry | None) -> None:
        """Keep what the owner's key says; one that cannot be read wants no carriers."""
        owner = CellOwnerRecord("")
        if entry is not None:
            try:
                owner = decode(entry.value, CellOwnerRecord)
            except CodecError as error:
                self._telemetry.count("cell_unreadable_entries", prefix=OWNER_PREFIX)
                self._telemetry.event("owner-unreadable", error=error.detail)
        if owner != self.owner:
            self.owner = owner
            self.owner_changed.set()
            self.owner_changed = trio.Event()

    async def _try_acquire(self, stored: Entry | None) -> Ownership | None:
        """Claim the cell once; return ``None`` when another node was faster.

        :param stored: entry of the last epoch.
        """
        asked_at = self._clock.now()
        lease = await self._store.grant_lease(self._settings.ownership_ttl)
        epoch = _epoch_of(stored) + 1
        conditions = {OWNER_KEY: 0, EPOCH_KEY: stored.revision if stored else 0}
        writes = [
            Write(OWNER_KEY, encode(self._record), lease),
            Write(EPOCH_KEY, str(epoch).encode()),
        ]
        try:
            revision = await self._store.commit(conditions, writes)
        except TransactionConflict:
            await self.release(Ownership(epoch, 0, lease, asked_at))
            return None
        self._telemetry.event("cell-claimed", epoch=epoch, revision=revision)
        self._telemetry.count("cell_claims")
        return Ownership(epoch, revision, lease, self._validity_end(asked_at))

    def _validity_end(self, asked_at: datetime) -> datetime:
        return asked_at + self._settings.ownership_ttl - self._settings.ownership_margin


def _epoch_of(entry: Entry | None) -> int:
    return int(entry.value) if entry else 0
