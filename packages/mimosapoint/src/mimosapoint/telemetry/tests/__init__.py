"""Tests of the telemetry subpackage."""
