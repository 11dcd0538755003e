"""Contract tests of the telemetry port, run against its adapters."""

import unittest

from mimosapoint.ports.tests.contract_telemetry import TelemetryContract
from mimosapoint.telemetry import LogSpanExporter, LogTelemetry, MemoryTelemetry


class MemoryTelemetryTest(TelemetryContract, unittest.TestCase):
    def make_telemetry(self):
        return MemoryTelemetry(strict=True)


class LogTelemetryTest(TelemetryContract, unittest.TestCase):
    def make_telemetry(self):
        return LogTelemetry("node-1", strict=True)


class ExportingTelemetryTest(TelemetryContract, unittest.TestCase):
    def make_telemetry(self):
        telemetry = LogTelemetry("node-1", exporter=LogSpanExporter(), strict=True)
        self.addCleanup(telemetry.close)
        return telemetry
