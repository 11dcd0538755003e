"""Tests of a cell."""
