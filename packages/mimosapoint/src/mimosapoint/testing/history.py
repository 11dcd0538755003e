"""History of a run: what callers, operators and workers saw, with times."""

from collections import defaultdict
from datetime import datetime
from typing import Any

import attrs

from mimosapoint.memory import TaskEvent, TaskEventKind

__all__ = [
    "CallObservation",
    "GuaranteedStartObservation",
    "History",
    "LeavingObservation",
    "PatchObservation",
    "ShutdownObservation",
    "AttemptEvents",
    "VersionObservation",
]


@attrs.frozen
class CallObservation:
    """A caller's request and what came of it.

    :param key: idempotency key.
    :param job: id of the job, or ``None`` when no reply named it.
    :param gang: number of tasks.
    :param repeatable: whether the job may run again.
    :param sent_at: time of the first request.
    :param ended_at: time at which the caller had its final answer, or ``None``.
    :param outcome: kind of the outcome, or ``None``.
    :param parts: parts of the answer.
    :param expected: parts that this request should have got, or ``None`` when not known.
    :param code: code of a refusal.
    :param node: node that the caller was connected to.
    """

    key: str
    job: str | None
    gang: int
    repeatable: bool
    sent_at: datetime
    ended_at: datetime | None = None
    outcome: str | None = None
    parts: Any = None
    expected: Any = None
    code: str | None = None
    node: str = ""


@attrs.frozen
class GuaranteedStartObservation:
    """A claim of a guaranteed shape.

    :param key: idempotency key of the job that claims.
    :param accepted_at: time of acceptance.
    :param start_bound_seconds: seconds within which the whole gang should run.
    """

    key: str
    accepted_at: datetime
    start_bound_seconds: float


@attrs.frozen
class PatchObservation:
    """An operator's patch.

    :param id: id of the patch.
    :param base: version that it applied to.
    :param sent_at: time of the request.
    :param answered_at: time of the verdict.
    :param version: version that it made; 0 when it was refused.
    :param zones_out: availability zones that are out by that version.
    """

    id: str
    base: int
    sent_at: datetime
    answered_at: datetime
    version: int
    zones_out: frozenset[str] = frozenset()


@attrs.frozen
class VersionObservation:
    """A version that a node had in force.

    :param node: id of the node.
    :param boot: run of the node; a restarted node begins anew.
    :param at: time of the look, before it was answered.
    :param version: the version.
    """

    node: str
    boot: int
    at: datetime
    version: int


@attrs.frozen
class LeavingObservation:
    """An endpoint that the list of VMs shows as leaving.

    :param worker: id of the worker.
    :param at: time of the list's word.
    """

    worker: str
    at: datetime


@attrs.frozen
class ShutdownObservation:
    """A planned stop of a node.

    :param node: id of the node.
    :param at: time of the signal.
    :param exit_code: exit code of the process.
    """

    node: str
    at: datetime
    exit_code: int


class AttemptEvents:
    """Events of one attempt of one job, by task index."""

    def __init__(self) -> None:
        self.events_by_index: dict[int, list[TaskEvent]] = defaultdict(list)

    def first_starts(self) -> dict[int, datetime]:
        """Return the first start of each task that started."""
        starts = {}
        for index, events in self.events_by_index.items():
            for event in events:
                if event.event is TaskEventKind.STARTED:
                    starts.setdefault(index, event.time)
        return starts

    def last_end(self, index: int) -> datetime | None:
        """Return the last end of a task, or ``None`` while it runs."""
        last = self.events_by_index[index][-1]
        return None if last.event is TaskEventKind.STARTED else last.time


@attrs.define
class History:
    """Everything that was seen.

    :param ended_at: time of the last look.
    :param zones_by_worker: availability zone of each worker.
    """

    ended_at: datetime | None = None
    zones_by_worker: dict[str, str] = attrs.field(factory=dict)
    calls: list[CallObservation] = attrs.field(factory=list)
    claims: list[GuaranteedStartObservation] = attrs.field(factory=list)
    patches: list[PatchObservation] = attrs.field(factory=list)
    versions: list[VersionObservation] = attrs.field(factory=list)
    leavings: list[LeavingObservation] = attrs.field(factory=list)
    stops: list[ShutdownObservation] = attrs.field(factory=list)
    tasks: list[TaskEvent] = attrs.field(factory=list)

    def events_by_attempt(self) -> dict[tuple[str, int], AttemptEvents]:
        """Return the task events by job and attempt."""
        runs: dict[tuple[str, int], AttemptEvents] = defaultdict(AttemptEvents)
        for event in sorted(self.tasks, key=lambda event: event.time):
            job, attempt, index = event.task.rsplit("/", 2)
            runs[job, int(attempt)].events_by_index[int(index)].append(event)
        return dict(runs)

    def starts_by_job(self) -> dict[str, list[TaskEvent]]:
        """Return the starts of each job, oldest first."""
        starts: dict[str, list[TaskEvent]] = defaultdict(list)
        for event in sorted(self.tasks, key=lambda event: event.time):
            if event.event is TaskEventKind.STARTED:
                starts[event.task.rsplit("/", 2)[0]].append(event)
        return dict(starts)
