"""Tests of the resilience subpackage."""
