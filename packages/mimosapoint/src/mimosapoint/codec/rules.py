"""Rules on the values of fields in documents that people write."""

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
    """What values a field may have.

    :param allowed: the allowed values, for people.
    :param is_satisfied: whether a value is allowed.
    """

    allowed: str
    is_satisfied: Callable[[Any], bool]


def between(low: float, high: float) -> Rule:
    """Allow numbers in a range, both ends included; durations count in seconds."""

    def holds(value: Any) -> bool:
        number = value.total_seconds() if hasattr(value, "total_seconds") else value
        return low <= number <= high

    return Rule(f"{low} to {high}", holds)


def one_of(*values: str) -> Rule:
    """Allow the values."""
    return Rule("one of " + ", ".join(values), lambda value: value in values)


def identifier() -> Rule:
    """Allow ids."""
    return Rule("1 to 40 of a-z, 0-9 and -", lambda value: bool(ID_PATTERN.fullmatch(value)))


def sha256_digests() -> Rule:
    """Allow lists of SHA-256 digests."""
    return Rule(
        "SHA-256 digests, each 64 of 0-9 and a-f",
        lambda values: all(DIGEST_PATTERN.fullmatch(value) for value in values),
    )
