"""Tests of events, metrics and spans."""

import unittest
from datetime import timedelta
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import trio
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from mimosapoint.model import VmState
from mimosapoint.telemetry import (
    LogSpanExporter,
    LogTelemetry,
    MemoryTelemetry,
    Metric,
    MetricKind,
    declare_metric,
    metrics_by_name,
)
from mimosapoint.telemetry._log_format import format_line
from mimosapoint.testing import TrioTestCase

LINES_BY_FIELDS = (
    ({"member": "node-1"}, "event=e member=node-1"),
    ({"zone": "a", "trace": "t", "job": "j"}, "event=e job=j trace=t zone=a"),
    ({"detail": 'a "b" c'}, 'event=e detail="a \\"b\\" c"'),
    ({"detail": "a\nevent=forged"}, 'event=e detail="a\\nevent=forged"'),
    ({"detail": ""}, 'event=e detail=""'),
    ({"a": 1.5, "b": True, "c": None}, "event=e a=1.5 b=true c=None"),
    ({"wait": timedelta(seconds=2)}, "event=e wait=2.0"),
    ({"state": VmState.LEAVING}, "event=e state=leaving"),
    ({"zones": ("a", "b")}, "event=e zones=a,b"),
)
UNDECLARED_USES = (
    lambda telemetry: telemetry.event("no-such-event"),
    lambda telemetry: telemetry.count("no_such_metric"),
    lambda telemetry: telemetry.gauge("no_such_metric", 1),
    lambda telemetry: telemetry.observe("no_such_metric", 1),
)
MALFORMED_TRACEPARENTS = (
    "",
    "00",
    "00-zz-1-01",
    "00-" + "0" * 32 + "-" + "0" * 16 + "-01",
    "x" * 55,
)
PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class EventTest(unittest.TestCase):
    def test_line_format(self):
        for fields, line in LINES_BY_FIELDS:
            with self.subTest(line):
                self.assertEqual(format_line("e", fields), line)

    def test_event_is_one_line_that_names_the_node(self):
        with self.assertLogs("mimosapoint", "INFO") as logs:
            LogTelemetry("node-1").event("member-live", member="node-2")
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "event=member-live member=node-2 node=node-1")

    def test_undeclared_name_is_reported_once_or_raises(self):
        for make in (lambda: LogTelemetry("n", strict=True), lambda: MemoryTelemetry(strict=True)):
            for use in UNDECLARED_USES:
                with self.subTest(), self.assertRaises(LookupError):
                    use(make())
        with self.assertLogs("mimosapoint", "INFO") as logs:
            telemetry = LogTelemetry("n")
            telemetry.count("no_such_metric")
            telemetry.count("no_such_metric")
        self.assertEqual(len(logs.records), 1)
        self.assertIn(b"mimosapoint_no_such_metric_total 2", telemetry.render())


class MetricTest(unittest.TestCase):
    def test_every_kind_is_rendered(self):
        telemetry = LogTelemetry("n", strict=True)
        telemetry.count("peer_calls", message="gossip", outcome="ok")
        telemetry.count("peer_calls", 2, message="gossip", outcome="ok")
        telemetry.gauge("members_live", 5)
        telemetry.gauge("members_live", 4)
        telemetry.observe("peer_call_seconds", 0.02, message="gossip")
        text = telemetry.render().decode()
        for line in (
            'mimosapoint_peer_calls_total{message="gossip",outcome="ok"} 3',
            "mimosapoint_members_live 4",
            'mimosapoint_peer_call_seconds_bucket{le="0.01",message="gossip"} 0.0',
            'mimosapoint_peer_call_seconds_bucket{le="0.03",message="gossip"} 1.0',
            "# TYPE mimosapoint_peer_call_seconds histogram",
        ):
            with self.subTest(line):
                self.assertIn(line + "\n", text)

    def test_declarations_are_complete_and_unique(self):
        for metric in metrics_by_name.values():
            with self.subTest(metric.name):
                self.assertRegex(metric.name, "^[a-z][a-z_]*[a-z]$")
                self.assertTrue(metric.help.endswith("."))
                self.assertTrue(metric.unit)
        with self.assertRaises(ValueError):
            declare_metric(Metric("members_live", MetricKind.COUNTER, "Another."))

    def test_only_counters_end_in_total(self):
        telemetry = LogTelemetry("n", strict=True)
        record_by_kind = {
            MetricKind.COUNTER: telemetry.count,
            MetricKind.GAUGE: telemetry.gauge,
            MetricKind.HISTOGRAM: telemetry.observe,
        }
        for metric in metrics_by_name.values():
            record_by_kind[metric.kind](metric.name, 1, **dict.fromkeys(metric.labels, "x"))
        lines = telemetry.render().decode().splitlines()
        kinds_by_name = dict(line.split()[2:] for line in lines if line.startswith("# TYPE"))
        self.assertEqual(len(kinds_by_name), len(metrics_by_name))
        for name, kind in kinds_by_name.items():
            with self.subTest(name):
                self.assertEqual(name.endswith("_total"), kind == "counter")


class SpanTest(TrioTestCase):
    async def test_spans_nest_by_task_and_continue_the_remote_trace(self):
        exporter = InMemorySpanExporter()
        telemetry = LogTelemetry("n", exporter=exporter)

        async def open_child():
            with telemetry.span("child"):
                await trio.lowlevel.checkpoint()

        with telemetry.span("top", PARENT) as top:
            top.set("job", "j")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(open_child)
                nursery.start_soon(open_child)
        telemetry.close()
        spans_by_name = {span.name: span for span in exporter.get_finished_spans()}
        child, top_span = spans_by_name["child"], spans_by_name["top"]
        self.assertEqual(len(exporter.get_finished_spans()), 3)
        self.assertEqual(f"{top_span.context.trace_id:032x}", PARENT.split("-")[1])
        self.assertEqual(f"{top_span.parent.span_id:016x}", PARENT.split("-")[2])
        self.assertEqual(child.parent.span_id, top_span.context.span_id)
        self.assertEqual(top_span.attributes["job"], "j")

    def test_trace_context_is_propagated_without_recording(self):
        with LogTelemetry("n").span("top", PARENT) as span:
            parts = span.context.split("-")
        self.assertEqual(parts[1], PARENT.split("-")[1])
        self.assertNotEqual(parts[2], PARENT.split("-")[2])

    def test_malformed_parent_starts_a_new_trace(self):
        for parent in MALFORMED_TRACEPARENTS:
            with self.subTest(parent=parent), LogTelemetry("n").span("top", parent) as span:
                self.assertRegex(span.context, r"^00-(?!0{32})[0-9a-f]{32}-[0-9a-f]{16}-0")

    def test_spans_are_exported_to_a_file(self):
        with TemporaryDirectory() as directory:
            path = Path(directory, "spans")
            telemetry = LogTelemetry("n", path)
            with self.assertRaises(KeyError), telemetry.span("top", PARENT):
                raise KeyError
            telemetry.close()
            line = orjson.loads(path.read_bytes())
        self.assertEqual(line["name"], "top")
        self.assertEqual(line["trace"], PARENT.split("-")[1])
        self.assertEqual(line["parent"], PARENT.split("-")[2])
        self.assertEqual(line["node"], "n")

    def test_spans_are_exported_to_the_log(self):
        telemetry = LogTelemetry("n", exporter=LogSpanExporter())
        with self.assertLogs("mimosapoint", "INFO") as logs:
            with telemetry.span("peer-call", PARENT) as span:
                span.set("peer", "10.0.0.1:7000")
            telemetry.close()
        (record,) = logs.records
        trace = PARENT.split("-")[1]
        self.assertRegex(record.getMessage(), f"^event=span trace={trace} name=peer-call span=")
        self.assertIn(" node=n ", record.getMessage())
        self.assertTrue(record.getMessage().endswith(" peer=10.0.0.1:7000"))
