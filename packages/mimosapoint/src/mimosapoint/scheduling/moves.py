"""Offers of waiting jobs to availability zones that can run them sooner."""

import math
from collections.abc import Collection, Iterable, Iterator
from datetime import datetime, timedelta

from mimosapoint.configuration import Configuration
from mimosapoint.model import Adjacency, JobClass, JobRecord
from mimosapoint.scheduling.guarantee_allocations import GuaranteeInstance, instances_in_zone
from mimosapoint.scheduling.placement_search import GangDemand
from mimosapoint.scheduling.view import Move, ZoneSummary, ZoneView

__all__ = ["MovePlanner"]

ROUND_INTERVAL = timedelta(seconds=1)
"""Pause between two looks at the other zones."""

STALE_AFTER = 15.0
"""Seconds after which a summary is not trusted."""

MAX_MOVES = 8
"""Moves after which a job stays where it is."""

URGENT_MOVE_BACKOFF = timedelta(milliseconds=300)
"""Wait of urgent work before its first move; it doubles with each move."""

MOVE_BACKOFF = timedelta(seconds=5)
"""Wait of other work before its first move; it doubles with each move."""

OFFERED_SHARE = 0.5
"""Share of another zone's free room that is offered between two of its summaries."""

MIN_SUMMARY_INTERVAL = timedelta(seconds=1)
"""Time between two summaries of a zone that count as different."""

LOAD_TOLERANCE = 0.5
"""Difference of load, in zones full of work, that is left between zones."""

MAX_MOVES_PER_ROUND = 32
"""Jobs offered in one look."""


Candidate = tuple[JobRecord, Collection[str]]
"""A waiting job and the zones that could run it."""


class _TargetZone:
    """What is left of another zone's room, as its last summary gave it."""

    def __init__(self, summary: ZoneSummary, made_at: datetime):
        self.summary = summary
        self.made_at = made_at
        self.accelerators = math.ceil(summary.free_accelerators * OFFERED_SHARE)
        self.slots = math.ceil(summary.free_slots * OFFERED_SHARE)
        self.unclaimed = dict(summary.unclaimed_by_guarantee)
        self.queued = summary.waiting_accelerators

    def can_fit(self, need: GangDemand) -> bool:
        """Tell whether the gang would find adjacent room."""
        if need.gang > self.slots or need.accelerators > self.accelerators:
            return False
        if not need.task_vector[3]:
            return True
        sizes = [size for size in self.summary.tasks_by_size if size >= need.task_vector[3]]
        if not sizes:
            return False
        in_rack, in_zone = self.summary.tasks_by_size[min(sizes)]
        wide = need.adjacency is Adjacency.AVAILABILITY_ZONE
        return need.gang <= (in_zone if wide else in_rack)

    def deduct(self, need: GangDemand) -> None:
        """Count a job that was offered."""
        self.accelerators -= need.accelerators
        self.slots -= need.gang
        self.queued += need.accelerators

    def deduct_claim(self, name: str, need: GangDemand) -> None:
        """Count a job that was offered for a guarantee."""
        self.unclaimed[name] -= 1
        self.deduct(need)

    @property
    def load(self) -> float:
        """Share of the zone that is used and waited for."""
        summary = self.summary
        used = summary.capacity_accelerators - summary.free_accelerators
        return (used + self.queued) / max(1, summary.capacity_accelerators)


class MovePlanner:
    """Remembers what it has offered since the last summaries.

    :param even: whether jobs also go where far less work is used and waited for.
    """

    def __init__(self, even: bool = False) -> None:
        self._balance_load = even
        self._target_by_zone: dict[str, _TargetZone] = {}
        self._arrived_at: dict[str, datetime] = {}
        self._last_round_at: datetime | None = None
        self._units: dict[str, tuple[GuaranteeInstance, ...]] = {}
        self._configuration: Configuration | None = None
        self._zone = ""
        self._accelerators = 0
        self._used = 0
        self._waiting_accelerators = 0

    def sync(self, view: ZoneView, arrived: Iterable[str], waiting: dict[str, JobRecord]) -> None:
        """Take in the summaries and the waiting jobs."""
        for job in self._arrived_at.keys() - waiting.keys():
            del self._arrived_at[job]
        for job in arrived:
            self._arrived_at.setdefault(job, view.now)
        self._zone = view.zone
        self._count_load(view)
        if self._configuration is not view.configuration:
            self._configuration = view.configuration
            zones = view.configuration.zones_by_id
            self._units = {zone: instances_in_zone(view.configuration, zone) for zone in zones}
        self._target_by_zone = {
            id: self._target(id, summary, view.now)
            for id, summary in view.other_zones_by_id.items()
        }

    def _count_load(self, view: ZoneView) -> None:
        workers = [worker for worker in view.workers_by_id.values() if worker.usable]
        self._accelerators = sum(worker.capacity.accelerators for worker in workers)
        self._used = self._accelerators - sum(worker.free.accelerators for worker in workers)
        requests = [record.request for record in view.waiting]
        self._waiting_accelerators = sum(
            request.gang * request.shape.accelerators for request in requests
        )

    @property
    def _load(self) -> float:
        """Share of this zone that is used and waited for."""
        return (self._used + self._waiting_accelerators) / max(1, self._accelerators)

    def _target(self, zone: str, summary: ZoneSummary, now: datetime) -> _TargetZone:
        """Return what is left to offer to a zone; a later summary begins anew."""
        made_at = now - timedelta(seconds=summary.age)
        known = self._target_by_zone.get(zone)
        if known is None or made_at >= known.made_at + MIN_SUMMARY_INTERVAL:
            return _TargetZone(summary, made_at)
        known.summary = summary
        return known

    def begin_round(self, now: datetime) -> bool:
        """Tell whether it is time to look, and count the look."""
        if not self._target_by_zone or (
            self._last_round_at and now - self._last_round_at < ROUND_INTERVAL
        ):
            return False
        self._last_round_at = now
        return True

    def _eligible_targets(self, zones: Collection[str]) -> list[_TargetZone]:
        return [
            offer
            for zone, offer in sorted(self._target_by_zone.items())
            if zone in zones and offer.summary.in_service and offer.summary.age <= STALE_AFTER
        ]

    def evacuate(self, candidates: Iterable[Candidate]) -> Iterator[Move]:
        """Offer the jobs of a zone that is out; they go where they wait least."""
        for (record, zones), _ in zip(candidates, range(MAX_MOVES_PER_ROUND)):
            need = GangDemand.of(record.request)
            targets = self._eligible_targets(zones)
            if targets:
                home = self._claim_instance(record, need, targets)
                offer = home or min(
                    targets, key=lambda offer: (not offer.can_fit(need), offer.load)
                )
                if home is None:
                    offer.deduct(need)
                yield Move(record.id, offer.summary.zone)

    def balance(self, candidates: Iterable[Candidate], now: datetime) -> Iterator[Move]:
        """Offer jobs that wait in vain to zones with a home, with room or with far less load.

        A job that could never run here goes where it may wait with hope.
        """
        offered = 0
        for record, zones in candidates:
            if offered == MAX_MOVES_PER_ROUND:
                return
            target = self._zone_with_unclaimed(record, zones, now) or self._zone_with_capacity(
                record, zones, now
            )
            if target is not None:
                offered += 1
                yield Move(record.id, target)

    def _must_wait(self, record: JobRecord, now: datetime, backoff: timedelta) -> bool:
        if record.moves >= MAX_MOVES:
            return True
        return now - self._arrived_at.get(record.id, now) < backoff * 2**record.moves

    def _zone_with_unclaimed(
        self, record: JobRecord, zones: Collection[str], now: datetime
    ) -> str | None:
        """Return a zone with an unclaimed home; a claim goes there as soon as urgent work."""
        if self._must_wait(record, now, URGENT_MOVE_BACKOFF):
            return None
        offer = self._claim_instance(
            record, GangDemand.of(record.request), self._eligible_targets(zones)
        )
        return offer.summary.zone if offer else None

    def _zone_with_capacity(
        self, record: JobRecord, zones: Collection[str], now: datetime
    ) -> str | None:
        """Return the least loaded zone with room, once the job has waited for long enough."""
        urgent = record.request.job_class is JobClass.URGENT
        if self._must_wait(record, now, URGENT_MOVE_BACKOFF if urgent else MOVE_BACKOFF):
            return None
        need = GangDemand.of(record.request)
        targets = self._eligible_targets(zones)
        fitting = [offer for offer in targets if offer.can_fit(need)]
        if not fitting and self._zone not in zones:
            fitting = targets
        if not fitting and self._balance_load:
            fitting = [offer for offer in targets if offer.load + LOAD_TOLERANCE < self._load]
        if not fitting:
            return None
        offer = min(fitting, key=lambda offer: offer.load)
        offer.deduct(need)
        self._waiting_accelerators -= need.accelerators
        return offer.summary.zone

    def _claim_instance(
        self, record: JobRecord, need: GangDemand, targets: list[_TargetZone]
    ) -> _TargetZone | None:
        """Return the zone with an unclaimed home for the gang, and count it as claimed."""
        for offer in targets:
            for unit in self._units.get(offer.summary.zone, ()):
                name = f"{unit.workspace}/{unit.guarantee}"
                if unit.workspace != record.request.workspace or not offer.unclaimed.get(name):
                    continue
                if need.accelerators <= unit.need.accelerators:
                    offer.deduct_claim(name, need)
                    return offer
        return None
