"""Conversion of errors to ``application/problem+json`` replies."""

import math
import traceback
from typing import Any

from mimosapoint.codec import to_json
from mimosapoint.errors import MethodNotAllowed, MimosapointError
from mimosapoint.ports import Telemetry

from mimosapoint_node.http.message import Reply

__all__ = ["PROBLEM_TYPE", "STATUS_BY_CODE", "problem_reply", "unexpected_error_reply"]

PROBLEM_TYPE = "application/problem+json"

STATUS_BY_CODE = {
    "admission-refused": 429,
    "bad-request": 400,
    "body-timeout": 408,
    "body-too-large": 413,
    "circuit-open": 503,
    "codec": 500,
    "compare-failed": 503,
    "configuration-invalid": 422,
    "configuration-stale": 409,
    "forbidden": 403,
    "idempotency-conflict": 409,
    "internal": 500,
    "job-not-found": 404,
    "lease-lost": 503,
    "message-too-large": 413,
    "method-not-allowed": 405,
    "never-fits": 422,
    "newer-format": 500,
    "not-cell-owner": 503,
    "not-owner": 503,
    "outcome-unknown": 503,
    "overloaded": 429,
    "patch-conflict": 409,
    "patch-not-found": 404,
    "peer-refused": 503,
    "peer-unreachable": 503,
    "route-not-found": 404,
    "settings-invalid": 400,
    "shutting-down": 503,
    "stale-epoch": 503,
    "store-timeout": 503,
    "store-unavailable": 503,
    "unauthenticated": 401,
    "unknown-message": 503,
    "unknown-service": 422,
    "unknown-workspace": 422,
    "value-too-large": 413,
    "vm-list-unavailable": 503,
    "worker-not-listening": 503,
    "worker-refused": 503,
    "worker-unreachable": 503,
}
"""HTTP status by error code."""

UNKNOWN_OUTCOME_CODES = frozenset(
    {"outcome-unknown", "peer-unreachable", "store-timeout", "worker-unreachable"}
)
"""Codes of errors after which the request may have had its effect."""

RETRY_HINT = "repeat with the same Idempotency-Key or patch id"

RETRY_SECONDS = 1
"""Default retry delay, in seconds, of errors that do not specify one."""


def problem_reply(error: MimosapointError, status: int | None = None) -> Reply:
    """Return the reply that describes an error to the caller.

    :param status: status of the reply; that of :data:`STATUS_BY_CODE` by default.
    """
    if status is None:
        status = STATUS_BY_CODE.get(error.code, 500)
    body: dict[str, Any] = {
        "type": f"urn:mimosapoint:problem:{error.code}",
        "title": error.code.replace("-", " "),
        "status": status,
        "code": error.code,
        "detail": _detail(error),
    }
    if getattr(error, "reasons", ()):
        body["reasons"] = error.reasons
    if getattr(error, "current", None) is not None:
        body["current"] = error.current
    headers: list[tuple[str, str]] = []
    seconds = _retry_seconds(error, status)
    if seconds is not None:
        body["retry_after"] = seconds
        headers.append(("retry-after", str(seconds)))
    if isinstance(error, MethodNotAllowed):
        headers.append(("allow", ", ".join(error.allowed)))
    if status == 401:
        headers.append(("www-authenticate", "Bearer"))
    return Reply(status, to_json(body), PROBLEM_TYPE, tuple(headers))


def unexpected_error_reply(error: Exception, route: str, telemetry: Telemetry) -> Reply:
    """Log an error of an unexpected type and return a reply without its details.

    :param route: label of the route for the log.
    """
    frames = traceback.extract_tb(error.__traceback__)
    location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"
    telemetry.event("http-error", route=route, error=repr(error), at=location)
    return problem_reply(MimosapointError("an unexpected error; it is in the node's log"))


def _detail(error: MimosapointError) -> str:
    if error.code in UNKNOWN_OUTCOME_CODES:
        return f"{error.detail}; {RETRY_HINT}"
    return error.detail


def _retry_seconds(error: MimosapointError, status: int) -> int | None:
    """Return the retry delay in whole seconds, rounded up, or ``None`` when a retry is useless."""
    if error.retry_after is not None:
        return max(1, math.ceil(error.retry_after.total_seconds()))
    return RETRY_SECONDS if status in (429, 503) else None
