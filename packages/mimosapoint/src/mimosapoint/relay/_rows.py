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
    HoldOrder,
    Registration,
    RunStatus,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerLists,
    WorkerReplaced,
)
from mimosapoint.workload import Amounts, JobRecord, RunEnd, TaskId

__all__ = [
    "ERROR",
    "HOLD",
    "JOB",
    "JOBS_KEPT",
    "START",
    "STOP",
    "clock_row",
    "error_of",
    "error_row",
    "hold_order",
    "hold_row",
    "lists_of",
    "lists_row",
    "start_order",
    "start_row",
    "stop_order",
    "stop_row",
    "worker_of",
]

Row = list[Any]

HOLD = "hold"
START = "start"
STOP = "stop"
JOB = "job"
ERROR = "error"
LISTS = "lists"
CLOCK = "clock"

JOBS_KEPT = 1024
"""Jobs that both ends of a stream remember, those used last; the jobs of some minutes."""

MILLISECOND = timedelta(milliseconds=1)

PLAIN_ERRORS = {error.code: error for error in (WorkerReplaced, WorkerRefused, WorkerUnreachable)}


def hold_row(number: int, worker: Registration, order: HoldOrder) -> Row:
    """Return the row of a renewal."""
    wait = order.wait / MILLISECOND
    lease = order.lease_until_ms
    return [number, HOLD, worker.id, worker.address, order.token, lease, order.acknowledged, wait]


def start_row(number: int, worker: Registration, order: StartOrder) -> Row:
    """Return the row of a start; the job itself is told apart."""
    return [
        number,
        START,
        worker.id,
        worker.address,
        _task_row(order.task),
        order.run,
        order.token,
        order.not_after_ms,
        order.checkpoint,
    ]


def stop_row(number: int, worker: Registration, order: StopOrder) -> Row:
    """Return the row of a stop."""
    task = _task_row(order.task)
    return [number, STOP, worker.id, worker.address, task, order.run, order.token]


def worker_of(row: Row) -> Registration:
    """Return what an order's row says of its worker: id and address."""
    return Registration(row[2], row[3], "", "", "", frozenset(), Amounts())


def hold_order(row: Row) -> HoldOrder:
    """Return the renewal of a row."""
    token, lease, acknowledged, wait = row[4:8]
    return HoldOrder(token, lease, acknowledged, wait * MILLISECOND)


def start_order(row: Row, job: JobRecord) -> StartOrder:
    """Return the start of a row."""
    task, run, token, not_after, checkpoint = row[4:9]
    return StartOrder(TaskId(*task), run, job, token, not_after, checkpoint)


def stop_order(row: Row) -> StopOrder:
    """Return the stop of a row."""
    task, run, token = row[4:7]
    return StopOrder(TaskId(*task), run, token)


def clock_row(number: int, clock_ms: int) -> Row:
    """Return the answer to a start; a stop's has 0."""
    return [number, CLOCK, clock_ms]


def lists_row(number: int, lists: WorkerLists) -> Row:
    """Return the answer to a renewal."""
    running = [
        [_task_row(each.task), each.run, each.checkpoint, each.percent] for each in lists.running
    ]
    ended = [
        [each.number, _task_row(each.task), each.run, each.end.value, each.checkpoint]
        for each in lists.ended
    ]
    return [number, LISTS, lists.clock_ms, lists.born, running, ended]


def lists_of(row: Row) -> WorkerLists:
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
    return WorkerLists(row[2], row[3], running, ended)


def error_row(number: int, error: MimosapointError) -> Row:
    """Return the answer that tells of an error."""
    told: Any = error.detail
    if isinstance(error, StartRefused):
        told = error.reason
    elif isinstance(error, StaleEpoch):
        told = error.current
    return [number, ERROR, error.code, told]


def error_of(row: Row) -> MimosapointError:
    """Return the error of an answer; an unknown one leaves the order's effect open."""
    code, told = row[2:4]
    if code == StartRefused.code:
        return StartRefused(told)
    if code == StaleEpoch.code:
        return StaleEpoch(told)
    return PLAIN_ERRORS.get(code, WorkerUnreachable)(told)


def _task_row(task: TaskId) -> Row:
    return [task.job, task.occurrence, task.step, task.index]
