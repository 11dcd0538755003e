"""Tests of the parsing of log lines and samples of metrics."""

import unittest

from mimosapoint.telemetry import LogTelemetry

from mimosapoint_cli.report.errors import BrokenLine
from mimosapoint_cli.report.log_lines import parse_log_line
from mimosapoint_cli.report.metric_lines import MetricTotals, parse_metric_line
from mimosapoint_cli.report.tests.lines import line

VALUES = (
    "plain",
    "",
    "two words",
    'a "quote"',
    "back\\slash",
    "line\nbreak",
    "ñ ☃",
    "a=b c=d",
    "\\",
)

BROKEN_LOG_LINES = (
    ("event", "neither an event nor a metric"),
    ("event=a b", "not a sequence of key=value"),
    ('event=a b="open', "not a sequence of key=value"),
    ("time=2026-03-20T09:00:00 job=3", "no event"),
    ("time=soon event=a", "not in ISO 8601"),
    ("time=1970-01-01T00:00:09 event=a", "not in the years"),
    ("time=0001-01-01T00:00:00+14:00 event=a", "not in the years"),
    ("event=a", "no time"),
    ("time=2026-03-20T09:00:00 event=a b=1 b=2", "twice"),
    ('time=2026-03-20T09:00:00 event=a b="\\x1"', "malformed escape"),
)

BROKEN_SAMPLES = ("word", "a b c", 'a{b="1} 2', "a{b=1} 2", 'a_bucket{le="x"} 2', "a 1 2 3")


def parse(text):
    return parse_log_line(text, None, "file")


class LogLineTest(unittest.TestCase):
    def test_values_are_read_as_they_were_logged(self):
        for value in VALUES:
            with self.subTest(value=value):
                parsed = parse(line(1.5, "span", value=value, last="x"))
                self.assertEqual({"value": value, "last": "x"}, parsed.fields_by_key)
                self.assertEqual(("span", "node-1"), (parsed.event, parsed.node))

    def test_a_prefix_is_ignored_and_the_time_is_utc(self):
        parsed = parse("  -15.6 host time=2026-03-20T11:00:00+02:00 event=a")
        self.assertEqual(parse("time=2026-03-20T09:00:00 event=a"), parsed)
        self.assertEqual("file", parsed.node)

    def test_the_time_of_the_zone_form(self):
        parsed = parse("time=2026-03-20 09:00:00,250 level=INFO event=a x=1")
        self.assertEqual(parse("time=2026-03-20T09:00:00.25 event=a").time, parsed.time)
        self.assertEqual("1", parsed.text("x"))

    def test_broken_lines_tell_why(self):
        for text, reason in BROKEN_LOG_LINES:
            with self.subTest(text=text), self.assertRaises(BrokenLine) as caught:
                parse(text)
            self.assertIn(reason, caught.exception.reason)

    def test_numbers(self):
        parsed = parse(line(0, "a", good=1.5, absent=None, word="x", nan="nan", huge="1e300"))
        self.assertEqual((1.5, None), (parsed.number("good"), parsed.number("absent")))
        for key in ("word", "nan", "huge"):
            with self.subTest(key=key), self.assertRaises(BrokenLine):
                parsed.number(key)


class MetricLineTest(unittest.TestCase):
    def totals(self, *samples):
        totals = MetricTotals(frozenset({"a_total", "b_seconds"}))
        for node, text in samples:
            totals.add(node, parse_metric_line(text))
        return totals

    def test_every_line_that_a_node_serves_is_read(self):
        telemetry = LogTelemetry("node-1")
        self.addCleanup(telemetry.close)
        telemetry.count("http_requests_total", 3, route="/v1/{id}, x=3", status="503")
        telemetry.observe("cell_wait_seconds", 0.02, priority="1")
        totals = MetricTotals(frozenset({"http_requests_total", "cell_wait_seconds"}))
        for text in telemetry.render().decode().splitlines():
            if text and not text.startswith("#"):
                totals.add("node-1", parse_metric_line(text))
        requests = totals.totals("http_requests_total", "route", "status", "node")
        self.assertEqual({("/v1/{id}, x=3", "503", "node-1"): 3}, requests)
        histogram = totals.histograms("cell_wait_seconds", "priority")[("1",)]
        self.assertEqual((1, 0.03), (histogram.count, histogram.quantile(0.5)))

    def test_restarts_and_nodes_are_added(self):
        totals = self.totals(
            ("n1", "mimosapoint_a_total 5"),
            ("n1", "mimosapoint_a_total 7"),
            ("n1", "mimosapoint_a_total 2 1773997200000"),
            ("n2", 'mimosapoint_a_total{instance="n3"} 1'),
            ("n2", "mimosapoint_a_total NaN"),
            ("n2", "mimosapoint_unknown_total 1"),
        )
        self.assertEqual({("n1",): 9, ("n3",): 1}, totals.totals("a_total", "node"))
        self.assertEqual(6, totals.samples)

    def test_escapes_in_labels(self):
        sample = parse_metric_line(r'a{b="1\"2\\3\n4",c="}"} 5')
        self.assertEqual((("b", '1"2\\3\n4'), ("c", "}")), sample.labels)

    def test_broken_samples(self):
        for text in BROKEN_SAMPLES:
            with self.subTest(text=text), self.assertRaises(BrokenLine):
                parse_metric_line(text)


if __name__ == "__main__":
    unittest.main()
