"""Encoding of orders, replies and errors as lists of JSON values.

An order is ``[number, kind, worker id, worker address, ...]`` and its reply
``[number, kind, ...]``. A job is sent once, before the first start order that refers to it.
"""

from datetime import timedelta
from typing import Any

from mimosapoint.errors import (
    CodecError,
    MimosapointError,
    StaleEpoch,
    WorkerNotListening,
    WorkerRefused,
    WorkerUnreachable,
)
from mimosapoint.ports import (
    EndedRun,
    RenewLeaseOrder,
    RunStatus,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, TaskId

__all__ = [
    "DECODING_ERRORS",
    "ERROR",
    "JOB",
    "JOB_CACHE_SIZE",
    "RENEW_LEASE",
    "START",
    "STOP",
    "decode_clock",
    "encode_clock",
    "decode_error",
    "encode_error",
    "decode_renewal",
    "encode_renewal",
    "decode_run_report",
    "encode_run_report",
    "decode_start",
    "encode_start",
    "decode_stop",
    "encode_stop",
    "decode_worker",
]

Message = list[Any]

RENEW_LEASE = "hold"
START = "start"
STOP = "stop"
JOB = "job"
ERROR = "error"
RUN_REPORT = "lists"
CLOCK = "clock"

JOB_CACHE_SIZE = 1024
"""Number of most recently used jobs that both ends of a stream cache; those of some minutes."""

MILLISECOND = timedelta(milliseconds=1)

RENEWAL_FIELDS = 8
"""Fields of a lease renewal in earlier versions."""

DECODING_ERRORS = (ArithmeticError, LookupError, TypeError, ValueError)
"""Errors of decoding a message of another form; :class:`CodecError` is raised for wrong values."""

DETAIL_ERRORS_BY_CODE = {
    error.code: error
    for error in (WorkerNotListening, WorkerReplaced, WorkerRefused, WorkerUnreachable)
}
"""Errors that are encoded with their detail; others carry a value of their own. Earlier versions
take one that they do not know for ``WorkerUnreachable``, whose outcome is unknown."""


def encode_renewal(number: int, worker: WorkerRegistration, order: RenewLeaseOrder) -> Message:
    """Return the message for a lease renewal."""
    wait = order.wait / MILLISECOND
    lease = order.lease_until_ms
    return [
        number,
        RENEW_LEASE,
        worker.id,
        worker.address,
        order.token,
        lease,
        order.acknowledged,
        wait,
        order.patience / MILLISECOND,
    ]


def encode_start(number: int, worker: WorkerRegistration, order: StartOrder) -> Message:
    """Return the message for a start; the job itself is sent in a separate message."""
    return [
        number,
        START,
        worker.id,
        worker.address,
        _encode_task(order.task),
        order.run,
        order.token,
        order.not_after_ms,
        order.checkpoint,
    ]


def encode_stop(number: int, worker: WorkerRegistration, order: StopOrder) -> Message:
    """Return the message for a stop."""
    task = _encode_task(order.task)
    return [number, STOP, worker.id, worker.address, task, order.run, order.token]


def decode_worker(message: Message) -> WorkerRegistration:
    """Return a registration with only the id and the address of an order's worker."""
    worker, address = map(_text, message[2:4])
    return WorkerRegistration(worker, address, "", "", "", frozenset(), ResourceAmounts())


def decode_renewal(message: Message) -> RenewLeaseOrder:
    """Return the lease renewal in a message."""
    token, lease, acknowledged, wait = message[4:8]
    lease = None if lease is None else _integer(lease)
    # An owner of an earlier version states no patience.
    patience = message[8] if len(message) > RENEWAL_FIELDS else 0
    return RenewLeaseOrder(
        _integer(token),
        lease,
        _integer(acknowledged),
        wait * MILLISECOND,
        patience * MILLISECOND,
    )


def decode_start(message: Message, job: AcceptedJob) -> StartOrder:
    """Return the start in a message."""
    task, run, token, not_after, checkpoint = message[4:9]
    return StartOrder(
        _decode_task(task),
        _integer(run),
        job,
        _integer(token),
        _integer(not_after),
        _text(checkpoint),
    )


def decode_stop(message: Message) -> StopOrder:
    """Return the stop in a message."""
    task, run, token = message[4:7]
    return StopOrder(_decode_task(task), _integer(run), _integer(token))


def encode_clock(number: int, clock_ms: int) -> Message:
    """Return the reply to a start with the worker's clock; the reply to a stop has 0."""
    return [number, CLOCK, clock_ms]


def encode_run_report(number: int, report: WorkerRunReport) -> Message:
    """Return the reply to a lease renewal."""
    running = [
        [_encode_task(run_status.task), run_status.run, run_status.checkpoint, run_status.percent]
        for run_status in report.running
    ]
    ended = [
        [
            ended_run.number,
            _encode_task(ended_run.task),
            ended_run.run,
            ended_run.end.value,
            ended_run.checkpoint,
        ]
        for ended_run in report.ended
    ]
    return [number, RUN_REPORT, report.clock_ms, report.born, running, ended]


def decode_run_report(message: Message) -> WorkerRunReport:
    """Return the run report in a reply.

    :raises CodecError: the reply is of another kind.
    """
    if message[1] != RUN_REPORT:
        raise CodecError(f"expected a run report, got {message[1]}")
    running = tuple(
        RunStatus(_decode_task(task), _integer(run), _text(checkpoint), _integer(percent))
        for task, run, checkpoint, percent in message[4]
    )
    ended = tuple(
        EndedRun(_integer(number), _decode_task(task), _integer(run), RunEnd(end), _text(value))
        for number, task, run, end, value in message[5]
    )
    return WorkerRunReport(_integer(message[2]), _integer(message[3]), running, ended)


def decode_clock(message: Message) -> int:
    """Return the worker's clock in the reply to a start.

    :raises CodecError: the reply is of another kind.
    """
    if message[1] != CLOCK:
        raise CodecError(f"expected a clock, got {message[1]}")
    return _integer(message[2])


def encode_error(number: int, error: MimosapointError) -> Message:
    """Return the reply for a failed order."""
    value: Any = error.detail
    if isinstance(error, StartRefused):
        value = error.reason
    elif isinstance(error, StaleEpoch):
        value = error.current
    return [number, ERROR, error.code, value]


def decode_error(message: Message) -> MimosapointError:
    """Return the error in a reply; an unknown code means an unknown outcome of the order."""
    code, value = _text(message[2]), message[3]
    if code == StaleEpoch.code:
        return StaleEpoch(_integer(value))
    value = _text(value)
    if code == StartRefused.code:
        return StartRefused(value)
    return DETAIL_ERRORS_BY_CODE.get(code, WorkerUnreachable)(value)


def _encode_task(task: TaskId) -> Message:
    return [task.job, task.occurrence, task.step, task.index]


def _decode_task(value: Any) -> TaskId:
    job, occurrence, step, index = value
    return TaskId(_text(job), _integer(occurrence), _integer(step), _integer(index))


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise CodecError(f"expected an integer, got {value!r}")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise CodecError(f"expected a text, got {value!r}")
    return value
