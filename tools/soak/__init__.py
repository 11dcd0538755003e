"""Randomized soak of real nodes on loopback under faults from outside."""
