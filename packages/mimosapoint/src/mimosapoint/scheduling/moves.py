"""Offers of waiting jobs to availability zones that can run them sooner."""

import math
from collections.abc import Collection, Iterable, Iterator
from datetime import datetime, timedelta

from mimosapoint.configuration import Configuration
from mimosapoint.model import Adjacency, JobClass, JobRecord
from mimosapoint.scheduling.homes import Unit, units_of
from mimosapoint.scheduling.places import Need
from mimosapoint.scheduling.view import Move, ZoneSummary, ZoneView

__all__ = ["Mover"]

EVERY = timedelta(seconds=1)
"""Pause between two looks at the other zones."""

STALE_AFTER = 15.0
"""Seconds after which a summary is not trusted."""

MOVES = 8
"""Moves after which a job stays where it is."""

URGENT_PATIENCE = timedelta(milliseconds=300)
"""Wait of urgent work before its first move; it doubles with each move."""

PATIENCE = timedelta(seconds=5)
"""Wait of other work before its first move; it doubles with each move."""

SAME_SUMMARY = timedelta(milliseconds=1)
"""Difference up to which two ages tell of the same summary."""

OFFERED_SHARE = 0.5
"""Share of another zone's free room that is offered between two of its summaries."""

UNEVENNESS = 0.5
"""Difference of load, in zones full of work, that is left between zones."""

PER_LOOK = 32
"""Jobs offered in one look."""


Candidate = tuple[JobRecord, Collection[str]]
"""A waiting job and the zones that could run it."""


class _Offer:
    """What is left of another zone's room, as its last summary gave it."""

    def __init__(self, summary: ZoneSummary, made_at: datetime):
        self.summary = summary
        self.made_at = made_at
        self.accelerators = math.ceil(summary.free_accelerators * OFFERED_SHARE)
        self.slots = math.ceil(summary.free_slots * OFFERED_SHARE)
        self.unclaimed = dict(summary.unclaimed_by_guarantee)
        self.queued = summary.waiting_accelerators

    def has_block(self, need: Need) -> bool:
        """Tell whether the gang would find adjacent room."""
        if need.gang > self.slots or need.accelerators > self.accelerators:
            return False
        if not need.vector[3]:
            return True
        sizes = [size for size in self.summary.tasks_by_size if size >= need.vector[3]]
        if not sizes:
            return False
        in_rack, in_zone = self.summary.tasks_by_size[min(sizes)]
        wide = need.adjacency is Adjacency.AVAILABILITY_ZONE
        return need.gang <= (in_zone if wide else in_rack)

    def take(self, need: Need) -> None:
        """Count a job that was offered."""
        self.accelerators -= need.accelerators
        self.slots -= need.gang
        self.queued += need.accelerators

    def take_home(self, name: str, need: Need) -> None:
        """Count a job that was offered for a guarantee."""
        self.unclaimed[name] -= 1
        self.take(need)

    @property
    def load(self) -> float:
        """Share of the zone that is used and waited for."""
        summary = self.summary
        used = summary.capacity_accelerators - summary.free_accelerators
        return (used + self.queued) / max(1, summary.capacity_accelerators)


class Mover:
    """Remembers what it has offered since the last summaries.

    :param even: whether jobs also go where far less work is used and waited for.
    """

    def __init__(self, even: bool = False) -> None:
        self._even = even
        self._offers: dict[str, _Offer] = {}
        self._come_at: dict[str, datetime] = {}
        self._looked_at: datetime | None = None
        self._units: dict[str, tuple[Unit, ...]] = {}
        self._configuration: Configuration | None = None
        self._zone = ""
        self._accelerators = 0
        self._used = 0
        self._queued = 0

    def sync(self, view: ZoneView, come: Iterable[str], waiting: dict[str, JobRecord]) -> None:
        """Take in the summaries and the waiting jobs."""
        for job in self._come_at.keys() - waiting.keys():
            del self._come_at[job]
        for job in come:
            self._come_at.setdefault(job, view.now)
        self._zone = view.zone
        self._count_load(view)
        if self._configuration is not view.configuration:
            self._configuration = view.configuration
            zones = view.configuration.zones_by_id
            self._units = {zone: units_of(view.configuration, zone) for zone in zones}
        summaries = view.other_zones_by_id.items()
        self._offers = {id: self._offer(id, s, view.now) for id, s in summaries}

    def _count_load(self, view: ZoneView) -> None:
        workers = [worker for worker in view.workers_by_id.values() if worker.usable]
        self._accelerators = sum(worker.capacity.accelerators for worker in workers)
        self._used = self._accelerators - sum(worker.free.accelerators for worker in workers)
        requests = [record.request for record in view.waiting]
        self._queued = sum(request.gang * request.shape.accelerators for request in requests)

    @property
    def _load(self) -> float:
        """Share of this zone that is used and waited for."""
        return (self._used + self._queued) / max(1, self._accelerators)

    def _offer(self, zone: str, summary: ZoneSummary, now: datetime) -> _Offer:
        """Return the known offer of a zone, or a new one when its summary is newer."""
        made_at = now - timedelta(seconds=summary.age)
        known = self._offers.get(zone)
        if known is None or made_at - known.made_at > SAME_SUMMARY:
            return _Offer(summary, made_at)
        known.summary = summary
        return known

    def due(self, now: datetime) -> bool:
        """Tell whether it is time to look, and count the look."""
        if not self._offers or (self._looked_at and now - self._looked_at < EVERY):
            return False
        self._looked_at = now
        return True

    def _targets(self, zones: Collection[str]) -> list[_Offer]:
        return [
            offer
            for zone, offer in sorted(self._offers.items())
            if zone in zones and offer.summary.in_service and offer.summary.age <= STALE_AFTER
        ]

    def leave(self, candidates: Iterable[Candidate]) -> Iterator[Move]:
        """Offer the jobs of a zone that is out; they go where they wait least."""
        for (record, zones), _ in zip(candidates, range(PER_LOOK)):
            need = Need.of(record.request)
            targets = self._targets(zones)
            if targets:
                home = self._home(record, need, targets)
                offer = home or min(
                    targets, key=lambda offer: (not offer.has_block(need), offer.load)
                )
                if home is None:
                    offer.take(need)
                yield Move(record.id, offer.summary.zone)

    def balance(self, candidates: Iterable[Candidate], now: datetime) -> Iterator[Move]:
        """Offer jobs that wait in vain to zones with a home, with room or with far less load.

        A job that could never run here goes where it may wait with hope.
        """
        offered = 0
        for record, zones in candidates:
            if offered == PER_LOOK:
                return
            target = self._claim(record, zones, now) or self._room(record, zones, now)
            if target is not None:
                offered += 1
                yield Move(record.id, target)

    def _patient(self, record: JobRecord, now: datetime, patience: timedelta) -> bool:
        if record.moves >= MOVES:
            return True
        return now - self._come_at.get(record.id, now) < patience * 2**record.moves

    def _claim(self, record: JobRecord, zones: Collection[str], now: datetime) -> str | None:
        """Return a zone with an unclaimed home; a claim goes there as soon as urgent work."""
        if self._patient(record, now, URGENT_PATIENCE):
            return None
        offer = self._home(record, Need.of(record.request), self._targets(zones))
        return offer.summary.zone if offer else None

    def _room(self, record: JobRecord, zones: Collection[str], now: datetime) -> str | None:
        """Return the least loaded zone with room, once the job has waited for long enough."""
        urgent = record.request.job_class is JobClass.URGENT
        if self._patient(record, now, URGENT_PATIENCE if urgent else PATIENCE):
            return None
        need = Need.of(record.request)
        targets = self._targets(zones)
        fitting = [offer for offer in targets if offer.has_block(need)]
        if not fitting and self._zone not in zones:
            fitting = targets
        if not fitting and self._even:
            fitting = [offer for offer in targets if offer.load + UNEVENNESS < self._load]
        if not fitting:
            return None
        offer = min(fitting, key=lambda offer: offer.load)
        offer.take(need)
        self._queued -= need.accelerators
        return offer.summary.zone

    def _home(self, record: JobRecord, need: Need, targets: list[_Offer]) -> _Offer | None:
        """Return the zone with an unclaimed home for the gang, and count it as claimed."""
        for offer in targets:
            for unit in self._units.get(offer.summary.zone, ()):
                name = f"{unit.workspace}/{unit.guarantee}"
                if unit.workspace != record.request.workspace or not offer.unclaimed.get(name):
                    continue
                if need.accelerators <= unit.need.accelerators:
                    offer.take_home(name, need)
                    return offer
        return None
