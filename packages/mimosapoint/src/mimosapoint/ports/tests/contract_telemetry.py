"""Contract tests of the telemetry port."""

from mimosapoint.ports import Telemetry

__all__ = ["TelemetryContract"]

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
MALFORMED = (None, "", "00", "00-zz-1-01", "x" * 55)


class TelemetryContract:
    """Mixin for a test case, whose ``make_telemetry`` returns the adapter under test."""

    def make_telemetry(self) -> Telemetry:
        raise NotImplementedError

    @staticmethod
    def trace_id(context: str) -> str:
        return context.split("-")[1]

    def test_calls_accept_any_label_and_field(self):
        telemetry = self.make_telemetry()
        telemetry.event("job-ended", name="a", job="z~1", seconds=1.5)
        telemetry.count("jobs_ended_total", outcome="Succeeded")
        telemetry.gauge("configuration_version", 3)
        telemetry.observe("start_seconds", 0.2, job_class="urgent")

    def test_a_span_continues_the_trace_of_its_caller(self):
        telemetry = self.make_telemetry()
        with telemetry.span("owner-submit", PARENT) as span:
            span.set("job", "z~1")
            self.assertEqual(self.trace_id(span.context), self.trace_id(PARENT))
            self.assertNotEqual(span.context, PARENT)

    def test_a_nested_span_has_the_same_trace(self):
        telemetry = self.make_telemetry()
        with telemetry.span("http", PARENT), telemetry.span("entry-submit") as inner:
            self.assertEqual(self.trace_id(inner.context), self.trace_id(PARENT))

    def test_a_malformed_context_starts_a_new_trace(self):
        for parent in MALFORMED:
            with self.subTest(parent=parent):
                with self.make_telemetry().span("http", parent) as span:
                    self.assertEqual(len(self.trace_id(span.context)), 32)
                    self.assertNotEqual(self.trace_id(span.context), self.trace_id(PARENT))

    def test_an_error_propagates_through_a_span(self):
        with self.assertRaises(LookupError):
            with self.make_telemetry().span("http"):
                raise LookupError
