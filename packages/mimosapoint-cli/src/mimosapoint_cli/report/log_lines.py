"""Lines of logs, as :mod:`mimosapoint.telemetry` writes them."""

import re
from datetime import datetime, timezone

import attrs

from mimosapoint_cli.report.errors import BrokenLine

__all__ = ["LogLine", "parse_log_line"]

EPOCH = datetime(1970, 1, 1)

PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?: +|$)')
PAIRS = re.compile(r'(?>[A-Za-z_][\w.-]*=(?:"(?:[^"\\]|\\.)*"|[^\s"]*)(?: +|$))+')
LOGGING_TIME = re.compile(r"time=(\d{4}-\d\d-\d\d) (\d\d:\d\d:\d\d)[,.]")
"""Time in the default form of :mod:`logging`, as nodes of the zone form write it."""

FIRST_PAIR = re.compile(r"(?:^|(?<=\s))(?:time|event)=")

TEXT_LIMIT = 200
"""Longest text of a field in characters, so that what is kept of a line is bounded."""

LARGEST_NUMBER = 1e15
YEARS = range(2000, 2100)
"""Years of valid times; clocks that were never set tell 1970."""

ABSENT = ("", "None")
"""Values that :mod:`mimosapoint.telemetry` writes for a value that is absent."""


@attrs.frozen
class LogLine:
    """One event.

    :param event: name of the event.
    :param time: seconds since 1970, UTC.
    :param node: id of the node that wrote it.
    :param fields_by_key: the other fields, unquoted.
    """

    event: str
    time: float
    node: str
    fields_by_key: dict[str, str]

    def text(self, key: str, default: str = "unknown") -> str:
        """Return a field, shortened, or the default when it is absent or empty."""
        value = self.fields_by_key.get(key, "")
        return default if value in ABSENT else value[:TEXT_LIMIT]

    def number(self, key: str) -> float | None:
        """Return a numeric field, or ``None`` when it is absent or empty.

        :raises BrokenLine: the field is not a number below ``LARGEST_NUMBER``.
        """
        value = self.fields_by_key.get(key, "")
        if value in ABSENT:
            return None
        try:
            number = float(value)
        except ValueError as error:
            raise BrokenLine(f"{key} is not a number") from error
        # Also not for "nan". Larger numbers are no measurements, and their sums might be infinite.
        if not abs(number) < LARGEST_NUMBER:
            raise BrokenLine(f"{key} is out of range")
        return number


def parse_log_line(text: str, default_time: float | None, default_node: str) -> LogLine:
    """Parse a line; what stands before ``time=``, such as the name of a host, is ignored.

    :param default_time: time of a line that has none, as the one that tells of dropped lines.
    :param default_node: node of a line that names none.
    :raises BrokenLine: the line is no event.
    """
    fields_by_key = _parse_pairs(text)
    event = fields_by_key.pop("event", "")[:TEXT_LIMIT]
    if not event:
        raise BrokenLine("no event")
    time_text = fields_by_key.pop("time", None)
    time = default_time if time_text is None else _parse_time(time_text)
    if time is None:
        raise BrokenLine("no time, and no line with a time before")
    node = fields_by_key.pop("node", default_node)[:TEXT_LIMIT]
    return LogLine(event, time, node, fields_by_key)


def _parse_pairs(text: str) -> dict[str, str]:
    first = FIRST_PAIR.search(text)
    if first is None:
        raise BrokenLine("neither an event nor a metric")
    text = LOGGING_TIME.sub(r"time=\1T\2.", text[first.start() :], 1)
    if not PAIRS.fullmatch(text):
        raise BrokenLine("not a sequence of key=value")
    pairs = PAIR.findall(text)
    fields_by_key = {key: _unquote(value) for key, value in pairs}
    if len(fields_by_key) < len(pairs):
        raise BrokenLine("a key appears twice")
    return fields_by_key


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    if "\\" not in value:
        return value[1:-1]
    try:
        return value[1:-1].encode("ascii", "backslashreplace").decode("unicode_escape")
    except UnicodeDecodeError as error:
        raise BrokenLine("a value has a malformed escape") from error


def _parse_time(value: str) -> float:
    try:
        time = datetime.fromisoformat(value)
    except ValueError as error:
        raise BrokenLine("the time is not in ISO 8601") from error
    if time.year not in YEARS:
        raise BrokenLine(f"the time is not in the years {YEARS[0]} to {YEARS[-1]}")
    if time.tzinfo is not None:
        time = time.astimezone(timezone.utc).replace(tzinfo=None)
    return (time - EPOCH).total_seconds()
