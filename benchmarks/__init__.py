"""Benchmarks of the scheduler."""
