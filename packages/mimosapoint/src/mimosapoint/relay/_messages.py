"""Orders, answers and errors as rows of plain values.

An order's row is ``[number, kind, worker's id, its address, ...]``, an answer's
``[number, kind, ...]``. A job is told once, before the first start that needs it.
"""

from datetime import timedelta
from typing import Any

from mimosapoint.errors import (
    CodecError,
    MimosapointError,
    StaleEpoch,
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
    "ERROR",
    "HOLD",
    "JOB",
    "JOB_CACHE_SIZE",
    "START",
    "STOP",
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

HOLD = "hold"
START = "start"
STOP = "stop"
JOB = "job"
ERROR = "error"
LISTS = "lists"
CLOCK = "clock"

JOB_CACHE_SIZE = 1024
"""Jobs that both ends of a stream remember, those used last; the jobs of some minutes."""

MILLISECOND = timedelta(milliseconds=1)

ERRORS_BY_CODE = {error.code: error for error in (WorkerReplaced, WorkerRefused, WorkerUnreachable)}


def encode_renewal(number: int, worker: WorkerRegistration, order: RenewLeaseOrder) -> Message:
    """Return the row of a renewal."""
    wait = order.wait / MILLISECOND
    lease = order.lease_until_ms
    return [number, HOLD, worker.id, worker.address, order.token, lease, order.acknowledged, wait]


def encode_start(number: int, worker: WorkerRegistration, order: StartOrder) -> Message:
    """Return the row of a start; the job itself is told apart."""
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
    """Return the row of a stop."""
    task = _encode_task(order.task)
    return [number, STOP, worker.id, worker.address, task, order.run, order.token]


def decode_worker(row: Message) -> WorkerRegistration:
    """Return what an order's row says of its worker: id and address."""
    return WorkerRegistration(row[2], row[3], "", "", "", frozenset(), ResourceAmounts())


def decode_renewal(row: Message) -> RenewLeaseOrder:
    """Return the renewal of a row."""
    token, lease, acknowledged, wait = row[4:8]
    return RenewLeaseOrder(token, lease, acknowledged, wait * MILLISECOND)


def decode_start(row: Message, job: AcceptedJob) -> StartOrder:
    """Return the start of a row."""
    task, run, token, not_after, checkpoint = row[4:9]
    return StartOrder(TaskId(*task), run, job, token, not_after, checkpoint)


def decode_stop(row: Message) -> StopOrder:
    """Return the stop of a row."""
    task, run, token = row[4:7]
    return StopOrder(TaskId(*task), run, token)


def encode_clock(number: int, clock_ms: int) -> Message:
    """Return the answer to a start; a stop's has 0."""
    return [number, CLOCK, clock_ms]


def encode_run_report(number: int, lists: WorkerRunReport) -> Message:
    """Return the answer to a renewal."""
    running = [
        [_encode_task(each.task), each.run, each.checkpoint, each.percent] for each in lists.running
    ]
    ended = [
        [each.number, _encode_task(each.task), each.run, each.end.value, each.checkpoint]
        for each in lists.ended
    ]
    return [number, LISTS, lists.clock_ms, lists.born, running, ended]


def decode_run_report(row: Message) -> WorkerRunReport:
    """Return the lists of an answer.

    :raises CodecError: it is another answer.
    """
    if row[1] != LISTS:
        raise CodecError(f"an answer with lists expected: {row[1]}")
    running = tuple(
        RunStatus(TaskId(*task), run, checkpoint, percent)
        for task, run, checkpoint, percent in row[4]
    )
    ended = tuple(
        EndedRun(number, TaskId(*task), run, RunEnd(end), checkpoint)
        for number, task, run, end, checkpoint in row[5]
    )
    return WorkerRunReport(row[2], row[3], running, ended)


def encode_error(number: int, error: MimosapointError) -> Message:
    """Return the answer that tells of an error."""
    told: Any = error.detail
    if isinstance(error, StartRefused):
        told = error.reason
    elif isinstance(error, StaleEpoch):
        told = error.current
    return [number, ERROR, error.code, told]


def decode_error(row: Message) -> MimosapointError:
    """Return the error of an answer; an unknown one leaves the order's effect open."""
    code, told = row[2:4]
    if code == StartRefused.code:
        return StartRefused(told)
    if code == StaleEpoch.code:
        return StaleEpoch(told)
    return ERRORS_BY_CODE.get(code, WorkerUnreachable)(told)


def _encode_task(task: TaskId) -> Message:
    return [task.job, task.occurrence, task.step, task.index]
