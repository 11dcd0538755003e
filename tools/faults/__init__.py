"""Plays faults against a site of separate processes under load."""
