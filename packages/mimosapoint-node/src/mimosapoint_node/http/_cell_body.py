"""JSON format of jobs with several steps."""

from datetime import datetime, timedelta

import attrs
from mimosapoint.cell import Submission
from mimosapoint.codec.rules import RULE_KEY, Rule, between
from mimosapoint.codec.strict import DocumentInvalid, decode_document
from mimosapoint.errors import BadRequest
from mimosapoint.workload import MAX_JOB_TASKS, ResourceAmounts, Schedule, Step, task_total

from mimosapoint_node.http._json import read_object

__all__ = ["read_submission"]

MAX_STEPS = 100
"""Maximum number of steps of a job."""

MAX_OCCURRENCES = 10_000
"""Maximum number of occurrences of a job."""

MAX_RESOURCE_AMOUNT = 10**9
"""Maximum amount of a resource, far above the capacity of any worker, in the unit of the field:
millicores, MB or accelerators."""

MAX_DURATION_SECONDS = 10_000_000
"""Maximum estimate or interval, in seconds (116 days)."""

MAX_SPEC_CHARACTERS = 4000
"""Maximum length of the spec, in characters; the platform specifies the same figure in bytes."""


def _field(rule: Rule, **options: object) -> object:
    return attrs.field(metadata={RULE_KEY: rule}, **options)


def _time_rule() -> Rule:
    def is_valid(text: str) -> bool:
        try:
            return not text or datetime.fromisoformat(text).tzinfo is not None
        except ValueError:
            return False

    return Rule("a time with its offset, as in 2026-01-02T03:04:05Z", is_valid)


def _length_rule(maximum: int) -> Rule:
    return Rule(f"at most {maximum} characters", lambda text: len(text) <= maximum)


def _item_count_rule(maximum: int) -> Rule:
    return Rule(f"1 to {maximum} items", lambda items: 1 <= len(items) <= maximum)


@attrs.frozen
class StepBody:
    """Step of a job in the body of a request."""

    tasks: int = _field(between(1, MAX_JOB_TASKS), default=1)
    millicores: int = _field(between(0, MAX_RESOURCE_AMOUNT), default=1000)
    memory_mb: int = _field(between(0, MAX_RESOURCE_AMOUNT), default=0)
    accelerators: int = _field(between(0, MAX_RESOURCE_AMOUNT), default=0)
    estimate: timedelta = _field(between(0, MAX_DURATION_SECONDS), default=timedelta(0))
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    checkpoints: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = _field(between(0, MAX_JOB_TASKS), default=0)

    def step(self) -> Step:
        """Return the step as the cell represents it."""
        return Step(
            self.tasks,
            ResourceAmounts(self.millicores, self.memory_mb, self.accelerators),
            self.estimate,
            self.after,
            self.gang,
            self.rack_local,
            self.checkpoints,
            self.label,
            self.data_rack,
            self.spread_limit,
        )


@attrs.frozen
class JobBody:
    """Job in the body of a request.

    :param first: due time of the first occurrence; empty to run once, immediately.
    """

    queue: str
    steps: tuple[StepBody, ...] = _field(_item_count_rule(MAX_STEPS))
    spec: str = _field(_length_rule(MAX_SPEC_CHARACTERS), default="")
    first: str = _field(_time_rule(), default="")
    interval: timedelta = _field(between(0, MAX_DURATION_SECONDS), default=timedelta(0))
    occurrences: int = _field(between(1, MAX_OCCURRENCES), default=1)


def read_submission(job_id: str, body: bytes) -> tuple[str, Submission]:
    """Return the name of the queue and the job that a body describes.

    :raises BadRequest: the body is invalid; its errors are listed.
    """
    try:
        job = decode_document(read_object(body), JobBody)
    except DocumentInvalid as error:
        raise BadRequest(reasons=error.reasons) from error
    errors = [
        f"/steps/{number}/after: names no earlier step"
        for number, step in enumerate(job.steps)
        if not all(0 <= index < number for index in step.after)
    ]
    if errors:
        raise BadRequest(reasons=tuple(errors))
    schedule = None
    if job.first:
        schedule = Schedule(datetime.fromisoformat(job.first), job.interval, job.occurrences)
    steps = tuple(step.step() for step in job.steps)
    if task_total(steps, schedule.count if schedule else 1) > MAX_JOB_TASKS:
        raise BadRequest(f"over {MAX_JOB_TASKS} tasks in all occurrences")
    return job.queue, Submission(job_id, job.spec, steps, schedule)
