"""Format of log events as lines of key=value pairs."""

from datetime import datetime, timedelta
from enum import Enum

__all__ = ["format_line"]

LEADING_FIELDS = ("job", "version", "trace")
"""Fields that come first in a line, in this order."""

UNQUOTED_CHARACTERS = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:/~+@,"
)


def format_line(name: str, fields: dict[str, object]) -> str:
    """Return the line of an event.

    Empty values and values with characters outside ``UNQUOTED_CHARACTERS`` are quoted and escaped,
    so that a value cannot add a line or a field.
    """
    leading = [key for key in LEADING_FIELDS if key in fields]
    others = [key for key in fields if key not in LEADING_FIELDS]
    pairs = [f"{key}={_format_value(fields[key])}" for key in leading + others]
    return " ".join([f"event={name}", *pairs])


def _format_value(value: object) -> str:
    text = _text(value)
    if text and UNQUOTED_CHARACTERS.issuperset(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'


def _text(value: object) -> str:
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, timedelta):
        return str(value.total_seconds())
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (tuple, list, set, frozenset)):
        return ",".join(_text(item) for item in value)
    return str(value)
