"""Reading of logs and metrics, merged by time, one line of each file at a time."""

import heapq
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import BinaryIO

import attrs

from mimosapoint_cli.report.errors import BrokenLine, InputUnreadable
from mimosapoint_cli.report.log_lines import LogLine, parse_log_line
from mimosapoint_cli.report.metric_lines import MetricSample, parse_metric_line
from mimosapoint_cli.report.samples import BoundedCounts

__all__ = ["BrokenLines", "LineReader", "Record"]

LINE_LIMIT_BYTES = 256 * 1024
"""A longer line counts as broken, so that a file without line breaks does not fill the memory."""

LONGEST_PERIOD_SECONDS = 60 * 86400
"""A line whose time is further from the first one counts as broken: it would widen the intervals
of the page until nothing can be seen."""

EXAMPLES_KEPT = 20
EXCERPT_CHARACTERS = 100
STANDARD_INPUT = "standard input"


@attrs.frozen
class Record:
    """A line and its place.

    :param time: seconds since 1970, UTC; of a metric the time of the line before.
    :param place: file and number of the line.
    :param node: node of a metric that names none.
    """

    time: float
    place: str
    node: str
    item: LogLine | MetricSample


@attrs.define
class BrokenLines:
    """Count and first examples of broken lines.

    :ivar examples: place, reason and excerpt of the first ones.
    """

    counts_by_file: BoundedCounts = attrs.field(factory=BoundedCounts)
    counts_by_reason: BoundedCounts = attrs.field(factory=BoundedCounts)
    examples: list[tuple[str, str, str]] = attrs.field(factory=list)

    @property
    def count(self) -> int:
        """Number of broken lines."""
        return int(self.counts_by_file.total)

    def add(self, place: str, reason: str, text: str) -> None:
        """Count a broken line.

        :param place: name of the file, a colon and the number of the line.
        """
        self.counts_by_file.add(place.rpartition(":")[0])
        self.counts_by_reason.add(reason)
        if len(self.examples) < EXAMPLES_KEPT:
            self.examples.append((place, reason, text[:EXCERPT_CHARACTERS]))


@attrs.define
class LineReader:
    """Reads files line by line; only one line of each is in memory.

    :param paths: files; standard input when there are none.
    :ivar lines: number of lines that are not blank.
    """

    paths: Sequence[str]
    broken: BrokenLines = attrs.field(factory=BrokenLines)
    lines: int = 0
    _first_time: float | None = None

    def records(self) -> Iterator[Record]:
        """Iterate over the valid lines of all files in the order of time.

        :raises InputUnreadable: a file cannot be read.
        """
        files = [self._read(path) for path in self.paths or (STANDARD_INPUT,)]
        return heapq.merge(*files, key=lambda record: record.time)

    def _read(self, path: str) -> Iterator[Record]:
        node = "unknown" if path == STANDARD_INPUT else Path(path).stem
        time = None
        with _opened(path) as file:
            for number, text in enumerate(_lines(file), 1):
                if not text or text.startswith("#"):
                    continue
                self.lines += 1
                place = f"{path}:{number}"
                try:
                    item = self._parse(text, time, node)
                except BrokenLine as error:
                    self.broken.add(place, error.reason, text)
                    continue
                if isinstance(item, LogLine):
                    time = item.time
                yield Record(float("-inf") if time is None else time, place, node, item)

    def _parse(self, text: str, time: float | None, node: str) -> LogLine | MetricSample:
        if len(text) > LINE_LIMIT_BYTES:
            raise BrokenLine(f"longer than {LINE_LIMIT_BYTES} bytes")
        if "event=" not in text:
            return parse_metric_line(text)
        line = parse_log_line(text, time, node)
        if self._first_time is None:
            self._first_time = line.time
        if abs(line.time - self._first_time) > LONGEST_PERIOD_SECONDS:
            days = LONGEST_PERIOD_SECONDS // 86400
            raise BrokenLine(f"the time is more than {days} days from the first one")
        return line


@contextmanager
def _opened(path: str) -> Iterator[BinaryIO]:
    try:
        if path == STANDARD_INPUT:
            yield sys.stdin.buffer
        else:
            with open(path, "rb") as file:
                yield file
    except OSError as error:
        raise InputUnreadable(f"{path}: {error.strerror}") from error


def _lines(file: BinaryIO) -> Iterator[str]:
    """Iterate over the lines; of one that is too long only the beginning is kept."""
    while data := file.readline(LINE_LIMIT_BYTES + 2):
        rest = data
        while rest and not rest.endswith(b"\n"):
            rest = file.readline(LINE_LIMIT_BYTES)
        yield data.decode("utf-8", "replace").strip()
