"""Tests of the ports."""
