"""Registry of task functions, selected by the ``kind`` in the payload."""

import hashlib
import textwrap
from collections.abc import Callable
from typing import Any

from mimosapoint.codec import decode, encode, to_json
from mimosapoint.errors import CodecError
from mimosapoint.model import Resources, TaskSpec

__all__ = [
    "TaskFailure",
    "TaskFunction",
    "WORK_LIMIT_SECONDS",
    "run_task",
    "task_kind",
    "used_resources",
    "work_seconds",
]

WORK_LIMIT_SECONDS = 1e9
"""Longest duration of a task, in seconds; longer ones are cut to it."""

FRAME_COLUMNS = 40
"""Width of a frame, in characters."""

TaskFunction = Callable[[TaskSpec], Any]
"""Returns the output of a task, a JSON value."""

functions_by_kind: dict[str, TaskFunction] = {}


class TaskFailure(Exception):
    """The task has failed and has no output."""


def task_kind(name: str) -> Callable[[TaskFunction], TaskFunction]:
    """Register the decorated function for a kind of task.

    :param name: value of ``kind`` in the payload.
    """

    def register(function: TaskFunction) -> TaskFunction:
        functions_by_kind[name] = function
        return function

    return register


def run_task(spec: TaskSpec) -> Any:
    """Return the output of a task.

    :raises TaskFailure: the payload is invalid, or the task fails.
    """
    if not isinstance(spec.payload, dict):
        raise TaskFailure("the payload is not an object")
    kind = spec.payload.get("kind")
    function = functions_by_kind.get(kind) if isinstance(kind, str) else None
    if function is None:
        raise TaskFailure(f"unknown kind {kind!r}")
    try:
        output = function(spec)
        encode(output)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise TaskFailure(f"bad payload: {error!r}") from error
    return output


def work_seconds(payload: Any) -> float:
    """Return the duration in a payload, in seconds; 0 when it has no valid one."""
    value = payload.get("seconds", 0) if isinstance(payload, dict) else 0
    if not isinstance(value, int | float) or not value > 0:
        return 0.0
    return float(min(value, WORK_LIMIT_SECONDS))


def used_resources(spec: TaskSpec) -> Resources:
    """Return the resources that a task uses: ``uses`` of its payload, or else its shape."""
    uses = spec.payload.get("uses") if isinstance(spec.payload, dict) else None
    try:
        return decode(to_json(uses), Resources) if uses else spec.shape
    except CodecError:
        return spec.shape


@task_kind("echo")
def echo(spec: TaskSpec) -> Any:
    """Return the payload's value."""
    return spec.payload.get("value")


@task_kind("sleep")
def sleep(spec: TaskSpec) -> Any:
    """Return the task's index; the worker runs the task for the duration in the payload."""
    return {"index": spec.index}


@task_kind("fail")
def fail(spec: TaskSpec) -> Any:
    """Fail; the worker runs the task for the duration in the payload before."""
    raise TaskFailure(str(spec.payload.get("detail", "asked to fail")))


@task_kind("compose")
def compose(spec: TaskSpec) -> Any:
    """Render a frame of text for each screen in this task's share."""
    screens = spec.payload["screens"][spec.index :: spec.gang]
    return {"frames": [_frame(screen, spec.payload["text"]) for screen in screens]}


def _frame(screen: str, text: str) -> dict[str, Any]:
    body = textwrap.wrap(text, FRAME_COLUMNS)
    lines = [line.center(FRAME_COLUMNS) for line in (screen[:FRAME_COLUMNS], *body)]
    digest = hashlib.sha256("\n".join(lines).encode()).hexdigest()
    return {"screen": screen, "lines": lines, "digest": digest}


@task_kind("plan")
def plan(spec: TaskSpec) -> Any:
    """Assign this task's share of the flights to its share of the stands, without overlap."""
    stands = spec.payload["stands"][spec.index :: spec.gang]
    flights = spec.payload["flights"][spec.index :: spec.gang]
    free_at_by_stand = {stand: float("-inf") for stand in stands}
    assignments = []
    unassigned = []
    for flight in sorted(flights, key=lambda flight: (flight["arrives"], flight["id"])):
        free = [s for s in stands if free_at_by_stand[s] <= flight["arrives"]]
        if not free:
            unassigned.append(flight["id"])
            continue
        free_at_by_stand[free[0]] = flight["departs"]
        assignments.append({"flight": flight["id"], "stand": free[0]})
    return {"assignments": assignments, "unassigned": unassigned}
