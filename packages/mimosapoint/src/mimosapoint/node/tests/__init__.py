"""Tests of whole nodes on a site in memory."""
