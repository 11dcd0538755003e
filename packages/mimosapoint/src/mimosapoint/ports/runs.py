"""Port to workers that run tasks under a lease, and to what they and the operators publish."""

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
    """Another worker answers at this address."""

    code = "worker-replaced"


@attrs.frozen
class WorkerRegistration:
    """What a worker says of itself.

    :param id: id of the worker.
    :param address: ``IP:port`` of the worker.
    :param pool: service that it works for.
    :param zone: availability zone.
    :param rack: rack; empty when unknown.
    :param labels: its labels, kind and rack among them.
    :param capacity: what all tasks together may use.
    :param draining: whether it takes no new work.
    :param born: start of this incarnation, in milliseconds of the worker's wall clock; 0 when it
        does not say.
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


@attrs.frozen
class RunStatus:
    """A run that a worker has.

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
    """A run that ended and is not acknowledged.

    :param number: position in the worker's list of ends, from 1.
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
    """A worker's answer.

    :param clock_ms: the worker's steady clock, in milliseconds.
    :param born: start of this incarnation, in milliseconds of the worker's wall clock.
    :param running: what it runs.
    :param ended: ends that are not acknowledged, oldest first.
    """

    clock_ms: int
    born: int = 0
    running: tuple[RunStatus, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@attrs.frozen
class RenewLeaseOrder:
    """Renewal of a worker's lease and acknowledgement of ends.

    :param token: fencing token.
    :param lease_until_ms: end of the lease on the worker's clock; ``None`` leaves it as it is.
    :param acknowledged: number of the last end that is stored.
    :param wait: how long the answer may wait for the next end.
    """

    token: int
    lease_until_ms: int | None
    acknowledged: int
    wait: timedelta = timedelta(0)


@attrs.frozen
class StartOrder:
    """Order to start a run.

    :param task: the task.
    :param run: number of the run, the same for all members of a gang.
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
    """Order to stop a run, and to bar it when it has not started.

    :param task: the task.
    :param run: number of the run.
    :param token: fencing token.
    """

    task: TaskId
    run: int
    token: int


class RunWorkers(Protocol):
    """Orders to workers.

    Every call may raise :class:`~mimosapoint.errors.WorkerUnreachable` (it may have had its effect,
    or may have it seconds later), :class:`~mimosapoint.errors.StaleEpoch` (a newer owner holds
    the worker), :class:`WorkerReplaced` or :class:`~mimosapoint.errors.WorkerRefused` (no effect).
    """

    async def renew_lease(
        self, worker: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Renew the lease and return what runs and what ended."""
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
    """An availability zone that the operators have taken out of service."""

    zone: str


class OperatorEntryDecoder(Protocol):
    """How operators write to the store."""

    prefix: str

    def decode(self, entry: Entry) -> CellConfiguration | WithdrawnZone | None:
        """Return what an entry says; ``None`` when it concerns others.

        :raises CodecError: the entry cannot be read.
        """
        ...

    def withdrawn_zone(self, key: str) -> str | None:
        """Return the availability zone that a key withdraws, or ``None``."""
        ...


class WorkerEntryDecoder(Protocol):
    """How workers register themselves in the store."""

    prefix: str

    def decode(self, entry: Entry) -> WorkerRegistration:
        """Return the worker of an entry.

        :raises CodecError: the entry names no worker to use.
        """
        ...
