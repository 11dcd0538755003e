"""Tests of the tools, and end-to-end tests of a site."""
