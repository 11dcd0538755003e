"""Conversion of typed errors to and from messages between nodes."""

from datetime import timedelta
from typing import Any

import attrs

from mimosapoint.errors import MimosapointError

__all__ = ["Failure", "to_failure", "to_error"]

COMMON_FIELDS = frozenset({"detail", "retry_after"})


@attrs.frozen
class Failure:
    """Error raised by the handler of a peer, in its form on the wire.

    :param code: code of the error class.
    :param detail: human-readable description of the error.
    :param retry_after: delay after which a retry may succeed.
    :param fields: further attributes of the error class, as JSON values.
    """

    code: str
    detail: str
    retry_after: timedelta | None = None
    fields: dict[str, Any] = attrs.field(factory=dict)


def to_failure(error: MimosapointError) -> Failure:
    """Return the wire form of an error."""
    fields = {name: value for name, value in vars(error).items() if name not in COMMON_FIELDS}
    return Failure(error.code, error.detail, error.retry_after, fields)


def to_error(failure: Failure) -> MimosapointError:
    """Return an error of the class that the peer raised; the base class for an unknown code."""
    error_class = _classes_by_code().get(failure.code)
    if error_class is None:
        return MimosapointError(f"{failure.code}: {failure.detail}")
    error = error_class.__new__(error_class)
    MimosapointError.__init__(error, failure.detail, retry_after=failure.retry_after)
    for name, value in failure.fields.items():
        setattr(error, name, tuple(value) if isinstance(value, list) else value)
    return error


def _classes_by_code() -> dict[str, type[MimosapointError]]:
    classes_by_code = {MimosapointError.code: MimosapointError}
    unvisited = [MimosapointError]
    while unvisited:
        subclasses = unvisited.pop().__subclasses__()
        unvisited.extend(subclasses)
        classes_by_code.update(
            (subclass.code, subclass) for subclass in subclasses if "code" in vars(subclass)
        )
    return classes_by_code
