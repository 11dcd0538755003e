"""Tests of the tools and of the whole path."""
