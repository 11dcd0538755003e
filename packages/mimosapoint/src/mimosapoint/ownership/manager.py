"""Claims, runs and hands over the availability zones that this node should own."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.errors import CircuitOpen, MimosapointError, StoreTimeout, StoreUnavailable
from mimosapoint.jobs import Accepted, JobTable
from mimosapoint.membership import Membership, preferred_owners
from mimosapoint.model import Vm
from mimosapoint.ownership.claim import ClaimContext, OwnerRecord, ZoneClaim, read_owner
from mimosapoint.ownership.directory import ZoneDirectory
from mimosapoint.ownership.messages import TakeZone
from mimosapoint.ownership.orphan_lease_renewer import OrphanLeaseRenewer
from mimosapoint.ownership.settings import OwnershipSettings
from mimosapoint.placement import LeaseHolder, ZoneOwner, ZoneOwnerDependencies
from mimosapoint.ports import Clock

__all__ = ["OwnershipManager"]

TAKE_ZONE_TIMEOUT = timedelta(seconds=2)
FAULT_BACKOFF = timedelta(seconds=3)

LEASE_RENEWAL_DELAY = timedelta(seconds=1)
"""Time between two checks of whether a renewal is due during a claim; most claims are shorter."""

CLAIMS_ATTACHMENT = "claims"
"""Name of the membership attachment with the progress of the claims that run on a node, by zone."""


@attrs.define
class _Observation:
    """A value and the time since which it has not changed."""

    value: object
    since: datetime


class OwnershipManager:
    """Owns the zones for which this node is the preferred live node.

    A node claims a zone if it is preferred and no live node owns it. An owner hands its zone over
    when another node has been preferred for ``hand_over_after``, and on a planned stop.

    :param node: this node's VM.
    :param writer: id of the node and its incarnation.
    :param make_dependencies: returns the dependencies of the zone owners.
    """

    def __init__(
        self,
        node: Vm,
        writer: str,
        membership: Membership,
        clock: Clock,
        make_dependencies: Callable[[ZoneDirectory], ZoneOwnerDependencies],
        settings: OwnershipSettings,
    ):
        self._node = node
        self._writer = writer
        self._membership = membership
        self.owners_by_zone: dict[str, ZoneOwner] = {}
        self.directory = ZoneDirectory(node.id, node.address, membership, self.owners_by_zone)
        self._dependencies = make_dependencies(self.directory)
        self._orphan_leases = OrphanLeaseRenewer(node.id, self._dependencies)
        self._settings = settings
        self._clock = clock
        self._telemetry = self._dependencies.telemetry
        self._zones_in_transition: set[str] = set()
        self._observations: dict[tuple[str, str], _Observation] = {}
        self._claims_by_zone: dict[str, ZoneClaim] = {}
        membership.attach(CLAIMS_ATTACHMENT, self._claims_progress)
        self._stopping = False
        self._nursery: trio.Nursery | None = None

    def owner(self, zone: str) -> ZoneOwner | None:
        """Return the zone's owner if it runs on this node, else ``None``."""
        return self.owners_by_zone.get(zone)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Claim and hand over zones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._clock.sleep(self._settings.startup_delay)
            while True:
                self._orphan_leases.update_epochs(self.directory.epochs_by_zone())
                self._reconcile_all()
                await self._clock.sleep(self._settings.check_interval)

    def _reconcile_all(self) -> None:
        """Check the ownership of every zone in the configuration."""
        preferred_by_zone = self._preferred(self._membership.live_nodes())
        for zone, preferred in preferred_by_zone.items():
            self._reconcile_zone(zone, preferred)

    def _preferred(self, nodes: dict[str, Vm]) -> dict[str, str]:
        """Return the preferred owner among the nodes, by zone."""
        zones = self._dependencies.configuration.current.zones_by_id
        regions = {id: zone.region for id, zone in zones.items()}
        return preferred_owners(zones, nodes, regions)

    def _reconcile_zone(self, zone: str, preferred: str) -> None:
        """Start a claim or a handover of the zone if one is due."""
        if zone in self._zones_in_transition or self._stopping:
            return
        owned = zone in self.owners_by_zone
        if owned and preferred != self._node.id:
            if self._unchanged_for((zone, "preferred"), preferred, self._settings.hand_over_after):
                self._start_transition(zone, self._hand_over, preferred)
        elif not owned and preferred == self._node.id and self.directory.remote_owner(zone) is None:
            self._start_transition(zone, self._claim_if_free)

    def _unchanged_for(self, key: tuple[str, str], value: object, bound: timedelta) -> bool:
        """Return whether a value has been observed unchanged for longer than the bound."""
        now = self._clock.now()
        observation = self._observations.get(key)
        if observation is None or observation.value != value:
            self._observations[key] = _Observation(value, now)
            return False
        return now - observation.since > bound

    def _start_transition(
        self, zone: str, transition: Callable[..., object], *args: object
    ) -> None:
        self._zones_in_transition.add(zone)
        self._nursery.start_soon(self._run_transition, zone, transition, *args)

    async def _run_transition(
        self, zone: str, transition: Callable[..., object], *args: object
    ) -> None:
        """Run a claim or handover of a zone; after a failure the next check starts it again."""
        try:
            await transition(zone, *args)
        except* Exception as group:
            for error in _flatten(group):
                self._telemetry.event("ownership-failed", zone=zone, code=_error_code(error))
        finally:
            self._zones_in_transition.discard(zone)

    async def _claim_if_free(self, zone: str) -> None:
        """Claim the zone and run its owner, unless another node may be claiming it.

        This is so while the owner record names another live node that may still complete its claim.

        While the store cannot be read, the leases of the zone's workers are renewed instead.
        """
        try:
            record, _ = await read_owner(self._dependencies.store, zone)
        except (StoreUnavailable, StoreTimeout, CircuitOpen):
            await self._orphan_leases.renew(zone)
            raise
        if record is not None and not self._may_supersede(zone, record):
            return
        await self._claim_and_run(zone)

    def _may_supersede(self, zone: str, record: OwnerRecord) -> bool:
        """Return whether the recorded owner may be superseded.

        This is so if it is this node in an earlier incarnation, is not alive, or has not
        completed its claim within ``claim_timeout``. While its claim runs, the time counts from
        the claim's last progress and is ``claim_progress_timeout``.
        """
        if record.node == self._node.id or not self._membership.is_alive(record.node):
            return True
        progress = self._membership.attachment(record.node, CLAIMS_ATTACHMENT) or {}
        transfers = progress.get(zone)
        settings = self._settings
        bound = settings.claim_timeout if transfers is None else settings.claim_progress_timeout
        return self._unchanged_for((zone, "claim"), (record, transfers), bound)

    def _claims_progress(self) -> dict[str, int]:
        """Return the number of transfers of each running claim, by zone."""
        return {
            zone: claim.progress
            for zone, claim in self._claims_by_zone.items()
            if claim.progress is not None
        }

    def _claim(self, zone: str) -> ZoneClaim:
        """Return the unfinished claim of the zone, or a new one."""
        claim = self._claims_by_zone.get(zone)
        if claim is None:
            dependencies = self._dependencies
            context = ClaimContext(
                self._node.id,
                self._writer,
                dependencies.store,
                dependencies.clock,
                dependencies.write_limiter,
            )
            claim = ZoneClaim(context, zone, self._settings.bucket_count)
            self._claims_by_zone[zone] = claim
        return claim

    async def _claim_and_run(self, zone: str) -> None:
        started_at = self._clock.now()
        table, epoch = await self._run_claim(zone)
        owner = ZoneOwner(
            table, LeaseHolder(self._node.id, zone, epoch), self._writer, self._dependencies
        )
        await self._nursery.start(self._run_owner, zone, owner)
        self._telemetry.event(
            "zone-claimed",
            zone=zone,
            epoch=epoch,
            jobs=len(table),
            seconds=round((self._clock.now() - started_at).total_seconds(), 3),
        )
        self._telemetry.count("zone_claims_total", zone=zone)

    async def _run_claim(self, zone: str) -> tuple[JobTable, int]:
        """Run the claim, and renew the leases of the zone's workers if it takes long."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_leases, zone)
            result = await self._claim(zone).run()
            del self._claims_by_zone[zone]
            nursery.cancel_scope.cancel()
        return result

    async def _renew_leases(self, zone: str) -> None:
        while True:
            await self._clock.sleep(LEASE_RENEWAL_DELAY)
            await self._orphan_leases.renew(zone)

    async def _run_owner(
        self, zone: str, owner: ZoneOwner, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run an owner until it is closed, is fenced or fails."""
        self.owners_by_zone[zone] = owner
        self._membership.refresh_attachments()
        internal_error = False
        try:
            await owner.run(task_status)
        except* Exception as group:
            codes = ",".join(sorted(set(map(_error_code, _flatten(group)))))
            internal_error = not all(
                isinstance(error, MimosapointError) for error in _flatten(group)
            )
            self._telemetry.event("zone-lost", zone=zone, epoch=owner.epoch, code=codes)
        finally:
            if self.owners_by_zone.get(zone) is owner:
                del self.owners_by_zone[zone]
            self._membership.refresh_attachments()
        if internal_error:
            await self._back_off(zone)

    async def _back_off(self, zone: str) -> None:
        """Delay the next claim of a zone, so that a persistent fault does not flood the store."""
        self._zones_in_transition.add(zone)
        await self._clock.sleep(FAULT_BACKOFF)
        self._zones_in_transition.discard(zone)

    async def _hand_over(self, zone: str, preferred: str) -> None:
        """Close the owner and tell the preferred node to claim the zone."""
        owner = self.owners_by_zone[zone]
        await owner.close()
        self.owners_by_zone.pop(zone, None)
        address = self._membership.known_nodes()[preferred].address
        self._telemetry.event("zone-handed-over", zone=zone, to=preferred)
        await self._dependencies.peers.call(address, TakeZone(zone), TAKE_ZONE_TIMEOUT)

    async def take_zone(self, message: TakeZone) -> Accepted:
        """Claim a zone that its previous owner has released."""
        if (
            message.zone not in self.owners_by_zone
            and message.zone not in self._zones_in_transition
        ):
            self._start_transition(message.zone, self._claim_and_run)
        return Accepted()

    async def hand_over_all(self) -> None:
        """Hand every zone over to its preferred owner among the other live nodes.

        Zones without one are closed, which flushes their job tables for a bounded time.
        """
        self._stopping = True
        others = self._membership.live_nodes()
        others.pop(self._node.id, None)
        preferred_by_zone = self._preferred(others)
        async with trio.open_nursery() as nursery:
            for zone in list(self.owners_by_zone):
                if zone in preferred_by_zone:
                    preferred = preferred_by_zone[zone]
                    nursery.start_soon(self._run_transition, zone, self._hand_over, preferred)
                else:
                    nursery.start_soon(self.owners_by_zone[zone].close)


def _error_code(error: Exception) -> str:
    """Return the code of an error, or the class name of an exception without one."""
    return error.code if isinstance(error, MimosapointError) else type(error).__name__


def _flatten(group: BaseExceptionGroup) -> object:
    """Yield the exceptions of a group and of its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error
