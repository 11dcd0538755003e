"""Owner election of a cell: one node at a time owns it, under a lease and with a rising epoch."""

from collections.abc import Callable
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
    Removal,
    Telemetry,
    TransactionConflict,
    TransactionStore,
    Write,
)

MAX_EPOCH_DIGITS = 12
"""Most digits of an epoch, so that fencing tokens and run numbers, of which it is the high part,
stay below 2^63."""

ABILITY_PROBE_SECONDS = 0.05
"""Interval at which a candidate checks whether it can decide, in seconds."""

__all__ = ["Ownership", "OwnerElection", "CellOwnerRecord"]


@attrs.frozen
class CellOwnerRecord:
    """Content of the owner's entry.

    :param node: id of the node.
    :param carriers_address: address of the relay service, to which relay nodes connect; empty if
        the owner wants none.
    """

    node: str
    carriers_address: str = ""


@attrs.define
class Ownership:
    """An acquired ownership.

    :param epoch: number of the ownership; it rises with every claim.
    :param epoch_rev: revision of the epoch's entry; commits require it, which fences an older
        owner.
    :param lease: lease of the owner's entry.
    :param valid_until: time up to which the owner may act.
    """

    epoch: int
    epoch_rev: int
    lease: int
    valid_until: datetime

    def raise_if_fenced(self, conflict: TransactionConflict) -> None:
        """Raise if a conflict shows a newer epoch; return if another condition failed.

        :param conflict: conflict of a commit with the epoch's revision among its conditions.
        :raises StaleEpoch: another node has claimed the cell.
        """
        self.raise_if_superseded(conflict.entries_by_key.get(EPOCH_KEY))

    def raise_if_superseded(self, entry: Entry | None) -> None:
        """Raise if the epoch's entry is not that of this ownership.

        :param entry: present entry of the epoch.
        :raises StaleEpoch: another node has claimed the cell.
        """
        if entry is None or entry.revision != self.epoch_rev:
            raise StaleEpoch(self.epoch + 1)


class OwnerElection:
    """Waits until the cell has no owner, claims it and renews the ownership.

    :param node: id of the node.
    :param store: the store.
    :param clock: clock of the node.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    :param random: source of the random delays before claims.
    :param relay_address: address to which relay nodes connect while this node is the owner; empty
        if it never wants any.
    :param can_decide: returns whether this node could start work if it were the owner now.
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
        can_decide: Callable[[], bool] = lambda: True,
    ):
        self.owner = CellOwnerRecord("")
        self.owner_changed = trio.Event()
        self._record = CellOwnerRecord(node)
        self._record_with_relays = CellOwnerRecord(node, relay_address)
        self._store = store
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._random = random
        self._can_decide = can_decide
        self._availability = StoreAvailability("election", telemetry)

    async def acquire(self) -> Ownership:
        """Wait until this node has claimed the cell and return the ownership."""
        while True:
            try:
                epoch = await self._wait_until_unowned()
                await trio.sleep(self._claim_delay())
                has_waited = await self._wait_until_able()
                if has_waited or not self._settings.is_preferred_owner:
                    epoch = await self._wait_until_unowned()
                ownership = await self._try_acquire(epoch)
                if ownership is not None:
                    return ownership
            except (StoreUnavailable, StoreTimeout, HistoryLost, LeaseLost) as error:
                self._telemetry.count("cell_claim_failures", error=error.code)
                if isinstance(error, StoreUnavailable | StoreTimeout):
                    self._availability.record_failure(error)
                await trio.sleep(self._settings.ownership_renewal.total_seconds())

    async def renew_until_lost(self, ownership: Ownership) -> None:
        """Renew the ownership until it is lost.

        A renewal does not wait for the reply to the one before: a reply may be lost, and the
        timeout of a call is as long as the ownership.

        :raises LeaseLost: the ownership is lost.
        """
        availability = StoreAvailability("ownership", self._telemetry)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._settings.ownership_renewal.total_seconds())
                nursery.start_soon(self._renew, ownership, availability)

    async def _renew(self, ownership: Ownership, availability: StoreAvailability) -> None:
        requested_at = self._clock.now()
        try:
            await self._store.renew_lease(ownership.lease)
        except (StoreUnavailable, StoreTimeout) as error:
            availability.record_failure(
                error, epoch=ownership.epoch, valid_until=ownership.valid_until
            )
        else:
            availability.record_success()
            ownership.valid_until = max(ownership.valid_until, self._validity_end(requested_at))

    async def request_relays(self, ownership: Ownership) -> None:
        """Publish the address to which relay nodes connect.

        :param ownership: ownership of this node.
        :raises LeaseLost: the ownership is lost.
        """
        write = Write(OWNER_KEY, encode(self._record_with_relays), ownership.lease)
        try:
            await self._store.commit({EPOCH_KEY: ownership.epoch_rev}, [write])
        except TransactionConflict as conflict:
            ownership.raise_if_fenced(conflict)

    async def release(self, ownership: Ownership) -> None:
        """Release the ownership, so that another node can claim the cell at once."""
        try:
            await self._store.revoke_lease(ownership.lease)
        except (StoreUnavailable, StoreTimeout, LeaseLost) as error:
            self._telemetry.event("release-failed", epoch=ownership.epoch, error=error.code)

    def _claim_delay(self) -> float:
        """Return the delay before a claim in seconds, which lets preferred owners claim first."""
        delay = self._random.random() * self._settings.claim_jitter.total_seconds()
        if not self._settings.is_preferred_owner:
            delay += self._settings.fallback_claim_delay.total_seconds()
        return delay

    async def _wait_until_able(self) -> bool:
        """Wait until this node can decide, or the others had time to claim; return whether it did.

        An owner without a configuration starts nothing, and may need seconds to read it. If no node
        has one, the workers need an owner all the same, as their leases run out.
        """
        if self._can_decide():
            return False
        with trio.move_on_after(2 * self._settings.fallback_claim_delay.total_seconds()):
            while not self._can_decide():
                await trio.sleep(ABILITY_PROBE_SECONDS)
        return True

    async def _wait_until_unowned(self) -> Entry | None:
        """Wait until the cell has no owner and return the epoch's entry, if any."""
        await self._availability.wait_reply(self._store, self._settings)
        scan = await self._store.scan(OWNER_PREFIX)
        self._availability.record_success()
        entries_by_key = {entry.key: entry for entry in scan.entries}
        revision = scan.revision
        self._update_owner(entries_by_key.get(OWNER_KEY))
        while OWNER_KEY in entries_by_key:
            batch = await self._store.watch(
                OWNER_PREFIX, revision, self._settings.owner_watch_timeout
            )
            revision = batch.revision
            for change in batch.changes:
                if isinstance(change, Removal):
                    entries_by_key.pop(change.key, None)
                else:
                    entries_by_key[change.key] = change
            self._update_owner(entries_by_key.get(OWNER_KEY))
        return entries_by_key.get(EPOCH_KEY)

    def _update_owner(self, entry: Entry | None) -> None:
        """Keep the content of the owner's entry.

        An unreadable one counts as that of an owner that wants no relays.
        """
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
        """Try to claim the cell; return ``None`` if another node was faster.

        :param stored: entry of the last epoch; ``None`` if there has been none.
        """
        requested_at = self._clock.now()
        lease = await self._store.grant_lease(self._settings.ownership_ttl)
        epoch = _epoch_of(stored) + 1
        if stored is not None and stored.value != str(epoch - 1).encode():
            self._telemetry.event("epoch-unreadable", revision=stored.revision, epoch=epoch)
            self._telemetry.count("cell_unreadable_entries", prefix=OWNER_PREFIX)
        conditions = {OWNER_KEY: 0, EPOCH_KEY: stored.revision if stored else 0}
        needs_relays = not self._settings.direct_workers
        record = self._record_with_relays if needs_relays else self._record
        writes = [
            Write(OWNER_KEY, encode(record), lease),
            Write(EPOCH_KEY, str(epoch).encode()),
        ]
        try:
            revision = await self._store.commit(conditions, writes)
        except TransactionConflict:
            await self.release(Ownership(epoch, 0, lease, requested_at))
            return None
        self._telemetry.event("cell-claimed", epoch=epoch, revision=revision)
        self._telemetry.count("cell_claims")
        return Ownership(epoch, revision, lease, self._validity_end(requested_at))

    def _validity_end(self, requested_at: datetime) -> datetime:
        return requested_at + self._settings.ownership_ttl - self._settings.ownership_margin


def _epoch_of(entry: Entry | None) -> int:
    """Return the newest epoch, or an upper bound of it if its entry cannot be read.

    Each claim raises the epoch by one and the revision of its entry by one or more, so that no
    epoch is above the revision of its entry.
    """
    if entry is None:
        return 0
    digits = entry.value.decode("ascii", "replace")
    is_readable = digits.isascii() and digits.isdigit() and len(digits) <= MAX_EPOCH_DIGITS
    return int(digits) if is_readable else entry.revision
