"""JSON format of job requests and jobs."""

from typing import Any

from mimosapoint.codec import to_value
from mimosapoint.errors import BadRequest
from mimosapoint.model import Adjacency, JobClass, JobRequest, JobView, Outcome, Resources

from mimosapoint_node.http._fields import Fields
from mimosapoint_node.http._json import read_object

__all__ = ["job_value", "read_job_request", "read_wait"]

MAX_KEY_CHARACTERS = 200
"""Maximum length of an idempotency key, in characters."""


def read_job_request(body: bytes, key: str | None) -> JobRequest:
    """Return the job request of a body and an idempotency key.

    :raises BadRequest: the request is invalid; every error is listed.
    """
    fields = Fields(read_object(body))
    if key is None or not (
        0 < len(key) <= MAX_KEY_CHARACTERS and key.isascii() and key.isprintable()
    ):
        fields.errors.append(f"Idempotency-Key: not 1 to {MAX_KEY_CHARACTERS} printable characters")
    shape = _read_shape(fields.nested("shape"))
    request = JobRequest(
        workspace=fields.name("workspace"),
        service=fields.name("service"),
        idempotency_key=key or "",
        job_class=fields.choice("class", JobClass, default=JobClass.NORMAL),
        gang=fields.integer("gang", minimum=1, default=1),
        shape=shape,
        adjacency=fields.choice("adjacency", Adjacency, default=Adjacency.AVAILABILITY_ZONE),
        zones=fields.names("zones"),
        run_time=fields.seconds("run_time", default=60.0),
        repeatable=fields.boolean("repeatable", default=True),
        interruptible=fields.boolean("interruptible", default=True),
        start_by=fields.time("start_by"),
        finish_by=fields.time("finish_by"),
        payload=fields.any("payload"),
    )
    fields.check()
    return request


def _read_shape(fields: Fields) -> Resources:
    shape = Resources(
        slots=fields.integer("slots", minimum=1, default=1),
        cores=fields.integer("cores", minimum=0, default=1),
        memory_gib=fields.integer("memory_gib", minimum=0, default=1),
        accelerators=fields.integer("accelerators", minimum=0, default=0),
    )
    fields.reject_unknown()
    return shape


def job_value(view: JobView) -> dict[str, Any]:
    """Return the JSON value of a job with every field."""
    return {
        "id": view.id,
        "workspace": view.workspace,
        "service": view.service,
        "class": view.job_class.value,
        "state": view.state.value,
        "zone": view.zone,
        "submitted_at": view.submitted_at,
        "started_at": view.started_at,
        "ended_at": view.ended_at,
        "durable": view.durable,
        "outcome": None if view.outcome is None else to_value(view.outcome, Outcome),
    }


def read_wait(text: str | None, max_wait: float) -> float:
    """Return the wait that a query requests, in seconds, 0 by default.

    :param max_wait: maximum wait, in seconds.
    :raises BadRequest: the text is not a number from 0 to the maximum wait.
    """
    if text is None:
        return 0.0
    digits = text.replace(".", "", 1)
    wait = float(text) if digits.isascii() and digits.isdigit() else -1.0
    if not 0 <= wait <= max_wait:
        raise BadRequest(f"?wait: not a number of seconds from 0 to {max_wait:g}")
    return wait
