"""History of a test run: timed observations of callers, operators, nodes and workers."""

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
    """A caller's request and its result.

    :param key: idempotency key.
    :param job: id of the job, or ``None`` when no reply named it.
    :param gang: number of tasks.
    :param repeatable: whether the job may run again.
    :param sent_at: time of the first request.
    :param ended_at: time at which the caller had the final result, or ``None``.
    :param outcome: kind of the outcome, or ``None``.
    :param parts: parts of a succeeded outcome, one for each task.
    :param expected: expected parts, or ``None`` when not known.
    :param code: error code of a refused request or of the outcome, or ``None``.
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
    """A job under a guarantee, which must start within a bound.

    :param key: idempotency key of the job.
    :param accepted_at: time from which the bound counts: of acceptance, or of the request.
    :param start_bound_seconds: longest time until every task of the gang has started, in seconds.
    """

    key: str
    accepted_at: datetime
    start_bound_seconds: float


@attrs.frozen
class PatchObservation:
    """An operator's patch of the configuration.

    :param id: id of the patch.
    :param base: version that it applies to.
    :param sent_at: time of the request.
    :param answered_at: time of the reply.
    :param version: version that it created; 0 when it was rejected.
    :param zones_out: availability zones out of service in that version.
    """

    id: str
    base: int
    sent_at: datetime
    answered_at: datetime
    version: int
    zones_out: frozenset[str] = frozenset()


@attrs.frozen
class VersionObservation:
    """A version of the configuration that a node had in force.

    :param node: id of the node.
    :param incarnation: incarnation of the node; versions are compared within one incarnation only.
    :param at: time of the observation, before the node replied.
    :param version: the version.
    """

    node: str
    incarnation: int
    at: datetime
    version: int


@attrs.frozen
class LeavingObservation:
    """An endpoint that the VM list shows as leaving.

    :param worker: id of the worker.
    :param at: time from which the list shows it.
    """

    worker: str
    at: datetime


@attrs.frozen
class ShutdownObservation:
    """A planned stop of a node.

    :param node: id of the node.
    :param at: time of the stop request.
    :param exit_code: exit code of the process.
    """

    node: str
    at: datetime
    exit_code: int


class AttemptEvents:
    """Task events of one attempt of a job, by task index."""

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
        """Return the time of a task's last event, or ``None`` while it runs."""
        last = self.events_by_index[index][-1]
        return None if last.event is TaskEventKind.STARTED else last.time


@attrs.define
class History:
    """Every observation of a test run.

    :param ended_at: end of the observations; tasks without an end count as running until then.
    :param zones_by_worker: availability zone of each worker.
    :param calls: calls of callers.
    :param guaranteed_starts: jobs under a guarantee.
    :param patches: patches of operators.
    :param versions: versions in force on nodes.
    :param leaving_endpoints: endpoints that the VM list shows as leaving.
    :param shutdowns: planned stops of nodes.
    :param tasks: events of tasks on every worker.
    """

    ended_at: datetime | None = None
    zones_by_worker: dict[str, str] = attrs.field(factory=dict)
    calls: list[CallObservation] = attrs.field(factory=list)
    guaranteed_starts: list[GuaranteedStartObservation] = attrs.field(factory=list)
    patches: list[PatchObservation] = attrs.field(factory=list)
    versions: list[VersionObservation] = attrs.field(factory=list)
    leaving_endpoints: list[LeavingObservation] = attrs.field(factory=list)
    shutdowns: list[ShutdownObservation] = attrs.field(factory=list)
    tasks: list[TaskEvent] = attrs.field(factory=list)

    def events_by_attempt(self) -> dict[tuple[str, int], AttemptEvents]:
        """Return the task events by job id and attempt, in order of time."""
        attempts: dict[tuple[str, int], AttemptEvents] = defaultdict(AttemptEvents)
        for event in sorted(self.tasks, key=lambda event: event.time):
            job, attempt, index = event.task.rsplit("/", 2)
            attempts[job, int(attempt)].events_by_index[int(index)].append(event)
        return dict(attempts)

    def starts_by_job(self) -> dict[str, list[TaskEvent]]:
        """Return the starts of tasks by job id, oldest first."""
        starts: dict[str, list[TaskEvent]] = defaultdict(list)
        for event in sorted(self.tasks, key=lambda event: event.time):
            if event.event is TaskEventKind.STARTED:
                starts[event.task.rsplit("/", 2)[0]].append(event)
        return dict(starts)
