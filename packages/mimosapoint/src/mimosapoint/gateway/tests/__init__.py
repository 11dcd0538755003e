"""Tests of the gateway subpackage."""
