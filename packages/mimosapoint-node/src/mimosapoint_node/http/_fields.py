"""Reading of typed fields from a JSON object, with every fault collected."""

import math
from collections.abc import Callable
from datetime import datetime, timezone
from enum import Enum
from typing import Any, TypeVar

from mimosapoint.errors import BadRequest

__all__ = ["Fields"]

E = TypeVar("E", bound=Enum)

MISSING = object()

NAME_LENGTH = 200
"""Longest name, in characters."""

INTEGER_LIMIT = 2**31
"""Integers of a request are below this."""


class Fields:
    """Takes fields out of a JSON object one by one.

    A faulty field gives its default, so that the reading goes on and finds every fault;
    :meth:`finish` then refuses the whole object.

    :param value: the object.
    :param pointer: JSON pointer to it.
    :param faults: list that the faults go to.
    """

    def __init__(self, value: Any, pointer: str = "", faults: list[str] | None = None):
        self.faults = [] if faults is None else faults
        self._pointer = pointer
        self._rest = dict(value) if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self._fault(pointer or "/", "not an object")

    def finish(self) -> None:
        """Refuse unknown fields and report the faults.

        :raises BadRequest: there are faults; each is listed with its JSON pointer.
        """
        self.refuse_rest()
        if self.faults:
            raise BadRequest(reasons=tuple(self.faults))

    def refuse_rest(self) -> None:
        """Count the fields that were not taken as faults."""
        for key in sorted(self._rest):
            self._fault(self._path(key), "unknown field")

    def name(self, key: str, *, default: Any = MISSING) -> Any:
        """Take a name: printable characters without blanks."""
        return self._take(key, _is_name, f"not a name of 1 to {NAME_LENGTH} characters", default)

    def names(self, key: str) -> tuple[str, ...]:
        """Take a list of distinct names, empty by default."""
        value = self._take(key, _is_names, "not a list of distinct names", ())
        return tuple(value)

    def integer(self, key: str, *, least: int, default: Any = MISSING) -> int:
        """Take an integer of at least some value."""

        def valid(value: Any) -> bool:
            return type(value) is int and least <= value < INTEGER_LIMIT

        fault = f"not an integer from {least} to {INTEGER_LIMIT - 1}"
        return self._take(key, valid, fault, default)

    def seconds(self, key: str, *, default: float) -> float:
        """Take a duration in seconds, above 0."""
        return float(self._take(key, _is_seconds, "not a number of seconds above 0", default))

    def boolean(self, key: str, *, default: bool) -> bool:
        """Take a truth value."""
        return self._take(key, lambda value: type(value) is bool, "not true or false", default)

    def choice(self, key: str, kind: type[E], *, default: E) -> E:
        """Take the value of a member of an enumeration."""
        values = [member.value for member in kind]
        fault = f"not one of {', '.join(values)}"
        value = self._take(key, lambda value: value in values, fault, default.value)
        return kind(value)

    def time(self, key: str) -> datetime | None:
        """Take a time in the form of RFC 3339 with its offset, ``None`` by default."""
        value = self._take(key, _is_time, "not a time of RFC 3339 with an offset", None)
        return None if value is None else _parse_time(value)

    def items(self, key: str) -> list[Any]:
        """Take a list that has items."""
        return self._take(key, _has_items, "not a list with items", MISSING) or []

    def nested(self, key: str) -> "Fields":
        """Take an object, empty by default, whose faults are listed with those here."""
        return Fields(self._rest.pop(key, {}), self._path(key), self.faults)

    def any(self, key: str) -> Any:
        """Take any JSON value, ``None`` by default."""
        return self._rest.pop(key, None)

    def _take(self, key: str, valid: Callable[[Any], bool], fault: str, default: Any) -> Any:
        value = self._rest.pop(key, MISSING)
        fallback = None if default is MISSING else default
        if value is MISSING:
            if default is MISSING:
                self._fault(self._path(key), "missing")
            return fallback
        if not valid(value):
            self._fault(self._path(key), fault)
            return fallback
        return value

    def _path(self, key: str) -> str:
        return f"{self._pointer}/{key.replace('~', '~0').replace('/', '~1')}"

    def _fault(self, path: str, fault: str) -> None:
        self.faults.append(f"{path}: {fault}")


def _is_name(value: Any) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= NAME_LENGTH
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
