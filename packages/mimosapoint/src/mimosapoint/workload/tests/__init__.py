"""Tests of jobs of steps."""
