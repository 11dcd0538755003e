"""Paired experiments: the same cases and seeds under several variants of the system."""
