"""Benchmark of how the cost of a node grows with its load, on real processes over loopback."""
