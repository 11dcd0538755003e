"""Planning of moves of waiting jobs to availability zones that can run them sooner."""

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
"""Time between two rounds of moves."""

STALE_AFTER_SECONDS = 15.0
"""Age after which a summary of another zone is ignored."""

MAX_MOVES = 8
"""Moves after which a job stays in its zone, unless the zone is withdrawn."""

URGENT_MOVE_BACKOFF = timedelta(milliseconds=300)
"""Wait of urgent jobs and claims before their first move; it doubles with each move."""

MOVE_BACKOFF = timedelta(seconds=5)
"""Wait of other jobs before their first move; it doubles with each move."""

MAX_TARGET_SHARE = 0.5
"""Largest share of another zone's free capacity that planned moves may take between two of its
summaries."""

MIN_SUMMARY_INTERVAL = timedelta(seconds=1)
"""Least time between two summaries of a zone for the second to count as new."""

LOAD_TOLERANCE = 0.5
"""Difference of load between zones that is not balanced; a load of 1 fills a zone."""

MAX_MOVES_PER_ROUND = 32
"""Moves planned in one round."""

Candidate = tuple[JobRecord, Collection[str]]
"""A waiting job and the zones that could run it."""


class _TargetZone:
    """Capacity of another zone by its last summary, less the moves planned since then."""

    def __init__(self, summary: ZoneSummary, made_at: datetime):
        self.summary = summary
        self.made_at = made_at
        self.accelerators = math.ceil(summary.free_accelerators * MAX_TARGET_SHARE)
        self.slots = math.ceil(summary.free_slots * MAX_TARGET_SHARE)
        self.unclaimed = dict(summary.unclaimed_by_guarantee)
        self.queued = summary.waiting_accelerators

    def can_fit(self, demand: GangDemand) -> bool:
        """Return whether the gang fits into the remaining capacity with its adjacency."""
        if demand.gang > self.slots or demand.accelerators > self.accelerators:
            return False
        if not demand.task_vector[3]:
            return True
        sizes = [size for size in self.summary.tasks_by_size if size >= demand.task_vector[3]]
        if not sizes:
            return False
        in_rack, in_zone = self.summary.tasks_by_size[min(sizes)]
        within_zone = demand.adjacency is Adjacency.AVAILABILITY_ZONE
        return demand.gang <= (in_zone if within_zone else in_rack)

    def deduct(self, demand: GangDemand) -> None:
        """Deduct a planned move."""
        self.accelerators -= demand.accelerators
        self.slots -= demand.gang
        self.queued += demand.accelerators

    def deduct_claim(self, key: str, demand: GangDemand) -> None:
        """Deduct a planned move of a gang that will claim a guarantee.

        :param key: ``workspace/guarantee``.
        """
        self.unclaimed[key] -= 1
        self.deduct(demand)

    @property
    def load(self) -> float:
        """Used and waiting accelerators as a share of the zone's capacity."""
        summary = self.summary
        used = summary.capacity_accelerators - summary.free_accelerators
        return (used + self.queued) / max(1, summary.capacity_accelerators)


class MovePlanner:
    """Plans moves, and tracks those planned since the last summaries of the other zones.

    :param balance_load: whether jobs also move to zones with a much lower load.
    """

    def __init__(self, balance_load: bool = False) -> None:
        self._balance_load = balance_load
        self._target_by_zone: dict[str, _TargetZone] = {}
        self._arrived_at: dict[str, datetime] = {}
        self._last_round_at: datetime | None = None
        self._instances_by_zone: dict[str, tuple[GuaranteeInstance, ...]] = {}
        self._configuration: Configuration | None = None
        self._zone = ""
        self._accelerators = 0
        self._used = 0
        self._waiting_accelerators = 0

    def sync(self, view: ZoneView, arrived: Iterable[str], waiting: dict[str, JobRecord]) -> None:
        """Update the summaries, the load of this zone and the waiting jobs.

        :param arrived: ids of jobs that are new in the queue.
        :param waiting: all waiting jobs by id.
        """
        for job in self._arrived_at.keys() - waiting.keys():
            del self._arrived_at[job]
        for job in arrived:
            self._arrived_at.setdefault(job, view.now)
        self._zone = view.zone
        self._count_load(view)
        if self._configuration is not view.configuration:
            self._configuration = view.configuration
            zones = view.configuration.zones_by_id
            self._instances_by_zone = {
                zone: instances_in_zone(view.configuration, zone) for zone in zones
            }
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
        """Used and waiting accelerators as a share of this zone's capacity."""
        return (self._used + self._waiting_accelerators) / max(1, self._accelerators)

    def _target(self, zone: str, summary: ZoneSummary, now: datetime) -> _TargetZone:
        """Return the remaining capacity of a zone; a new summary resets the deductions."""
        made_at = now - timedelta(seconds=summary.age)
        known = self._target_by_zone.get(zone)
        if known is None or made_at >= known.made_at + MIN_SUMMARY_INTERVAL:
            return _TargetZone(summary, made_at)
        known.summary = summary
        return known

    def begin_round(self, now: datetime) -> bool:
        """Return whether a round of moves is due, and record its start."""
        if not self._target_by_zone or (
            self._last_round_at and now - self._last_round_at < ROUND_INTERVAL
        ):
            return False
        self._last_round_at = now
        return True

    def _eligible_targets(self, zones: Collection[str]) -> list[_TargetZone]:
        return [
            target
            for zone, target in sorted(self._target_by_zone.items())
            if zone in zones
            and target.summary.in_service
            and target.summary.age <= STALE_AFTER_SECONDS
        ]

    def drain(self, candidates: Iterable[Candidate]) -> Iterator[Move]:
        """Plan moves of the waiting jobs of a withdrawn zone.

        A zone with an unclaimed guarantee instance is preferred, then one with enough capacity,
        then the least loaded one.
        """
        for (record, zones), _ in zip(candidates, range(MAX_MOVES_PER_ROUND)):
            demand = GangDemand.of(record.request)
            targets = self._eligible_targets(zones)
            if targets:
                claimed = self._claim_instance(record, demand, targets)
                target = claimed or min(
                    targets, key=lambda target: (not target.can_fit(demand), target.load)
                )
                if claimed is None:
                    target.deduct(demand)
                yield Move(record.id, target.summary.zone)

    def balance(self, candidates: Iterable[Candidate], now: datetime) -> Iterator[Move]:
        """Plan moves to zones with an unclaimed guarantee, enough capacity or a much lower load.

        A job that this zone can never run moves to a zone that could run it, even a full one.
        """
        planned = 0
        for record, zones in candidates:
            if planned == MAX_MOVES_PER_ROUND:
                return
            target_zone = self._claim_in_other_zone(record, zones, now) or self._zone_with_capacity(
                record, zones, now
            )
            if target_zone is not None:
                planned += 1
                yield Move(record.id, target_zone)

    def _must_wait(self, record: JobRecord, now: datetime, backoff: timedelta) -> bool:
        if record.moves >= MAX_MOVES:
            return True
        return now - self._arrived_at.get(record.id, now) < backoff * 2**record.moves

    def _claim_in_other_zone(
        self, record: JobRecord, zones: Collection[str], now: datetime
    ) -> str | None:
        """Return a zone with an unclaimed guarantee instance and deduct the claim.

        Return ``None`` if there is no such zone or the job must wait. A claim waits as
        short a time before its move as urgent work.
        """
        if self._must_wait(record, now, URGENT_MOVE_BACKOFF):
            return None
        target = self._claim_instance(
            record, GangDemand.of(record.request), self._eligible_targets(zones)
        )
        return target.summary.zone if target else None

    def _zone_with_capacity(
        self, record: JobRecord, zones: Collection[str], now: datetime
    ) -> str | None:
        """Return the least loaded suitable zone; ``None`` if there is none or the job must wait."""
        urgent = record.request.job_class is JobClass.URGENT
        if self._must_wait(record, now, URGENT_MOVE_BACKOFF if urgent else MOVE_BACKOFF):
            return None
        demand = GangDemand.of(record.request)
        targets = self._eligible_targets(zones)
        fitting = [target for target in targets if target.can_fit(demand)]
        if not fitting and self._zone not in zones:
            fitting = targets
        if not fitting and self._balance_load:
            fitting = [target for target in targets if target.load + LOAD_TOLERANCE < self._load]
        if not fitting:
            return None
        target = min(fitting, key=lambda target: target.load)
        target.deduct(demand)
        self._waiting_accelerators -= demand.accelerators
        return target.summary.zone

    def _claim_instance(
        self, record: JobRecord, demand: GangDemand, targets: list[_TargetZone]
    ) -> _TargetZone | None:
        """Return a zone with an unclaimed guarantee instance for the gang, and deduct the claim."""
        for target in targets:
            for instance in self._instances_by_zone.get(target.summary.zone, ()):
                key = f"{instance.workspace}/{instance.guarantee}"
                if instance.workspace != record.request.workspace or not target.unclaimed.get(key):
                    continue
                if demand.accelerators <= instance.demand.accelerators:
                    target.deduct_claim(key, demand)
                    return target
        return None
