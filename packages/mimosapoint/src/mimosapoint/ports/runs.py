"""Port to workers that run tasks under a lease, and decoders of workers' and operators' entries."""

from datetime import timedelta
from typing import Protocol

import attrs

from mimosapoint.errors import MimosapointError
from mimosapoint.ports.store import Entry
from mimosapoint.workload import AcceptedJob, CellConfiguration, ResourceAmounts, RunEnd, TaskId

__all__ = [
    "EndedRun",
    "RenewLeaseOrder",
    "OperatorEntryDecoder",
    "WorkerRegistration",
    "RunStatus",
    "RunWorkers",
    "StartOrder",
    "StartRefused",
    "StopOrder",
    "WithdrawnZone",
    "WorkerEntryDecoder",
    "WorkerRunReport",
    "WorkerReplaced",
]


class StartRefused(MimosapointError):
    """The worker did not start the run.

    :param reason: ``room``, ``old``, ``late``, ``fenced``, ``unhealthy`` or ``invalid``.
    """

    code = "start-refused"

    def __init__(self, reason: str):
        super().__init__(f"the worker refused the start: {reason}")
        self.reason = reason


class WorkerReplaced(MimosapointError):
    """Another worker or incarnation replies at the address."""

    code = "worker-replaced"


@attrs.frozen
class WorkerRegistration:
    """Registration that a worker publishes in the store.

    :param id: id of the worker.
    :param address: ``IP:port`` of the worker.
    :param pool: service whose tasks it runs.
    :param zone: availability zone.
    :param rack: rack; empty when unknown.
    :param labels: labels, including kind and rack.
    :param capacity: resources for all of its tasks together.
    :param draining: whether it accepts no new tasks.
    :param born: start of this incarnation, in milliseconds of the worker's wall clock; 0 when it
        is not published.
    :param leaves_at_ms: earliest time at which a draining worker leaves, in milliseconds of its
        steady clock; 0 when it is not published.
    """

    id: str
    address: str
    pool: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: ResourceAmounts
    draining: bool = False
    born: int = 0
    leaves_at_ms: int = 0


@attrs.frozen
class RunStatus:
    """State of a run that has not ended.

    :param task: the task.
    :param run: number of the run.
    :param checkpoint: newest checkpoint; empty for none.
    :param percent: progress in percent.
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0


@attrs.frozen
class EndedRun:
    """Run that has ended and whose end has not been acknowledged.

    :param number: sequence number of the end within the worker's incarnation, from 1.
    :param task: the task.
    :param run: number of the run.
    :param end: how it ended.
    :param checkpoint: newest checkpoint; empty for none.
    """

    number: int
    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str = ""


@attrs.frozen
class WorkerRunReport:
    """Reply of a worker to a lease renewal.

    :param clock_ms: the worker's monotonic clock, in milliseconds.
    :param born: start of this incarnation, in milliseconds of the worker's wall clock.
    :param running: runs that have not ended.
    :param ended: ended runs that have not been acknowledged, oldest first.
    """

    clock_ms: int
    born: int = 0
    running: tuple[RunStatus, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@attrs.frozen
class RenewLeaseOrder:
    """Order to renew a worker's lease and acknowledge ended runs.

    :param token: fencing token.
    :param lease_until_ms: expiry of the lease on the worker's clock; ``None`` leaves it unchanged.
    :param acknowledged: sequence number of the last end that is durable.
    :param wait: longest time to wait for an ended run before the reply.
    :param patience: time to wait for the reply in addition to the usual timeout.
    """

    token: int
    lease_until_ms: int | None
    acknowledged: int
    wait: timedelta = timedelta(0)
    patience: timedelta = timedelta(0)


@attrs.frozen
class StartOrder:
    """Order to start a run.

    :param task: the task.
    :param run: number of the run, the same for all tasks of a gang.
    :param job: job of the task.
    :param token: fencing token.
    :param not_after_ms: time on the worker's clock after which the order has no effect.
    :param checkpoint: checkpoint to resume from; empty for none.
    """

    task: TaskId
    run: int
    job: AcceptedJob
    token: int
    not_after_ms: int
    checkpoint: str = ""


@attrs.frozen
class StopOrder:
    """Order to stop a run, or to prevent its start when it has not started.

    :param task: the task.
    :param run: number of the run.
    :param token: fencing token.
    """

    task: TaskId
    run: int
    token: int


class RunWorkers(Protocol):
    """Orders to workers.

    Every call may raise :class:`~mimosapoint.errors.WorkerUnreachable` (unknown outcome: the order
    may have had its effect, or may have it seconds later), :class:`~mimosapoint.errors.StaleEpoch`
    (the worker has accepted a newer fencing token), :class:`WorkerReplaced` or
    :class:`~mimosapoint.errors.WorkerRefused` (no effect).
    """

    async def renew_lease(
        self, worker: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Renew the lease and return the run report."""
        ...

    async def start(self, worker: WorkerRegistration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds.

        :raises StartRefused: the run has not started.
        """
        ...

    async def stop(self, worker: WorkerRegistration, order: StopOrder) -> None:
        """Stop a run."""
        ...


@attrs.frozen
class WithdrawnZone:
    """Availability zone that the operators have taken out of service."""

    zone: str


class OperatorEntryDecoder(Protocol):
    """Decoder of the entries that operators write to the store."""

    prefix: str

    def decode(self, entry: Entry) -> CellConfiguration | WithdrawnZone | None:
        """Return the content of an entry, or ``None`` when the cell does not use the entry.

        :raises CodecError: the entry cannot be read.
        """
        ...

    def withdrawn_zone(self, key: str) -> str | None:
        """Return the availability zone that an entry with this key withdraws, or ``None``."""
        ...


class WorkerEntryDecoder(Protocol):
    """Decoder of the entries with which workers register in the store."""

    prefix: str

    def decode(self, entry: Entry) -> WorkerRegistration:
        """Return the registration in an entry.

        :raises CodecError: the entry holds no usable registration.
        """
        ...
