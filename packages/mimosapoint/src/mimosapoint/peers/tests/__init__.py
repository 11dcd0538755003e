"""Tests of the peers subpackage."""
