"""Rig that drives the real scheduling policies on simulated time."""
