"""Decides which availability zones this node owns, and keeps owning them."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.errors import CircuitOpen, MimosapointError, StoreTimeout, StoreUnavailable
from mimosapoint.jobs import Accepted
from mimosapoint.membership import Membership, preferred_owners
from mimosapoint.model import Vm
from mimosapoint.ownership.claim import Claimant, OwnerRecord, claim_zone, read_owner
from mimosapoint.ownership.directory import ZoneDirectory
from mimosapoint.ownership.messages import TakeZone
from mimosapoint.ownership.renewals import LeaseRenewals
from mimosapoint.ownership.settings import OwnershipSettings
from mimosapoint.placement import Holder, OwnerParts, ZoneOwner
from mimosapoint.ports import Clock

__all__ = ["OwnershipKeeper"]

TAKE_TIMEOUT = timedelta(seconds=2)
FAULT_PAUSE = timedelta(seconds=3)


@attrs.define
class _Sighting:
    """Since when a fact has been seen without a change."""

    fact: object
    since: datetime


class OwnershipKeeper:
    """Owns the zones for which this node is the preferred live node.

    A node claims a zone when it is preferred and no live node owns it. An owner hands its zone
    over when another node has been the better owner for a while, and on a planned stop.

    :param node: this node's VM.
    :param writer: id of the node and its incarnation.
    :param parts: returns what the owners stand on.
    """

    def __init__(
        self,
        node: Vm,
        writer: str,
        membership: Membership,
        clock: Clock,
        parts: Callable[[ZoneDirectory], OwnerParts],
        settings: OwnershipSettings,
    ):
        self._node = node
        self._writer = writer
        self._membership = membership
        self.owners_by_zone: dict[str, ZoneOwner] = {}
        self.directory = ZoneDirectory(node.id, node.address, membership, self.owners_by_zone)
        self._parts = parts(self.directory)
        self._renewals = LeaseRenewals(node.id, self._parts)
        self._settings = settings
        self._clock = clock
        self._telemetry = self._parts.telemetry
        self._busy: set[str] = set()
        self._sightings: dict[tuple[str, str], _Sighting] = {}
        self._stopping = False
        self._nursery: trio.Nursery | None = None

    def owner(self, zone: str) -> ZoneOwner | None:
        """Return the zone's owner when it is this node."""
        return self.owners_by_zone.get(zone)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Claim, hand over and give up zones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._clock.sleep(self._settings.settle)
            while True:
                self._renewals.heard(self.directory.epochs_by_zone())
                self._check_all()
                await self._clock.sleep(self._settings.check_interval)

    def _check_all(self) -> None:
        """Look at every zone of the configuration."""
        preferred_by_zone = self._preferred(self._membership.live_nodes())
        for zone, preferred in preferred_by_zone.items():
            self._check(zone, preferred)

    def _preferred(self, nodes: dict[str, Vm]) -> dict[str, str]:
        """Return the node that should own each zone."""
        zones = self._parts.configuration.current.zones_by_id
        regions = {id: zone.region for id, zone in zones.items()}
        return preferred_owners(zones, nodes, regions)

    def _check(self, zone: str, preferred: str) -> None:
        """Start a claim or a hand-over of a zone where one is due."""
        if zone in self._busy or self._stopping:
            return
        owned = zone in self.owners_by_zone
        if owned and preferred != self._node.id:
            if self._lasts((zone, "better"), preferred, self._settings.hand_over_after):
                self._start(zone, self._hand_over, preferred)
        elif not owned and preferred == self._node.id and self.directory.other_owner(zone) is None:
            self._start(zone, self._claim)

    def _lasts(self, key: tuple[str, str], fact: object, bound: timedelta) -> bool:
        """Whether a fact has been seen without a change for longer than the bound."""
        now = self._clock.now()
        sighting = self._sightings.get(key)
        if sighting is None or sighting.fact != fact:
            self._sightings[key] = _Sighting(fact, now)
            return False
        return now - sighting.since > bound

    def _start(self, zone: str, work: Callable[..., object], *args: object) -> None:
        self._busy.add(zone)
        self._nursery.start_soon(self._guard, zone, work, *args)

    async def _guard(self, zone: str, work: Callable[..., object], *args: object) -> None:
        """Run one step for a zone; a failure is tried again at the next check."""
        try:
            await work(zone, *args)
        except* Exception as group:
            for error in _leaves(group):
                self._telemetry.event("ownership-failed", zone=zone, code=_code(error))
        finally:
            self._busy.discard(zone)

    async def _claim(self, zone: str) -> None:
        """Claim the zone unless a live node is at it, and start to own it."""
        try:
            record, _ = await read_owner(self._parts.store, zone)
        except (StoreUnavailable, StoreTimeout, CircuitOpen):
            await self._renewals.renew(zone)
            raise
        if record is not None and not self._may_overtake(zone, record):
            return
        await self._take(zone)

    def _may_overtake(self, zone: str, record: OwnerRecord) -> bool:
        """Whether the recorded owner is dead, is an earlier run of this node, or is too slow."""
        if record.node == self._node.id or not self._membership.alive(record.node):
            return True
        return self._lasts((zone, "claim"), record, self._settings.claim_bound)

    async def _take(self, zone: str) -> None:
        parts = self._parts
        claimant = Claimant(self._node.id, self._writer, parts.store, parts.clock, parts.budget)
        began = self._clock.now()
        table, epoch = await claim_zone(claimant, zone, self._settings.buckets)
        owner = ZoneOwner(table, Holder(self._node.id, zone, epoch), self._writer, parts)
        await self._nursery.start(self._own, zone, owner)
        self._telemetry.event(
            "zone-claimed",
            zone=zone,
            epoch=epoch,
            jobs=len(table),
            seconds=round((self._clock.now() - began).total_seconds(), 3),
        )
        self._telemetry.count("zone_claims_total", zone=zone)

    async def _own(
        self, zone: str, owner: ZoneOwner, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run an owner until it is closed or fenced."""
        self.owners_by_zone[zone] = owner
        self._membership.refresh_attachments()
        faulty = False
        try:
            await owner.run(task_status)
        except* Exception as group:
            codes = ",".join(sorted(set(map(_code, _leaves(group)))))
            faulty = not all(isinstance(error, MimosapointError) for error in _leaves(group))
            self._telemetry.event("zone-lost", zone=zone, epoch=owner.epoch, code=codes)
        finally:
            if self.owners_by_zone.get(zone) is owner:
                del self.owners_by_zone[zone]
            self._membership.refresh_attachments()
        if faulty:
            await self._rest(zone)

    async def _rest(self, zone: str) -> None:
        """Leave a zone alone for a while, so that a lasting fault does not flood the store."""
        self._busy.add(zone)
        await self._clock.sleep(FAULT_PAUSE)
        self._busy.discard(zone)

    async def _hand_over(self, zone: str, preferred: str) -> None:
        """Close the owner and let the better node claim at once."""
        owner = self.owners_by_zone[zone]
        await owner.close()
        self.owners_by_zone.pop(zone, None)
        address = self._membership.known_nodes()[preferred].address
        self._telemetry.event("zone-handed-over", zone=zone, to=preferred)
        await self._parts.peers.call(address, TakeZone(zone), TAKE_TIMEOUT)

    async def take_zone(self, message: TakeZone) -> Accepted:
        """Claim a zone that its owner has let go of."""
        if message.zone not in self.owners_by_zone and message.zone not in self._busy:
            self._start(message.zone, self._take)
        return Accepted()

    async def hand_over_all(self) -> None:
        """Hand every zone to the best other node; the last node writes its tables and lets go."""
        self._stopping = True
        others = self._membership.live_nodes()
        others.pop(self._node.id, None)
        preferred_by_zone = self._preferred(others)
        async with trio.open_nursery() as nursery:
            for zone in list(self.owners_by_zone):
                if zone in preferred_by_zone:
                    preferred = preferred_by_zone[zone]
                    nursery.start_soon(self._guard, zone, self._hand_over, preferred)
                else:
                    nursery.start_soon(self.owners_by_zone[zone].close)


def _code(error: Exception) -> str:
    """Return the code of a failure; that of a fault in the program names its class."""
    return error.code if isinstance(error, MimosapointError) else type(error).__name__


def _leaves(group: BaseExceptionGroup) -> object:
    """Yield the exceptions of a group, however deep."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error
