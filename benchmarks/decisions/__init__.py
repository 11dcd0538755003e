"""Benchmark of the scheduling policies in a discrete-event simulation."""
