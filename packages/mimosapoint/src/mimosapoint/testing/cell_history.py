"""History of a cell: timed observations of callers, operators, workers and the store.

Times are those of the trio clock, in seconds.
"""

from enum import Enum

import attrs

from mimosapoint.memory import RunRecord
from mimosapoint.ports import WorkerRegistration
from mimosapoint.workload import Phase, ResourceAmounts, Step

__all__ = [
    "AuthenticationObservation",
    "CancellationObservation",
    "CellHistory",
    "ClaimObservation",
    "ConfigurationObservation",
    "ConfigurationWrite",
    "CountObservation",
    "DisturbanceObservation",
    "EpochObservation",
    "FinalReadObservation",
    "PhaseObservation",
    "PlannedStopObservation",
    "SubmissionObservation",
    "SubmissionOutcome",
    "WorkerCrashObservation",
    "WorkerDrain",
    "ZoneWithdrawal",
]


class SubmissionOutcome(Enum):
    """Final result of a submission for its caller."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define
class SubmissionObservation:
    """A caller's submission.

    :param job: id of the job.
    :param steps: steps of the job.
    :param node: node that was called last.
    :param sent_at: time of the first call.
    :param ended_at: time of the final result; ``None`` while there is none.
    :param outcome: the final result, or ``None``.
    :param max_attempts: number of failed runs of a unit at which the job may fail.
    """

    job: str
    steps: tuple[Step, ...]
    node: str
    sent_at: float
    ended_at: float | None = None
    outcome: SubmissionOutcome | None = None
    max_attempts: int = 3


@attrs.frozen
class PhaseObservation:
    """A phase that a node reported to a caller.

    :param job: id of the job.
    :param sent_at: time of the query.
    :param at: time of the reply.
    :param phase: the phase; ``None`` if the job was not found.
    """

    job: str
    sent_at: float
    at: float
    phase: Phase | None


@attrs.frozen
class FinalReadObservation:
    """A read of a job at one node after the faults.

    :param job: id of the job.
    :param node: id of the node.
    :param reply: the reply; ``None`` if the request was refused or got no reply in time.
    """

    job: str
    node: str
    reply: PhaseObservation | None


@attrs.frozen
class CancellationObservation:
    """A caller's cancellation.

    :param job: id of the job.
    :param sent_at: time of the call.
    :param accepted_at: time of the reply; ``None`` if it was not accepted.
    :param stop_bound_seconds: longest time from the reply to the end of the job's last run.
    :param is_refused: whether the caller was told that the job was not cancelled.
    """

    job: str
    sent_at: float
    accepted_at: float | None
    stop_bound_seconds: float
    is_refused: bool = False


@attrs.frozen
class ClaimObservation:
    """A job that a guarantee covers.

    :param job: id of the job.
    :param claimed_at: time from which the bound counts.
    :param start_bound_seconds: longest time until every task of its first step has started.
    """

    job: str
    claimed_at: float
    start_bound_seconds: float


@attrs.define
class ZoneWithdrawal:
    """An availability zone out of service; ``returned_at`` is ``None`` while it is out."""

    zone: str
    withdrawn_at: float
    returned_at: float | None = None


@attrs.define
class WorkerDrain:
    """A worker registered as draining; ``returned_at`` is ``None`` while it drains."""

    worker: str
    drained_at: float
    returned_at: float | None = None


@attrs.frozen
class WorkerCrashObservation:
    """A crash of a worker that no task caused; it ends the runs there at the same time."""

    worker: str
    at: float


@attrs.frozen
class DisturbanceObservation:
    """A fault, from its begin until nodes, workers and store are whole again."""

    name: str
    began_at: float
    ended_at: float


@attrs.frozen
class PlannedStopObservation:
    """A planned stop of a node, from the request to the end of its process."""

    node: str
    at: float
    ended_at: float


@attrs.frozen
class ConfigurationWrite:
    """A configuration that operators stored.

    :param version: its version.
    :param at: time at which it was stored.
    :param keys: API keys of all workspaces.
    """

    version: int
    at: float
    keys: frozenset[str]


@attrs.frozen
class ConfigurationObservation:
    """A configuration by which a node serves callers.

    :param node: id of the node.
    :param at: time of the observation.
    :param version: version of the configuration.
    """

    node: str
    at: float
    version: int


@attrs.frozen
class AuthenticationObservation:
    """An API key that a node accepted.

    :param node: id of the node.
    :param at: time of the reply.
    :param key: the key.
    """

    node: str
    at: float
    key: str


@attrs.frozen
class EpochObservation:
    """An epoch in the store and the time at which it was first seen there."""

    epoch: int
    at: float


@attrs.frozen
class CountObservation:
    """The published number of jobs that have not begun, over all queues.

    :param at: time of the observation.
    :param waiting: the number.
    """

    at: float
    waiting: int


@attrs.define
class CellHistory:
    """Every observation of a run of a cell.

    :param ended_at: end of the observations.
    :param zones_by_worker: availability zone of each worker.
    :param runs: runs that workers accepted, in the order of their starts.
    :param over_capacity_workers: ids of workers whose runs exceeded the capacity.
    :param workers_by_id: registrations of the workers outside of disturbances.
    :param cap: cap of the callers' workspace; 0 is no limit.
    """

    ended_at: float = 0.0
    zones_by_worker: dict[str, str] = attrs.field(factory=dict)
    runs: list[RunRecord] = attrs.field(factory=list)
    over_capacity_workers: list[str] = attrs.field(factory=list)
    workers_by_id: dict[str, WorkerRegistration] = attrs.field(factory=dict)
    cap: ResourceAmounts = ResourceAmounts()
    submissions: list[SubmissionObservation] = attrs.field(factory=list)
    phases: list[PhaseObservation] = attrs.field(factory=list)
    final_reads: list[FinalReadObservation] = attrs.field(factory=list)
    cancellations: list[CancellationObservation] = attrs.field(factory=list)
    counts: list[CountObservation] = attrs.field(factory=list)
    claims: list[ClaimObservation] = attrs.field(factory=list)
    withdrawals: list[ZoneWithdrawal] = attrs.field(factory=list)
    drains: list[WorkerDrain] = attrs.field(factory=list)
    worker_crashes: list[WorkerCrashObservation] = attrs.field(factory=list)
    disturbances: list[DisturbanceObservation] = attrs.field(factory=list)
    planned_stops: list[PlannedStopObservation] = attrs.field(factory=list)
    configuration_writes: list[ConfigurationWrite] = attrs.field(factory=list)
    configurations: list[ConfigurationObservation] = attrs.field(factory=list)
    authentications: list[AuthenticationObservation] = attrs.field(factory=list)
    epochs: list[EpochObservation] = attrs.field(factory=list)

    def crash_times(self) -> set[tuple[str, float]]:
        """Return the workers that crashed, whatever made them crash, and when."""
        by_tasks = {(run.worker, run.ended_at) for run in self.runs if run.crashed_worker}
        return by_tasks | {(crash.worker, crash.at) for crash in self.worker_crashes}

    def runs_of(self, job: str) -> list[RunRecord]:
        """Return the runs of a job, in the order of their starts."""
        return [run for run in self.runs if run.task.job == job]
