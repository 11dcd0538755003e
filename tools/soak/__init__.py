"""Randomized soak test of node processes on loopback under injected faults."""
