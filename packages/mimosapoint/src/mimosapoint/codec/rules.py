"""Validation rules for the fields of hand-written documents."""

import re
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["RULE_KEY", "Rule", "between", "sha256_digests", "identifier", "one_of"]

RULE_KEY = "rule"
"""Metadata key of the :class:`Rule` of an ``attrs`` field."""

ID_PATTERN = re.compile(r"[a-z0-9-]{1,40}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Rule:
    """Constraint on the value of a field.

    :param allowed: description of the allowed values, used in error messages.
    :param is_satisfied: predicate that returns whether a value is allowed.
    """

    allowed: str
    is_satisfied: Callable[[Any], bool]


def between(low: float, high: float) -> Rule:
    """Allow numbers and durations (in seconds) in an inclusive range."""

    def is_in_range(value: Any) -> bool:
        number = value.total_seconds() if hasattr(value, "total_seconds") else value
        return low <= number <= high

    return Rule(f"{low} to {high}", is_in_range)


def one_of(*values: str) -> Rule:
    """Allow only the given strings."""
    return Rule("one of " + ", ".join(values), lambda value: value in values)


def identifier() -> Rule:
    """Allow ids that match :data:`ID_PATTERN`."""
    return Rule("1 to 40 of a-z, 0-9 and -", lambda value: bool(ID_PATTERN.fullmatch(value)))


def sha256_digests() -> Rule:
    """Allow sequences of SHA-256 digests in lowercase hexadecimal."""
    return Rule(
        "SHA-256 digests, each 64 of 0-9 and a-f",
        lambda values: all(DIGEST_PATTERN.fullmatch(value) for value in values),
    )
