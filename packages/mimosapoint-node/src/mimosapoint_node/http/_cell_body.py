"""JSON form of jobs of several steps."""

from datetime import datetime, timedelta

import attrs
from mimosapoint.cell import Submission
from mimosapoint.codec.rules import RULE_KEY, Rule, between
from mimosapoint.codec.strict import DocumentInvalid, decode_document
from mimosapoint.errors import BadRequest
from mimosapoint.workload import ResourceAmounts, Schedule, Step

from mimosapoint_node.http._json import read_object

__all__ = ["read_submission"]

TASKS_LIMIT = 100_000
"""Most tasks of a step; far above the aim's 13,000 tasks in all."""

STEPS_LIMIT = 100
"""Most steps of a job."""

OCCURRENCES_LIMIT = 10_000
"""Most occurrences of a job."""

AMOUNT_LIMIT = 10**9
"""Largest amount; far above any worker's."""

SECONDS_LIMIT = 10_000_000
"""Longest estimate or interval, some months."""

SPEC_CHARACTERS = 4000
"""Longest text for the tasks; the platform's pages allow as many bytes."""


def _ruled(rule: Rule, **options: object) -> object:
    return attrs.field(metadata={RULE_KEY: rule}, **options)


def _time() -> Rule:
    def holds(text: str) -> bool:
        try:
            return not text or datetime.fromisoformat(text).tzinfo is not None
        except ValueError:
            return False

    return Rule("a time with its offset, as in 2026-01-02T03:04:05Z", holds)


def _longest(length: int) -> Rule:
    return Rule(f"at most {length} characters", lambda text: len(text) <= length)


def _count(most: int) -> Rule:
    return Rule(f"1 to {most} items", lambda items: 1 <= len(items) <= most)


@attrs.frozen
class StepBody:
    """A step as callers describe it."""

    tasks: int = _ruled(between(1, TASKS_LIMIT), default=1)
    millicores: int = _ruled(between(0, AMOUNT_LIMIT), default=1000)
    memory_mb: int = _ruled(between(0, AMOUNT_LIMIT), default=0)
    accelerators: int = _ruled(between(0, AMOUNT_LIMIT), default=0)
    estimate: timedelta = _ruled(between(0, SECONDS_LIMIT), default=timedelta(0))
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    checkpoints: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = _ruled(between(0, TASKS_LIMIT), default=0)

    def step(self) -> Step:
        """Return the step."""
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
    """A job as callers describe it.

    :param first: due time of the first occurrence; empty to run once, at once.
    """

    queue: str
    steps: tuple[StepBody, ...] = _ruled(_count(STEPS_LIMIT))
    spec: str = _ruled(_longest(SPEC_CHARACTERS), default="")
    first: str = _ruled(_time(), default="")
    interval: timedelta = _ruled(between(0, SECONDS_LIMIT), default=timedelta(0))
    occurrences: int = _ruled(between(1, OCCURRENCES_LIMIT), default=1)


def read_submission(job_id: str, body: bytes) -> tuple[str, Submission]:
    """Return the queue and the job that a body describes.

    :raises BadRequest: there are faults; all of them are listed.
    """
    try:
        item = decode_document(read_object(body), JobBody)
    except DocumentInvalid as error:
        raise BadRequest(reasons=error.reasons) from error
    wrong = [
        f"/steps/{number}/after: names no earlier step"
        for number, step in enumerate(item.steps)
        if not all(0 <= each < number for each in step.after)
    ]
    if wrong:
        raise BadRequest(reasons=tuple(wrong))
    schedule = None
    if item.first:
        schedule = Schedule(datetime.fromisoformat(item.first), item.interval, item.occurrences)
    steps = tuple(step.step() for step in item.steps)
    return item.queue, Submission(job_id, item.spec, steps, schedule)
