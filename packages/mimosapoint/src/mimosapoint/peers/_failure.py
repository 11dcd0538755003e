"""Typed errors as they cross the wire between nodes."""

from datetime import timedelta
from typing import Any

import attrs

from mimosapoint.errors import MimosapointError

__all__ = ["Failure", "to_failure", "to_error"]

COMMON_FIELDS = frozenset({"detail", "retry_after"})


@attrs.frozen
class Failure:
    """An error raised by a peer's handler.

    :param code: code of the error class.
    :param detail: what happened, for people.
    :param retry_after: when a repeat may succeed.
    :param fields: the class's further fields; JSON values.
    """

    code: str
    detail: str
    retry_after: timedelta | None = None
    fields: dict[str, Any] = attrs.field(factory=dict)


def to_failure(error: MimosapointError) -> Failure:
    """Return the form of an error that crosses the wire."""
    fields = {name: value for name, value in vars(error).items() if name not in COMMON_FIELDS}
    return Failure(error.code, error.detail, error.retry_after, fields)


def to_error(failure: Failure) -> MimosapointError:
    """Return an error of the class that the peer raised; the base class for an unknown code."""
    kind = _classes_by_code().get(failure.code)
    if kind is None:
        return MimosapointError(f"{failure.code}: {failure.detail}")
    error = kind.__new__(kind)
    MimosapointError.__init__(error, failure.detail, retry_after=failure.retry_after)
    for name, value in failure.fields.items():
        setattr(error, name, tuple(value) if isinstance(value, list) else value)
    return error


def _classes_by_code() -> dict[str, type[MimosapointError]]:
    found = {MimosapointError.code: MimosapointError}
    pending = [MimosapointError]
    while pending:
        children = pending.pop().__subclasses__()
        pending.extend(children)
        found.update((child.code, child) for child in children if "code" in vars(child))
    return found
