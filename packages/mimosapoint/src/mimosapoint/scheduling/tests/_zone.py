"""A small availability zone for tests of policies."""

from datetime import datetime, timedelta, timezone

import attrs

from mimosapoint.configuration import (
    Capacity,
    Configuration,
    Guarantee,
    Policies,
    Workspace,
    Zone,
    ZoneMode,
)
from mimosapoint.model import (
    Adjacency,
    JobClass,
    JobRecord,
    JobRequest,
    JobState,
    Placement,
    Resources,
)
from mimosapoint.scheduling import Decision, WorkerView, ZoneView

START = datetime(2026, 1, 5, tzinfo=timezone.utc)
WORKER = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)


def task_resources(accelerators: int) -> Resources:
    return Resources(1, 12 * accelerators, 24 * accelerators, accelerators)


def configuration(
    racks: int = 2, workers: int = 3, guarantees: dict[str, tuple[Guarantee, ...]] | None = None
) -> Configuration:
    """Return a configuration with one zone ``a`` and a workspace for each guarantees entry."""
    if guarantees is None:
        guarantees = {
            "north": (Guarantee("wide", 2, task_resources(8)),),
            "south": (Guarantee("small", 4, task_resources(1), count=2),),
            "borrower": (),
        }
    by_id = {id: Workspace("region", found) for id, found in guarantees.items()}
    zone = Zone("region", Capacity(racks, workers, WORKER))
    return Configuration(1, {"a": zone}, by_id, Policies())


class FakeZoneOwner:
    """Applies decisions at once, where the owner of a zone needs time."""

    def __init__(self, policy, document: Configuration):
        self.policy = policy
        self.view = ZoneView("a", START, document, {}, {}, [])
        capacity = document.zones_by_id["a"].capacity
        for rack in range(capacity.racks):
            for number in range(capacity.workers_per_rack):
                id = f"r{rack}w{number}"
                worker = WorkerView(id, f"r{rack}", capacity.worker, capacity.worker)
                self.view.workers_by_id[id] = worker
        self._number = 0

    def submit(
        self,
        workspace: str,
        gang: int = 1,
        accelerators: int = 1,
        job_class: JobClass = JobClass.NORMAL,
        **fields,
    ) -> str:
        """Add a waiting job and return its id."""
        self._number += 1
        fields.setdefault("adjacency", Adjacency.RACK)
        request = JobRequest(
            workspace,
            "service",
            str(self._number),
            job_class,
            gang,
            task_resources(accelerators),
            **fields,
        )
        record = JobRecord(f"a~{self._number:04}", request, JobState.QUEUED, self.view.now)
        self.view.waiting.append(record)
        return record.id

    def decide(self, seconds: float = 1.0) -> Decision:
        """Advance the time, and return a decision without applying it."""
        self.view.now += timedelta(seconds=seconds)
        return self.policy.decide(self.view)

    def step(self, seconds: float = 1.0) -> Decision:
        """Make and apply a decision; preempted gangs stop in :meth:`finish_stops`."""
        decision = self.decide(seconds)
        self.apply(decision)
        return decision

    def apply(self, decision: Decision) -> None:
        by_id = {record.id: record for record in self.view.waiting}
        for assignment in decision.assignments:
            record = by_id.pop(assignment.job)
            placement = Placement(1, assignment.workers, assignment.guarantee)
            self.view.running_by_id[record.id] = attrs.evolve(
                record, state=JobState.RUNNING, placement=placement, started_at=self.view.now
            )
            for worker in assignment.workers:
                self.view.workers_by_id[worker].free -= record.request.shape
        for preemption in decision.preemptions:
            record = self.view.running_by_id[preemption.job]
            self.view.running_by_id[preemption.job] = attrs.evolve(record, state=JobState.STOPPING)
        for job in (*decision.moves, *decision.refusals):
            by_id.pop(job.job)
        self.view.waiting = list(by_id.values())

    def end(self, job: str) -> JobRecord:
        """End a running job and free its resources."""
        record = self.view.running_by_id.pop(job)
        for worker in record.placement.workers:
            self.view.workers_by_id[worker].free += record.request.shape
        return record

    def finish_stops(self) -> None:
        """Return every job that is being stopped to the queue."""
        for job, record in list(self.view.running_by_id.items()):
            if record.state is JobState.STOPPING:
                record = self.end(job)
                self.view.waiting.append(
                    attrs.evolve(record, state=JobState.QUEUED, started_at=None)
                )

    def fail_worker(self, worker: str) -> None:
        """Make a worker unusable and return its jobs to the queue."""
        self.view.workers_by_id[worker].usable = False
        for job, record in list(self.view.running_by_id.items()):
            if worker in record.placement.workers:
                self.view.running_by_id[job] = attrs.evolve(record, state=JobState.STOPPING)
        self.finish_stops()

    def set_mode(self, mode: ZoneMode) -> None:
        document = self.view.configuration
        zone = attrs.evolve(document.zones_by_id["a"], mode=mode)
        self.view.configuration = attrs.evolve(
            document, version=document.version + 1, zones_by_id={"a": zone}
        )

    def running(self) -> set[str]:
        return set(self.view.running_by_id)
