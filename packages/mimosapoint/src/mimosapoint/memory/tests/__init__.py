"""Tests of the in-memory adapters."""
