"""Tests of the workload subpackage."""
