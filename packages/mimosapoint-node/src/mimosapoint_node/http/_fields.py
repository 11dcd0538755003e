"""Validation of typed fields of a JSON object that collects every error."""

import math
from collections.abc import Callable
from datetime import datetime, timezone
from enum import Enum
from typing import Any, TypeVar

from mimosapoint.errors import BadRequest

__all__ = ["Fields"]

EnumT = TypeVar("EnumT", bound=Enum)

MISSING = object()

MAX_NAME_CHARACTERS = 200
"""Maximum length of a name, in characters."""

INTEGER_LIMIT = 2**31
"""Exclusive upper limit of integers and of durations in seconds."""


class Fields:
    """Reads the fields of a JSON object one by one.

    An invalid field yields its default, so that validation continues and finds every error;
    :meth:`check` then rejects the whole object.

    :param value: JSON value that should be an object.
    :param pointer: JSON pointer to the value.
    :param errors: list that errors are appended to.
    """

    def __init__(self, value: Any, pointer: str = "", errors: list[str] | None = None):
        self.errors = [] if errors is None else errors
        self._pointer = pointer
        self._remaining = dict(value) if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self._add_error(pointer or "/", "not an object")

    def check(self) -> None:
        """Reject unknown fields and report every error.

        :raises BadRequest: the object is invalid; each error is listed with its JSON pointer.
        """
        self.reject_unknown()
        if self.errors:
            raise BadRequest(reasons=tuple(self.errors))

    def reject_unknown(self) -> None:
        """Add an error for each field that was not read."""
        for key in sorted(self._remaining):
            self._add_error(self._path(key), "unknown field")

    def name(self, key: str, *, default: Any = MISSING) -> Any:
        """Read a name: printable characters without spaces."""
        return self._take(
            key, _is_name, f"not a name of 1 to {MAX_NAME_CHARACTERS} characters", default
        )

    def names(self, key: str) -> tuple[str, ...]:
        """Read a list of distinct names, empty by default."""
        value = self._take(key, _is_names, "not a list of distinct names", ())
        return tuple(value)

    def integer(self, key: str, *, minimum: int, default: Any = MISSING) -> int:
        """Read an integer from ``minimum`` to :data:`INTEGER_LIMIT` - 1."""

        def valid(value: Any) -> bool:
            return type(value) is int and minimum <= value < INTEGER_LIMIT

        message = f"not an integer from {minimum} to {INTEGER_LIMIT - 1}"
        return self._take(key, valid, message, default)

    def seconds(self, key: str, *, default: float) -> float:
        """Read a positive duration in seconds."""
        return float(self._take(key, _is_seconds, "not a number of seconds above 0", default))

    def boolean(self, key: str, *, default: bool) -> bool:
        """Read a boolean."""
        return self._take(key, lambda value: type(value) is bool, "not true or false", default)

    def choice(self, key: str, enum_type: type[EnumT], *, default: EnumT) -> EnumT:
        """Read the value of a member of an enumeration."""
        values = [member.value for member in enum_type]
        message = f"not one of {', '.join(values)}"
        value = self._take(key, lambda value: value in values, message, default.value)
        return enum_type(value)

    def time(self, key: str) -> datetime | None:
        """Read an RFC 3339 time with an offset and convert it to UTC; ``None`` by default."""
        value = self._take(key, _is_time, "not a time of RFC 3339 with an offset", None)
        return None if value is None else _parse_time(value)

    def items(self, key: str) -> list[Any]:
        """Read a list that is not empty."""
        return self._take(key, _has_items, "not a list with items", MISSING) or []

    def nested(self, key: str) -> "Fields":
        """Read an object, empty by default; its errors are added to the same list."""
        return Fields(self._remaining.pop(key, {}), self._path(key), self.errors)

    def any(self, key: str) -> Any:
        """Read any JSON value, ``None`` by default."""
        return self._remaining.pop(key, None)

    def _take(self, key: str, valid: Callable[[Any], bool], message: str, default: Any) -> Any:
        value = self._remaining.pop(key, MISSING)
        fallback = None if default is MISSING else default
        if value is MISSING:
            if default is MISSING:
                self._add_error(self._path(key), "missing")
            return fallback
        if not valid(value):
            self._add_error(self._path(key), message)
            return fallback
        return value

    def _path(self, key: str) -> str:
        return f"{self._pointer}/{key.replace('~', '~0').replace('/', '~1')}"

    def _add_error(self, path: str, message: str) -> None:
        self.errors.append(f"{path}: {message}")


def _is_name(value: Any) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value.isprintable()
        and " " not in value
    )


def _is_names(value: Any) -> bool:
    return (
        isinstance(value, list)
        and all(_is_name(item) for item in value)
        and len(set(value)) == len(value)
    )


def _has_items(value: Any) -> bool:
    return isinstance(value, list) and bool(value)


def _is_seconds(value: Any) -> bool:
    return type(value) in (int, float) and 0 < value < INTEGER_LIMIT and math.isfinite(value)


def _is_time(value: Any) -> bool:
    if not isinstance(value, str) or "T" not in value:
        return False
    try:
        return _parse_time(value) is not None
    except (ValueError, OverflowError):
        return False


def _parse_time(text: str) -> datetime | None:
    """Return the time in UTC, or ``None`` when the text has no offset."""
    parsed = datetime.fromisoformat(text)
    return None if parsed.tzinfo is None else parsed.astimezone(timezone.utc)
