"""State of one simulated availability zone, and its withdrawal."""

from datetime import datetime

import attrs
from mimosapoint.configuration import Capacity, Configuration
from mimosapoint.model import JobRecord, Resources
from mimosapoint.scheduling import Policy, WorkerView, ZoneSummary, ZoneView

__all__ = ["RunningAttempt", "SimulatedZone", "Withdrawal"]


@attrs.frozen
class Withdrawal:
    """Withdrawal of an availability zone from service for part of a run.

    :param zone: id of the availability zone.
    :param out_at: time of the withdrawal, in seconds from the start of the run.
    :param back_at: time of the return, in seconds from the start of the run.
    """

    zone: str
    out_at: float
    back_at: float


@attrs.define
class RunningAttempt:
    """State of a running attempt that its job record does not hold."""

    start_seconds: float
    initial_progress: float
    speed: float
    ends_at: float


@attrs.define
class SimulatedZone:
    """Simulated availability zone and its policy."""

    id: str
    policy: Policy
    workers_by_id: dict[str, WorkerView]
    waiting_by_id: dict[str, JobRecord] = attrs.field(factory=dict)
    running_by_id: dict[str, JobRecord] = attrs.field(factory=dict)
    decision_due: bool = False
    failing_workers: set[str] = attrs.field(factory=set)

    @classmethod
    def make(cls, id: str, policy: Policy, capacity: Capacity) -> "SimulatedZone":
        """Return a zone whose workers are all free."""
        workers_by_id = {}
        for rack in range(capacity.racks):
            for slot in range(capacity.workers_per_rack):
                name = f"{id}-r{rack:02}-w{slot:02}"
                workers_by_id[name] = WorkerView(
                    name, f"{id}-r{rack:02}", capacity.worker, capacity.worker
                )
        return cls(id, policy, workers_by_id)

    def view(
        self, now: datetime, configuration: Configuration, others: dict[str, ZoneSummary]
    ) -> ZoneView:
        """Return what the policy of the zone decides by.

        :param others: summaries of the other zones by id.
        """
        waiting = sorted(self.waiting_by_id.values(), key=lambda record: record.submitted_at)
        return ZoneView(
            self.id,
            now,
            configuration,
            self.workers_by_id,
            dict(self.running_by_id),
            waiting,
            others,
        )

    def find_running(self, job: str, attempt: int) -> JobRecord | None:
        """Return the record of a job if this attempt of it is placed or runs here."""
        record = self.running_by_id.get(job)
        return record if record is not None and record.placement.attempt == attempt else None

    def occupy(self, record: JobRecord) -> None:
        """Take the capacity of a placement, which may be more than is free."""
        for worker in self._placed_workers(record):
            worker.free = worker.free - record.request.shape

    def vacate(self, record: JobRecord) -> None:
        """Give the capacity of a placement back."""
        for worker in self._placed_workers(record):
            worker.free = worker.free + record.request.shape

    def accepts(self, record: JobRecord) -> bool:
        """Return whether the workers of an occupied placement are usable and not over capacity."""
        return all(
            worker.usable and Resources(0, 0, 0, 0).fits_in(worker.free)
            for worker in self._placed_workers(record)
        )

    def _placed_workers(self, record: JobRecord) -> list[WorkerView]:
        return [self.workers_by_id[name] for name in record.placement.workers]
