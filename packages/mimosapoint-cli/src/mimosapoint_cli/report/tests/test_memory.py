"""Test that memory does not grow with the number of lines."""

import tempfile
import tracemalloc
import unittest
from unittest import mock

from mimosapoint_cli.report.reader import LineReader
from mimosapoint_cli.report.statistics import collect_statistics
from mimosapoint_cli.report.tests.lines import hostile_lines

LINES = 4000
GROWTH_LIMIT_BYTES = 300_000
MOST_KEYS = 100
"""Fewer than in the program, so that few lines fill every collection."""


class MemoryTest(unittest.TestCase):
    def peak_bytes(self, lines):
        """Return the peak of allocated memory while that many lines are read."""
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.writelines(f"{text}\n" for text in hostile_lines(lines))
            file.flush()
            tracemalloc.start()
            try:
                reader = LineReader([file.name])
                statistics = collect_statistics(reader)
                peak = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
        self.assertEqual((lines, lines // 10), (reader.lines, reader.broken.count))
        self.assertEqual(lines // 10, statistics.metrics.samples)
        return peak

    def test_ten_times_the_lines_take_the_same_memory(self):
        # Everything kept is in collections of constant size. The small input fills those of keys;
        # the growth allowed is that of samples (13 of 2000 numbers) and of time bins (400 times 13
        # values), which fill later. One collection without a bound would exceed it with the 3600
        # more keys.
        with mock.patch("mimosapoint_cli.report.samples.MOST_KEYS", MOST_KEYS):
            self.peak_bytes(LINES)  # what is allocated once, such as regular expressions
            small = self.peak_bytes(LINES)
            large = self.peak_bytes(10 * LINES)
        self.assertLess(large - small, GROWTH_LIMIT_BYTES)


if __name__ == "__main__":
    unittest.main()
