"""Fault cases that run against a site of separate processes under load."""
